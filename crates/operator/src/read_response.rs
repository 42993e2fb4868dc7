//! Responses to read requests.

use {
    catalog::{ObjectKind, Revision, Selector, warnings},
    configuration::{FollowerStatus, Snapshot, VersionedObject},
    gateway::{OperatorResponse, Refusal, RefusalKind},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::time::Duration,
};

/// Response to `GET /{kind}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectList {
    /// Revision of the last change of the configuration.
    pub revision: Revision,
    /// Time since the key-value service last confirmed these objects, in milliseconds.
    pub confirmed_age_ms: u64,
    /// Objects, ordered by name.
    pub objects: Vec<VersionedObject>,
}

/// A snapshot of the configuration and the time since the key-value service confirmed it.
pub(crate) struct SnapshotRead<SnapshotRef> {
    pub snapshot: SnapshotRef,
    pub confirmed_age: Duration,
}

impl<SnapshotRef> SnapshotRead<SnapshotRef>
where
    SnapshotRef: AsRef<Snapshot>,
{
    pub(crate) fn list(&self, kind: ObjectKind, selector: &Selector) -> OperatorResponse {
        let snapshot = self.snapshot.as_ref();
        let objects = snapshot
            .catalog
            .names_and_labels(kind)
            .into_iter()
            .filter(|(_, labels)| selector.matches(labels))
            .filter_map(|(name, _)| snapshot.object(kind, name))
            .collect();
        let list = ObjectList {
            revision: snapshot.catalog.revision,
            confirmed_age_ms: duration_ms(self.confirmed_age),
            objects,
        };
        ok_response(json!(list))
    }

    pub(crate) fn get(&self, kind: ObjectKind, name: &str) -> Result<OperatorResponse, Refusal> {
        let Some(found) = self.snapshot.as_ref().object(kind, name) else {
            return Err(not_found(kind, name));
        };
        Ok(ok_response(json!({
            "revision": found.revision,
            "confirmed_age_ms": duration_ms(self.confirmed_age),
            "object": found.object,
        })))
    }
}

/// Creates the response to `GET /status`.
pub(crate) fn status(snapshot: &Snapshot, status: FollowerStatus) -> OperatorResponse {
    let catalog = &snapshot.catalog;
    let warnings: Vec<String> = warnings(catalog).iter().map(ToString::to_string).collect();
    ok_response(json!({
        "revision": status.revision,
        "confirmed_age_ms": status.confirmed_age.map(duration_ms),
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

fn ok_response(body: Value) -> OperatorResponse {
    OperatorResponse { status: 200, body }
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
