//! The request path with all it needs.

use {
    crate::{
        AdmissionQueue, DecisionRecords, PeerDirectory, ServingSettings, SharedDirectory,
        links::Links,
    },
    catalog::{Catalog, ClientAccountId, ModelVersionId, RequestId},
    configuration::FollowerHandle,
    decision::Record,
    fleet::Fleet,
    idempotency::Claims,
    keyvalue::KeyValue,
    rand::random,
    routing::RetryBudget,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{SystemTime, UNIX_EPOCH},
    },
    target::Client,
};

/// What the request path works with; the daemon's control thread keeps it up to date.
pub struct HandlerState<Kv, Peers> {
    /// Bounds.
    pub settings: ServingSettings,
    /// Configuration in force.
    pub configuration: FollowerHandle,
    /// What is known of targets.
    pub fleet: Arc<Fleet>,
    /// What is known of cached blocks.
    pub directory: SharedDirectory,
    /// Records of decisions.
    pub records: DecisionRecords,
    /// Claims of non-idempotent requests.
    pub claims: Claims<Kv>,
    /// Admission at this instance.
    pub admission: AdmissionQueue,
    /// Connections to targets.
    pub client: Client,
    /// The other instances' part of the directory.
    pub peers: Peers,
}

struct Inner<Kv, Peers> {
    state: HandlerState<Kv, Peers>,
    links: Links,
    retries: Mutex<RetryBudget>,
    decisions_count: AtomicU64,
}

/// The request path. Clones share it.
pub struct RequestHandler<Kv, Peers> {
    inner: Arc<Inner<Kv, Peers>>,
}

impl<Kv, Peers> Clone for RequestHandler<Kv, Peers> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// A request path over `state`.
    #[must_use]
    pub fn new(state: HandlerState<Kv, Peers>) -> Self {
        Self {
            inner: Arc::new(Inner {
                state,
                links: Links::default(),
                retries: Mutex::default(),
                decisions_count: AtomicU64::new(random()),
            }),
        }
    }

    /// Bounds.
    #[must_use]
    pub fn settings(&self) -> &ServingSettings {
        &self.inner.state.settings
    }

    /// Configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        self.inner.state.configuration.catalog()
    }

    /// What is known of targets.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.inner.state.fleet
    }

    /// What is known of cached blocks.
    #[must_use]
    pub fn directory(&self) -> &SharedDirectory {
        &self.inner.state.directory
    }

    /// Records of decisions.
    #[must_use]
    pub fn records(&self) -> &DecisionRecords {
        &self.inner.state.records
    }

    pub(crate) fn claims(&self) -> &Claims<Kv> {
        &self.inner.state.claims
    }

    pub(crate) fn client(&self) -> &Client {
        &self.inner.state.client
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.inner.state.peers
    }

    /// Admission at this instance.
    #[must_use]
    pub fn admission(&self) -> &AdmissionQueue {
        &self.inner.state.admission
    }

    pub(crate) fn links(&self) -> &Links {
        &self.inner.links
    }

    /// A number that differs from decision to decision, to break ties with.
    pub(crate) fn draw(&self) -> u64 {
        self.inner.decisions_count.fetch_add(1, Ordering::Relaxed)
    }

    /// The budget of retries at this instance.
    pub(crate) fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.inner
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the record of a request.
    pub(crate) fn begin_record(
        &self,
        request: &RequestId,
        account: &ClientAccountId,
        version: ModelVersionId,
    ) {
        self.records().begin(Record {
            request: request.clone(),
            client_account: account.clone(),
            instance: self.settings().instance.clone(),
            model_version: version,
            revision: self.catalog().revision,
            arrived: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            steps: Vec::new(),
        });
    }
}
