//! An in-memory key-value service with injectable faults.

use {
    crate::{
        Event, Incarnation, IncarnationTracker, KeyValue, KvError, KvFaults, Lease, LeaseId, Range,
        Txn, TxnOutcome, kv_faults::CallOutcome, memory_state::MemoryState,
        memory_watch::WatchCursor,
    },
    catalog::Revision,
    futures::{Stream, StreamExt, stream},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep},
    },
};

/// Number of calls made through all handles of one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KvCalls {
    /// Range reads.
    pub range_count: u64,
    /// Transactions.
    pub txn_count: u64,
    /// Lease calls: grants, renewals and revocations.
    pub lease_count: u64,
    /// Waiting requests of watches, of which each answer with changes or progress ends one.
    pub watch_count: u64,
}

/// State that all handles share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) state: Mutex<MemoryState>,
    calls: Mutex<KvCalls>,
    pub(crate) changed: watch::Sender<()>,
}

/// Faults that one handle and its clones share.
#[derive(Debug)]
pub(crate) struct HandleFaults {
    active: Mutex<KvFaults>,
    pub(crate) changed: watch::Sender<()>,
    pub(crate) watch_cut: watch::Sender<u64>,
    pub(crate) incarnations: IncarnationTracker,
}

/// A key-value service in memory, for tests of code that uses [`KeyValue`].
///
/// Leases expire by tokio's clock, so tests can pause time. Clones share one set of faults.
/// [`MemoryKv::peer`] returns a handle to the same keys with faults of its own, like the connection
/// of another instance.
#[derive(Clone, Debug)]
pub struct MemoryKv {
    pub(crate) shared: Arc<Shared>,
    pub(crate) faults: Arc<HandleFaults>,
}

impl Default for MemoryKv {
    fn default() -> Self {
        Self {
            shared: Arc::new(Shared {
                state: Mutex::default(),
                calls: Mutex::default(),
                changed: watch::Sender::new(()),
            }),
            faults: new_faults(),
        }
    }
}

impl MemoryKv {
    /// Creates an empty service at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty service whose answers name incarnation 1.
    #[must_use]
    pub fn with_incarnation() -> Self {
        let kv = Self::default();
        kv.with_state(|state| state.set_incarnation(1));
        kv
    }

    /// Returns another handle to the same service, with its own faults, all off.
    #[must_use]
    pub fn peer(&self) -> Self {
        Self {
            shared: self.shared.clone(),
            faults: new_faults(),
        }
    }

