//! Parses the method and path of operators' requests.

use {
    catalog::{InvalidField, ObjectKind},
    gateway::{OperatorRequest, Refusal, RefusalKind},
    percent_encoding::percent_decode_str,
    std::borrow::Cow,
};

/// Operation that a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorRoute {
    /// Read the status of the configuration.
    Status,
    /// List the objects of a kind that match a selector.
    List(ObjectKind),
    /// Read one object.
    Get(ObjectKind, String),
    /// Create or replace one object.
    Put(ObjectKind, String),
    /// Delete one object.
    Delete(ObjectKind, String),
    /// Set and remove labels of one object.
    PatchLabels(ObjectKind, String),
    /// Mark a target as leaving.
    Drain(String),
    /// Apply several changes in one transaction.
    Apply,
}

impl OperatorRoute {
    /// Parses the method and path of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if no operation has this method and path.
    pub fn parse(request: &OperatorRequest) -> Result<Self, Refusal> {
        let segments = request.path.split('/').skip(1).map(decode_segment);
        let segments: Vec<Cow<'_, str>> = segments.collect::<Result<_, Refusal>>()?;
        let segments: Vec<&str> = segments.iter().map(Cow::as_ref).collect();
        match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["status"]) => Ok(Self::Status),
            ("POST", ["apply"]) => Ok(Self::Apply),
            ("POST", ["target", name, "drain"]) => Ok(Self::Drain((*name).to_owned())),
            ("GET", [kind]) => Ok(Self::List(parse_kind(kind)?)),
            (method, [kind, name]) => Self::object(method, parse_kind(kind)?, (*name).to_owned()),
            ("PATCH", [kind, name, "labels"]) => {
                Ok(Self::PatchLabels(parse_kind(kind)?, (*name).to_owned()))
            }
            _ => Err(no_such_operation()),
        }
    }

    fn object(method: &str, kind: ObjectKind, name: String) -> Result<Self, Refusal> {
        match method {
            "GET" => Ok(Self::Get(kind, name)),
            "PUT" => Ok(Self::Put(kind, name)),
            "DELETE" => Ok(Self::Delete(kind, name)),
            _ => Err(no_such_operation()),
        }
    }
}

/// Decodes one segment of a path. A slash that it names by an escape is part of the segment.
fn decode_segment(segment: &str) -> Result<Cow<'_, str>, Refusal> {
    let decoded = percent_decode_str(segment).decode_utf8();
    decoded.map_err(|_| no_such_operation())
}

fn parse_kind(text: &str) -> Result<ObjectKind, Refusal> {
    text.parse()
        .map_err(|error: InvalidField| Refusal::not_run(RefusalKind::NotFound, error.to_string()))
}

fn no_such_operation() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        "no such call; see docs/API.md for operators' calls",
    )
}
