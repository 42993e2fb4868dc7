//! Handles operators' requests.

use {
    crate::{
        LabelsPatch, OperatorRoute,
        change_request::{self, invalid},
        change_response::{RETRY_AFTER, accepted_response, change_refusal},
        query_string::parameter,
        read_response::{self, SnapshotRead},
    },
    catalog::{InvalidField, ObjectKind, Selector},
    configuration::{ApplyError, Change, FollowerHandle, Snapshot, VersionedObject, Writer},
    gateway::{OperatorRequest, OperatorResponse, Refusal, RefusalKind},
    keyvalue::KeyValue,
    serde_json::json,
    std::{sync::Arc, time::Duration},
};

/// Attempts to change labels or to drain a target. An attempt fails if another operator changes the
/// object at the same time.
const MAX_UPDATE_ATTEMPTS: usize = 8;

/// Handles operators' requests. Changes are written to the key-value service. Reads come from it
/// too or, while it is unavailable, from the configuration in force at this instance.
#[derive(Clone, Debug)]
pub struct OperatorApi<Kv> {
    writer: Writer<Kv>,
    configuration: FollowerHandle,
}

impl<Kv> OperatorApi<Kv>
where
    Kv: KeyValue,
{
    /// Creates an API that writes through `writer` and reads from `configuration` while the
    /// key-value service is unavailable.
    pub fn new(writer: Writer<Kv>, configuration: FollowerHandle) -> Self {
        Self {
            writer,
            configuration,
        }
    }

    /// Handles one request. Refusals become error responses.
    pub async fn handle(&self, request: &OperatorRequest) -> OperatorResponse {
        match self.dispatch(request).await {
            Ok(response) => response,
            Err(refusal) => OperatorResponse {
                status: refusal.kind.status(),
                body: refusal.json(),
            },
        }
    }

    async fn dispatch(&self, request: &OperatorRequest) -> Result<OperatorResponse, Refusal> {
        match OperatorRoute::parse(request)? {
            OperatorRoute::Status => {
                let status = self.configuration.status();
                Ok(read_response::status(
                    &self.configuration.snapshot(),
                    status,
                ))
            }
            OperatorRoute::List(kind) => self.list(request, kind).await,
            OperatorRoute::Get(kind, name) => self.read().await?.get(kind, &name),
            OperatorRoute::Put(kind, name) => {
                self.apply(request, &[change_request::put(request, kind, &name)?])
                    .await
            }
            OperatorRoute::Delete(kind, name) => {
                self.apply(request, &[change_request::delete(request, kind, &name)?])
                    .await
            }
            OperatorRoute::PatchLabels(kind, name) => {
                let patch = LabelsPatch::parse(&request.body)?;
                let change = |found| patch.to_change(found).map(Some);
                self.update(kind, &name, change).await
            }
            OperatorRoute::Drain(name) => {
                let change = |found| Ok(change_request::drain(found));
                self.update(ObjectKind::Target, &name, change).await
            }
            OperatorRoute::Apply => {
                self.apply(request, &change_request::parse_changes(&request.body)?)
                    .await
            }
        }
    }

    async fn list(
        &self,
        request: &OperatorRequest,
        kind: ObjectKind,
    ) -> Result<OperatorResponse, Refusal> {
        let selector = parameter(&request.query, "selector").unwrap_or_default();
        let selector: Result<Selector, InvalidField> = selector.parse();
        let selector = selector.map_err(|error| invalid(&error.to_string()))?;
        Ok(self.read().await?.list(kind, &selector))
    }

    async fn apply(
        &self,
        request: &OperatorRequest,
        changes: &[Change],
    ) -> Result<OperatorResponse, Refusal> {
        let change_id = request.change_id.clone().unwrap_or_else(new_change_id);
        let in_parts = parameter(&request.query, "in_parts").as_deref() == Some("true");
        let accepted = if in_parts {
            self.writer.apply_in_parts(changes, &change_id).await
        } else {
            self.writer.apply(changes, &change_id).await
        };
        accepted
            .map(|accepted| accepted_response(&accepted))
            .map_err(|error| change_refusal(&error))
    }

    /// Reads an object, changes it and writes it back. Retries if the object was changed in
    /// between. `make_change` returns `None` if the object needs no change.
    async fn update<MakeChange>(
        &self,
        kind: ObjectKind,
        name: &str,
        make_change: MakeChange,
    ) -> Result<OperatorResponse, Refusal>
    where
        MakeChange: Fn(VersionedObject) -> Result<Option<Change>, Refusal>,
    {
        let mut refusal = read_response::not_found(kind, name);
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let snapshot = self.read_from_service().await?;
            let Some(found) = snapshot.object(kind, name) else {
                return Err(read_response::not_found(kind, name));
            };
            let revision = found.revision;
            let Some(change) = make_change(found)? else {
                return Ok(unchanged_response(revision));
            };
            match self.writer.apply(&[change], &new_change_id()).await {
                Ok(accepted) => return Ok(accepted_response(&accepted)),
                Err(error @ ApplyError::Conflict { .. }) => refusal = change_refusal(&error),
                Err(error) => return Err(change_refusal(&error)),
            }
        }
        Err(refusal)
    }

    async fn read_from_service(&self) -> Result<Snapshot, Refusal> {
        self.writer.read().await.map_err(|error| {
            log::info!("cannot read the configuration for an operator's request: {error}");
            let message = "the key-value service does not answer; nothing was changed, try again \
                           in a few seconds";
            Refusal::not_run(RefusalKind::Unavailable, message).retry_after(RETRY_AFTER)
        })
    }

    /// Reads the configuration from the key-value service or, while it is unavailable, returns the
    /// one in force at this instance.
    async fn read(&self) -> Result<SnapshotRead<Arc<Snapshot>>, Refusal> {
        match self.read_from_service().await {
            Ok(snapshot) => Ok(SnapshotRead {
                snapshot: Arc::new(snapshot),
                confirmed_age: Duration::ZERO,
            }),
            Err(refusal) => {
                let confirmed_age = self.configuration.status().confirmed_age.ok_or(refusal)?;
                Ok(SnapshotRead {
                    snapshot: self.configuration.snapshot(),
                    confirmed_age,
                })
            }
        }
    }
}

/// Creates the response to a request that needed no change.
fn unchanged_response(revision: u64) -> OperatorResponse {
    OperatorResponse {
        status: 200,
        body: json!({ "revision": revision, "deactivated": [], "warnings": [] }),
    }
}

fn new_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
