//! The handler of client requests and the state it works with.

use {
    crate::{
        AdmissionQueue, DecisionRecords, PeerDirectory, ServingSettings, SharedDirectory,
        link_budgets::LinkBudgets,
    },
    catalog::{Catalog, ClientAccountId, ModelVersionId, RequestId},
    configuration::Handle,
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

/// What a [`RequestHandler`] works with. The daemon's control thread keeps it up to date.
pub struct HandlerState<Kv, Peers> {
    /// Settings of the handler.
    pub settings: ServingSettings,
    /// The configuration that is in force.
    pub configuration: Handle,
    /// The latest state of all targets.
    pub fleet: Arc<Fleet>,
    /// This instance's directory of cached blocks.
    pub directory: SharedDirectory,
    /// Decision records of this instance.
    pub records: DecisionRecords,
    /// Claims for requests that may run at most once.
    pub claims: Claims<Kv>,
    /// Queue in which requests wait for admission.
    pub admission: AdmissionQueue,
    /// Client for connections to targets.
    pub client: Client,
    /// Access to the directories of the other instances.
    pub peers: Peers,
}

struct Inner<Kv, Peers> {
    state: HandlerState<Kv, Peers>,
    link_budgets: LinkBudgets,
    retry_budget: Mutex<RetryBudget>,
    next_tie_breaker: AtomicU64,
}

/// Handles completions and calls of plain services. Clones share one state.
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
    /// Creates a handler that works with `state`.
    #[must_use]
    pub fn new(state: HandlerState<Kv, Peers>) -> Self {
        Self {
            inner: Arc::new(Inner {
                state,
                link_budgets: LinkBudgets::default(),
                retry_budget: Mutex::default(),
                next_tie_breaker: AtomicU64::new(random()),
            }),
        }
    }

    /// Settings of the handler.
    #[must_use]
    pub fn settings(&self) -> &ServingSettings {
        &self.inner.state.settings
    }

    /// The configuration that is in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        self.inner.state.configuration.catalog()
    }

    /// The latest state of all targets.
    #[must_use]
    pub fn fleet(&self) -> &Fleet {
        &self.inner.state.fleet
    }

    /// This instance's directory of cached blocks.
    #[must_use]
    pub fn directory(&self) -> &SharedDirectory {
        &self.inner.state.directory
    }

    /// Decision records of this instance.
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

    /// Queue in which requests wait for admission.
    #[must_use]
    pub fn admission(&self) -> &AdmissionQueue {
        &self.inner.state.admission
    }

    pub(crate) fn link_budgets(&self) -> &LinkBudgets {
        &self.inner.link_budgets
    }

    /// A number that differs for each decision, counted up from a random start. Routing breaks ties
    /// with it.
    pub(crate) fn tie_breaker(&self) -> u64 {
        self.inner.next_tie_breaker.fetch_add(1, Ordering::Relaxed)
    }

    /// The retry budget of this instance, locked.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.inner
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the decision record of a new request.
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
