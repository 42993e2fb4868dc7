//! Answers to reads.

use {
    catalog::{ObjectKind, Revision, Selector, warnings},
    configuration::{FollowerStatus, Snapshot, VersionedObject},
    gateway::{OperatorResponse, Refusal, RefusalKind},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::Duration,
};

/// The answer to a list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectList {
    /// Revision of the configuration's last change.
    pub revision: Revision,
    /// Time since the key-value service confirmed what is listed, in milliseconds.
    pub confirmed_age_ms: u64,
    /// Objects in the order of their names.
    pub objects: Vec<VersionedObject>,
}

/// A snapshot and how old it may be.
pub(crate) struct SnapshotRead<State> {
    pub snapshot: State,
    pub age: Duration,
}

impl<State> SnapshotRead<State>
where
    State: AsRef<Snapshot>,
{
    pub(crate) fn list(&self, kind: ObjectKind, selector: &Selector) -> OperatorResponse {
        let snapshot = self.snapshot.as_ref();
        let objects = snapshot
            .catalog
            .names(kind)
            .into_iter()
            .filter(|(_, labels)| selector.matches(labels))
            .filter_map(|(name, _)| snapshot.object(kind, name))
            .collect();
        let listed = ObjectList {
            revision: snapshot.catalog.revision,
            confirmed_age_ms: millis(self.age),
            objects,
        };
        ok(json!(listed))
    }

    pub(crate) fn get(&self, kind: ObjectKind, name: &str) -> Result<OperatorResponse, Refusal> {
        let Some(found) = self.snapshot.as_ref().object(kind, name) else {
            return Err(not_found(kind, name));
        };
        Ok(ok(json!({
            "revision": found.revision,
            "confirmed_age_ms": millis(self.age),
            "object": found.object,
        })))
    }
}

/// The answer to `GET /status`.
pub(crate) fn status(snapshot: &Snapshot, status: FollowerStatus) -> OperatorResponse {
    let catalog = &snapshot.catalog;
    let warnings: Vec<String> = warnings(catalog).iter().map(ToString::to_string).collect();
    ok(json!({
        "revision": status.revision,
        "confirmed_age_ms": status.confirmed_age.map(millis),
        "client_accounts_count": catalog.client_accounts.len(),
        "model_versions_count": catalog.model_versions.len(),
        "targets_count": catalog.targets.len(),
        "placement_rules_count": catalog.placement_rules.len(),
        "unreadable": snapshot.unreadable,
        "warnings": warnings,
    }))
}

pub(crate) fn not_found(kind: ObjectKind, name: &str) -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        format!("there is no {kind} {name}; list them with GET /v1/operator/{kind}"),
    )
}

fn ok(body: Value) -> OperatorResponse {
    OperatorResponse { status: 200, body }
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}
