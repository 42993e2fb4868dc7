//! Methods and paths.

use {
    catalog::{Invalid, ObjectKind},
    gateway::{OperatorRequest, Refusal, RefusalKind},
};

/// What a request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorRoute {
    /// How current the configuration is.
    Status,
    /// All objects of a kind that a selector matches.
    List(ObjectKind),
    /// One object.
    Get(ObjectKind, String),
    /// Create or replace one object.
    Put(ObjectKind, String),
    /// Delete one object.
    Delete(ObjectKind, String),
    /// Change the labels of one object.
    PatchLabels(ObjectKind, String),
    /// Mark a target as leaving.
    Drain(String),
    /// Several changes in one transaction.
    Apply,
}

impl OperatorRoute {
    /// Reads the method and the path of a request.
    ///
    /// # Errors
    ///
    /// There is no such call.
    pub fn parse(call: &OperatorRequest) -> Result<Self, Refusal> {
        let segments: Vec<&str> = call.path.split('/').skip(1).collect();
        match (call.method.as_str(), segments.as_slice()) {
            ("GET", ["status"]) => Ok(Self::Status),
            ("POST", ["apply"]) => Ok(Self::Apply),
            ("POST", ["target", name, "drain"]) => Ok(Self::Drain((*name).to_owned())),
            ("GET", [kind]) => Ok(Self::List(parse_kind(kind)?)),
            (method, [kind, name]) => Self::object(method, parse_kind(kind)?, (*name).to_owned()),
            ("PATCH", [kind, name, "labels"]) => {
                Ok(Self::PatchLabels(parse_kind(kind)?, (*name).to_owned()))
            }
            _ => Err(no_such_call()),
        }
    }

    fn object(method: &str, kind: ObjectKind, name: String) -> Result<Self, Refusal> {
        match method {
            "GET" => Ok(Self::Get(kind, name)),
            "PUT" => Ok(Self::Put(kind, name)),
            "DELETE" => Ok(Self::Delete(kind, name)),
            _ => Err(no_such_call()),
        }
    }
}

fn parse_kind(text: &str) -> Result<ObjectKind, Refusal> {
    text.parse()
        .map_err(|error: Invalid| Refusal::not_run(RefusalKind::NotFound, error.to_string()))
}

fn no_such_call() -> Refusal {
    Refusal::not_run(
        RefusalKind::NotFound,
        "no such call; see docs/API.md for operators' calls",
    )
}
