//! Parses operators' requests for changes.

use {
    catalog::{Edit, InvalidField, Labels, Object, ObjectKind},
    configuration::{Change, Precondition, RawChange, VersionedObject},
    gateway::{OperatorRequest, Refusal, RefusalKind},
    serde::{Deserialize, Serialize},
};

/// Body of `PATCH /{kind}/{name}/labels`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LabelsPatch {
    /// Labels to set.
    #[serde(default)]
    pub set: Labels,
    /// Keys of labels to remove.
    #[serde(default)]
    pub remove: Vec<String>,
}

impl LabelsPatch {
    /// Parses the JSON body of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that says where the JSON is wrong and what to send.
    pub fn parse(body: &[u8]) -> Result<Self, Refusal> {
        serde_json::from_slice(body).map_err(|error| {
            invalid(&format!(
                "{error}; send {{\"set\":{{\"key\":\"value\"}},\"remove\":[\"key\"]}}"
            ))
        })
    }

    /// Creates the change that sets and removes the labels of an object. It applies only while the
    /// object has the revision that was read. A label that is both set and removed is set.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that names the invalid label.
    pub fn to_change(&self, found: VersionedObject) -> Result<Change, Refusal> {
        let mut labels = found.object.labels().clone();
        labels.retain(|key, _| !self.remove.contains(key));
        labels.extend(self.set.clone());
        let object = found.object.with_labels(labels);
        let object = object.map_err(|error| invalid(&error.to_string()))?;
        Ok(Change {
            edit: Edit::Put(object),
            precondition: Precondition::Revision(found.revision),
        })
    }
}

/// Creates the change for `PUT /{kind}/{name}`.
pub(crate) fn put(
    request: &OperatorRequest,
    kind: ObjectKind,
    name: &str,
) -> Result<Change, Refusal> {
    let precondition = precondition(request)?;
    let object = Object::from_json(kind, &request.body);
    let object = object.map_err(|error| invalid(&error.to_string()))?;
    if object.name() != name {
        return Err(invalid(&format!(
            "field `name`: {:?} differs from the name {name:?} in the path; make them equal",
            object.name()
        )));
    }
    Ok(Change {
        edit: Edit::Put(object),
        precondition,
    })
}

/// Creates the change for `DELETE /{kind}/{name}`.
pub(crate) fn delete(
    request: &OperatorRequest,
    kind: ObjectKind,
    name: &str,
) -> Result<Change, Refusal> {
    let precondition = precondition(request)?;
    if precondition == Precondition::Absent {
        return Err(invalid(
            "a deletion needs the object's revision; send `If-Match: REVISION`",
        ));
    }
    Ok(Change {
        edit: Edit::Delete(kind, name.to_owned()),
        precondition,
    })
}

/// Parses the changes in the body of `POST /apply`.
pub(crate) fn parse_changes(body: &[u8]) -> Result<Vec<Change>, Refusal> {
    let raw: Vec<RawChange> = serde_json::from_slice(body).map_err(|error| {
        invalid(&format!(
            "{error}; send an array of {{\"put\":OBJECT,\"revision\":N}} or \
             {{\"delete\":{{\"kind\",\"name\"}},\"revision\":N}}"
        ))
    })?;
    if raw.is_empty() {
        return Err(invalid("the array is empty; send at least one change"));
    }
    raw.into_iter()
        .enumerate()
        .map(|(index, raw)| {
            Change::try_from(raw)
                .map_err(|error: InvalidField| invalid(&format!("change {index}: {error}")))
        })
        .collect()
}

/// Creates the change that marks a target as leaving; `None` if it is marked already.
pub(crate) fn drain(found: VersionedObject) -> Option<Change> {
    let Object::Target(mut target) = found.object else {
        return None;
    };
    if target.leaving {
        return None;
    }
    target.leaving = true;
    Some(Change {
        edit: Edit::Put(Object::Target(target)),
        precondition: Precondition::Revision(found.revision),
    })
}

/// Parses the precondition of a change: `If-Match: REVISION` or `If-None-Match: *`.
fn precondition(request: &OperatorRequest) -> Result<Precondition, Refusal> {
    match (
        request.if_match.as_deref(),
        request.if_none_match.as_deref(),
    ) {
        (None, Some("*")) => Ok(Precondition::Absent),
        (Some(revision), None) => {
            let revision = revision.trim_matches('"').parse();
            let revision = revision.map_err(|_| {
                invalid("If-Match is not a revision; send the object's revision number")
            })?;
            Ok(Precondition::Revision(revision))
        }
        _ => Err(invalid(
            "no condition; send `If-Match: REVISION` to change an object or `If-None-Match: *` to \
             create it",
        )),
    }
}

pub(crate) fn invalid(message: &str) -> Refusal {
    Refusal::not_run(RefusalKind::Invalid, message)
}
