//! Carries out operators' requests.

use {
    crate::{
        LabelsPatch, Route,
        decode::parameter,
        edits::{self, invalid},
        outcome::{RETRY_AFTER, accepted_answer, refusal_of},
        reads::{self, Read},
    },
    catalog::{Invalid, ObjectKind, Selector},
    configuration::{ApplyError, Change, Handle, Snapshot, VersionedObject, Writer},
    gateway::{OperatorRequest, OperatorResponse, Refusal, RefusalKind},
    keyvalue::KeyValue,
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// Rounds against other operators before a change of labels or a drain is given up.
const MAX_ROUNDS: usize = 8;

/// Carries out operators' requests: changes go to the key-value service, reads come from it and,
/// while it is down, from the configuration in force here.
#[derive(Clone, Debug)]
pub struct Operator<Kv> {
    writer: Writer<Kv>,
    handle: Handle,
}

impl<Kv> Operator<Kv>
where
    Kv: KeyValue,
{
    /// Uses this writer, and this handle while the service is down.
    pub fn new(writer: Writer<Kv>, handle: Handle) -> Self {
        Self { writer, handle }
    }

    /// Answers one request; refusals become answers too.
    pub async fn operate(&self, call: &OperatorRequest) -> OperatorResponse {
        match self.answer(call).await {
            Ok(answer) => answer,
            Err(refusal) => OperatorResponse {
                status: refusal.kind.status(),
                body: refusal.json(),
            },
        }
    }

    async fn answer(&self, call: &OperatorRequest) -> Result<OperatorResponse, Refusal> {
        match Route::parse(call)? {
            Route::Status => {
                let status = self.handle.status();
                Ok(reads::status(&self.handle.snapshot(), status))
            }
            Route::List(kind) => self.list(call, kind).await,
            Route::Get(kind, name) => self.read().await?.get(kind, &name),
            Route::Put(kind, name) => self.apply(call, &[edits::put(call, kind, &name)?]).await,
            Route::Delete(kind, name) => {
                self.apply(call, &[edits::delete(call, kind, &name)?]).await
            }
            Route::Labels(kind, name) => {
                let patch = LabelsPatch::parse(&call.body)?;
                let change = |found| patch.change(found).map(Some);
                self.update(kind, &name, change).await
            }
            Route::Drain(name) => {
                let change = |found| Ok(edits::drain(found));
                self.update(ObjectKind::Target, &name, change).await
            }
            Route::Apply => self.apply(call, &edits::parse_changes(&call.body)?).await,
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
            .map(|accepted| accepted_answer(&accepted))
            .map_err(|error| refusal_of(&error))
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
        let mut refusal = reads::not_found(kind, name);
        for _ in 0..MAX_ROUNDS {
            let snapshot = self.read_service().await?;
            let Some(found) = snapshot.object(kind, name) else {
                return Err(reads::not_found(kind, name));
            };
            let revision = found.revision;
            let Some(change) = update(found)? else {
                return Ok(unchanged(revision));
            };
            match self.writer.apply(&[change], &new_change_id()).await {
                Ok(accepted) => return Ok(accepted_answer(&accepted)),
                Err(error @ ApplyError::Conflict { .. }) => refusal = refusal_of(&error),
                Err(error) => return Err(refusal_of(&error)),
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
    async fn read(&self) -> Result<Read<Arc<Snapshot>>, Refusal> {
        match self.read_service().await {
            Ok(snapshot) => Ok(Read {
                snapshot: Arc::new(snapshot),
                age: Duration::ZERO,
            }),
            Err(refusal) => {
                let age = self.handle.status().confirmed_age.ok_or(refusal)?;
                Ok(Read {
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