    /// Changes the faults of this handle and its clones.
    pub fn set_faults<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut KvFaults),
    {
        change(&mut lock(&self.faults.active));
        self.faults.changed.send_replace(());
    }

    /// Returns the current faults of this handle.
    #[must_use]
    pub fn faults(&self) -> KvFaults {
        lock(&self.faults.active).clone()
    }

    /// Ends this handle's open watches with [`KvError::Unknown`].
    pub fn cut_watches(&self) {
        self.faults.watch_cut.send_modify(|cut| *cut += 1);
    }

    /// Compacts the history: drops all changes before the current revision.
    pub fn compact(&self) {
        lock(&self.shared.state).compact();
    }

    /// Expires all leases at once, as if the service's clock had jumped ahead.
    pub fn expire_leases(&self) {
        let expire_all = |state: &mut MemoryState| {
            state.expire_all_leases();
            Ok(())
        };
        let _ = self.apply(expire_all);
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> Revision {
        lock(&self.shared.state).revision()
    }

    /// Returns the numbers of calls made so far.
    #[must_use]
    pub fn calls(&self) -> KvCalls {
        *lock(&self.shared.calls)
    }

    /// Runs a write; the faults decide its outcome.
    async fn write<Output, Operation>(&self, operation: Operation) -> Result<Output, KvError>
    where
        Output: Send + 'static,
        Operation: FnOnce(&mut MemoryState) -> Result<Output, KvError> + Send + 'static,
    {
        self.wait_while_paused().await;
        let outcome = lock(&self.faults.active).next_write_outcome();
        self.execute(outcome, operation).await
    }

    /// Like [`Self::execute`], for a call whose answer has the service's own revision, as `revision_of` reads it.
    async fn execute_observed<Output, Operation>(
        &self,
        outcome: CallOutcome,
        operation: Operation,
        revision_of: fn(&Output) -> Option<Revision>,
    ) -> Result<Output, KvError>
    where
        Output: Send + 'static,
        Operation: FnOnce(&mut MemoryState) -> Result<Output, KvError> + Send + 'static,
    {
        let incarnations = &self.faults.incarnations;
        let sent_in = incarnations.current();
        let known = incarnations.highest_revision(sent_in);
        let answer = self.execute(outcome, operation).await?;
        if let Some(revision) = revision_of(&answer) {
            incarnations.observe_revision(revision, known, sent_in)?;
        }
        Ok(answer)
    }

    /// Runs `operation` with the given outcome and the current delays.
    async fn execute<Output, Operation>(
        &self,
        outcome: CallOutcome,
        operation: Operation,
    ) -> Result<Output, KvError>
    where
        Output: Send + 'static,
        Operation: FnOnce(&mut MemoryState) -> Result<Output, KvError> + Send + 'static,
    {
        if outcome == CallOutcome::Unreachable {
            return Err(unreachable());
        }
        let faults = self.faults();
        let sent_in = self.faults.incarnations.current();
        sleep_for(faults.call_delay).await;
        match outcome {
            CallOutcome::LostCall => return Err(no_answer()),
            CallOutcome::Late(delay) => {
                self.apply_later(delay, operation);
                return Err(no_answer());
            }
            _ => {}
        }
        let named_answer = |state: &mut MemoryState| {
            let answer = operation(state);
            Ok((answer, state.named_incarnation()))
        };
        let (answer, named) = self.apply(named_answer)?;
        sleep_for(faults.answer_delay).await;
        if outcome == CallOutcome::LostAnswer {
            return Err(no_answer());
        }
        self.faults.incarnations.observe(named, sent_in)?;
        answer
    }

    /// Applies `operation` after `delay`, in a task of its own; its result is lost.
    fn apply_later<Output, Operation>(&self, delay: Duration, operation: Operation)
    where
        Output: Send + 'static,
        Operation: FnOnce(&mut MemoryState) -> Result<Output, KvError> + Send + 'static,
    {
        let handle = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = handle.apply(operation);
        });
    }

    /// Expires due leases, applies `operation`, and wakes the watches if anything changed.
    pub(crate) fn apply<Output, Operation>(&self, operation: Operation) -> Result<Output, KvError>
    where
        Operation: FnOnce(&mut MemoryState) -> Result<Output, KvError>,
    {
        let mut state = lock(&self.shared.state);
        state.expire_due_leases(Instant::now());
        let before = state.revision();
        let answer = operation(&mut state);
        if state.revision() != before {
            self.shared.changed.send_replace(());
        }
        answer
    }

    /// Reads or replaces the state, without waking the watches.
    pub(crate) fn with_state<Output, Operation>(&self, operation: Operation) -> Output
    where
        Operation: FnOnce(&mut MemoryState) -> Output,
    {
        operation(&mut lock(&self.shared.state))
    }

    /// Has all watches look for events.
    pub(crate) fn notify_watches(&self) {
        self.shared.changed.send_replace(());
    }

    /// Opens a watch. With `wait`, it reports progress whenever there were no changes for that time;
    /// its first request does not wait.
    fn open_watch(
        &self,
        prefix: &str,
        from: Revision,
        wait: Option<Duration>,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<> {
        let cursor = WatchCursor::open(self.clone(), prefix.to_owned(), from, wait);
        stream::unfold(cursor, |mut cursor| async move {
            let batch = cursor.next_batch().await?;
            Some((stream::iter(batch), cursor))
        })
        .flatten()
    }

    async fn wait_while_paused(&self) {
        let mut changed = self.faults.changed.subscribe();
        while self.faults().paused {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    pub(crate) fn count_call<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut KvCalls),
    {
        change(&mut lock(&self.shared.calls));
    }
}

impl KeyValue for MemoryKv {
    fn incarnation(&self) -> watch::Receiver<Incarnation> {
        self.faults.incarnations.subscribe()
    }

    fn note_revision(&self, revision: Revision, incarnation: Incarnation) {
        self.faults
            .incarnations
            .note_revision(revision, incarnation);
    }

    async fn range(&self, prefix: &str) -> Result<Range, KvError> {
        self.count_call(|calls| calls.range_count += 1);
        self.wait_while_paused().await;
        let outcome = lock(&self.faults.active).next_read_outcome();
        let prefix = prefix.to_owned();
        let read = move |state: &mut MemoryState| Ok(state.range(&prefix));
        self.execute_observed(outcome, read, |range| Some(range.revision))
            .await
    }

    async fn txn(&self, txn: Txn) -> Result<TxnOutcome, KvError> {
        self.count_call(|calls| calls.txn_count += 1);
        self.wait_while_paused().await;
        let outcome = lock(&self.faults.active).next_write_outcome();
        // A transaction whose conditions do not hold names no revision of the service.
        let revision_of = |it: &TxnOutcome| it.succeeded.then_some(it.revision);
        self.execute_observed(outcome, move |state| state.txn(&txn), revision_of)
            .await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, KvError> {
        self.count_call(|calls| calls.lease_count += 1);
        self.write(move |state| Ok(state.grant(ttl, Instant::now())))
            .await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Lease, KvError> {
        self.count_call(|calls| calls.lease_count += 1);
        self.write(move |state| state.keep_alive(lease, Instant::now()))
            .await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), KvError> {
        self.count_call(|calls| calls.lease_count += 1);
        self.write(move |state| state.revoke(lease)).await
    }

    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<> {
        self.open_watch(prefix, from, None)
    }

    fn watch_within(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<> {
        self.open_watch(prefix, from, Some(wait))
    }
}

async fn sleep_for(delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
}

fn new_faults() -> Arc<HandleFaults> {
    Arc::new(HandleFaults {
        active: Mutex::default(),
        changed: watch::Sender::new(()),
        watch_cut: watch::Sender::new(0),
        incarnations: IncarnationTracker::default(),
    })
}

pub(crate) fn unreachable() -> KvError {
    KvError::Unreachable {
        endpoint: "memory".to_owned(),
        reason: "switched off".to_owned(),
    }
}

pub(crate) fn no_answer() -> KvError {
    KvError::Unknown {
        reason: "answer lost".to_owned(),
    }
}

pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
