//! Carries out operators' requests.

use {
    crate::{
        LabelsPatch, OperatorRoute,
        change_request::{self, invalid},
        change_response::{RETRY_AFTER, accepted_response, change_refusal},
        query_string::parameter,
        read_response::{self, SnapshotRead},
    },
    catalog::{Invalid, ObjectKind, Selector},
    configuration::{ApplyError, Change, Handle, Snapshot, VersionedObject, Writer},
    gateway::{OperatorRequest, OperatorResponse, Refusal, RefusalKind},
    keyvalue::KeyValue,
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// Rounds against other operators before a change of labels or a drain is given up.
const MAX_UPDATE_ATTEMPTS: usize = 8;

/// Carries out operators' requests: changes go to the key-value service, reads come from it and,
/// while it is down, from the configuration in force here.
#[derive(Clone, Debug)]
pub struct OperatorApi<Kv> {
    writer: Writer<Kv>,
    handle: Handle,
}

impl<Kv> OperatorApi<Kv>
where
    Kv: KeyValue,
{
    /// Uses this writer, and this handle while the service is down.
    pub fn new(writer: Writer<Kv>, handle: Handle) -> Self {
        Self { writer, handle }
    }

    /// Answers one request; refusals become answers too.
    pub async fn handle(&self, call: &OperatorRequest) -> OperatorResponse {
        match self.answer(call).await {
            Ok(answer) => answer,
            Err(refusal) => OperatorResponse {
                status: refusal.kind.status(),
                body: refusal.json(),
            },
        }
    }

    async fn answer(&self, call: &OperatorRequest) -> Result<OperatorResponse, Refusal> {
        match OperatorRoute::parse(call)? {
            OperatorRoute::Status => {
                let status = self.handle.status();
                Ok(read_response::status(&self.handle.snapshot(), status))
            }
            OperatorRoute::List(kind) => self.list(call, kind).await,
            OperatorRoute::Get(kind, name) => self.read().await?.get(kind, &name),
            OperatorRoute::Put(kind, name) => {
                self.apply(call, &[change_request::put(call, kind, &name)?])
                    .await
            }
            OperatorRoute::Delete(kind, name) => {
                self.apply(call, &[change_request::delete(call, kind, &name)?])
                    .await
            }
            OperatorRoute::PatchLabels(kind, name) => {
                let patch = LabelsPatch::parse(&call.body)?;
                let change = |found| patch.change(found).map(Some);
                self.update(kind, &name, change).await
            }
            OperatorRoute::Drain(name) => {
                let change = |found| Ok(change_request::drain(found));
                self.update(ObjectKind::Target, &name, change).await
            }
            OperatorRoute::Apply => {
                self.apply(call, &change_request::parse_changes(&call.body)?)
                    .await
            }
        }
    }

    async fn list(
        &self,
        call: &OperatorRequest,
        kind: ObjectKind,
    ) -> Result<OperatorResponse, Refusal> {
        let selector = parameter(&call.query, "selector").unwrap_or_default();
        let selector: Result<Selector, Invalid> = selector.parse();
        let selector = selector.map_err(|error| invalid(&error.to_string()))?;
        Ok(self.read().await?.list(kind, &selector))
    }

    async fn apply(
        &self,
        call: &OperatorRequest,
        changes: &[Change],
    ) -> Result<OperatorResponse, Refusal> {
        let change_id = call.change_id.clone().unwrap_or_else(new_change_id);
        let in_parts = parameter(&call.query, "in_parts").as_deref() == Some("true");
        let accepted = if in_parts {
            self.writer.apply_in_parts(changes, &change_id).await
        } else {
            self.writer.apply(changes, &change_id).await
        };
        accepted
            .map(|accepted| accepted_response(&accepted))
            .map_err(|error| change_refusal(&error))
    }

    /// Reads one object, changes it and writes it back, again if somebody else was faster.
    async fn update<Update>(
        &self,
        kind: ObjectKind,
        name: &str,
        update: Update,
    ) -> Result<OperatorResponse, Refusal>
    where
        Update: Fn(VersionedObject) -> Result<Option<Change>, Refusal>,
    {
        let mut refusal = read_response::not_found(kind, name);
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let snapshot = self.read_service().await?;
            let Some(found) = snapshot.object(kind, name) else {
                return Err(read_response::not_found(kind, name));
            };
            let revision = found.revision;
            let Some(change) = update(found)? else {
                return Ok(unchanged(revision));
            };
            match self.writer.apply(&[change], &new_change_id()).await {
                Ok(accepted) => return Ok(accepted_response(&accepted)),
                Err(error @ ApplyError::Conflict { .. }) => refusal = change_refusal(&error),
                Err(error) => return Err(change_refusal(&error)),
            }
        }
        Err(refusal)
    }

    async fn read_service(&self) -> Result<Snapshot, Refusal> {
        self.writer.read().await.map_err(|error| {
            log::info!("configuration can't be read for an operator: {error}");
            let message = "the key-value service does not answer; nothing was changed, try again \
                           in a few seconds";
            Refusal::not_run(RefusalKind::Unavailable, message).retry_after(RETRY_AFTER)
        })
    }

    /// The state at the service or, while it is down, the one in force here.
    async fn read(&self) -> Result<SnapshotRead<Arc<Snapshot>>, Refusal> {
        match self.read_service().await {
            Ok(snapshot) => Ok(SnapshotRead {
                snapshot: Arc::new(snapshot),
                age: Duration::ZERO,
            }),
            Err(refusal) => {
                let age = self.handle.status().confirmed_age.ok_or(refusal)?;
                Ok(SnapshotRead {
                    snapshot: self.handle.snapshot(),
                    age,
                })
            }
        }
    }
}

fn unchanged(revision: u64) -> OperatorResponse {
    OperatorResponse {
        status: 200,
        body: json!({ "revision": revision, "deactivated": [], "warnings": [] }),
    }
}

fn new_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
