//! Watches of the in-memory key-value service.

use {
    crate::{
        Event, Incarnation, KvError, MemoryKv,
        memory_kv::{lock, no_answer, unreachable},
        memory_state::event_revision,
    },
    catalog::Revision,
    std::time::Duration,
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// Position of one watch in the history of changes.
pub(crate) struct WatchCursor {
    kv: MemoryKv,
    prefix: String,
    next_revision: Revision,
    /// Time after which progress is reported without changes; `None` reports it only with changes.
    wait: Option<Duration>,
    /// Whether a batch was delivered.
    has_answer: bool,
    opened_in: Incarnation,
    cut: watch::Receiver<u64>,
    changed: watch::Receiver<()>,
    faults_changed: watch::Receiver<()>,
    ended: bool,
}

impl WatchCursor {
    /// Opens a watch on the keys with `prefix` from revision `from` on.
    pub(crate) fn open(
        kv: MemoryKv,
        prefix: String,
        from: Revision,
        wait: Option<Duration>,
    ) -> Self {
        Self {
            prefix,
            next_revision: from,
            wait,
            has_answer: false,
            opened_in: kv.faults.incarnations.current(),
            cut: kv.faults.watch_cut.subscribe(),
            changed: kv.shared.changed.subscribe(),
            faults_changed: kv.faults.changed.subscribe(),
            ended: false,
            kv,
        }
    }

    /// Waits for the next changes and returns them, followed by their progress event; `None` once
    /// the watch has ended.
    pub(crate) async fn next_batch(&mut self) -> Option<Vec<Result<Event, KvError>>> {
        if self.ended {
            return None;
        }
        self.kv.count_call(|calls| calls.watch_count += 1);
        let wait = self.wait.filter(|_| self.has_answer);
        let wait = wait.or(self.wait.map(|_| Duration::ZERO));
        let answer_at = wait.map(|wait| Instant::now() + wait);
        self.has_answer = true;
        loop {
            self.changed.mark_unchanged();
            self.faults_changed.mark_unchanged();
            let is_due = answer_at.is_some_and(|at| Instant::now() >= at);
            match self.available_events() {
                Err(error) => {
                    self.ended = true;
                    return Some(vec![Err(error)]);
                }
                Ok(events) if !events.is_empty() => return Some(self.advance(events)),
                Ok(_) if is_due && !self.kv.faults().watches_silent => {
                    return Some(self.advance(Vec::new()));
                }
                Ok(_) => {
                    let wake_at = answer_at.filter(|_| !is_due);
                    tokio::select! {
                        () = self.wait_for_change() => {}
                        () = sleep_until_deadline(wake_at) => {}
                    }
                }
            }
        }
    }

    /// Returns the changes that can be delivered now, or the error that ends the watch.
    fn available_events(&mut self) -> Result<Vec<Event>, KvError> {
        if self.cut.has_changed().unwrap_or(true) {
            return Err(no_answer());
        }
        let faults = self.kv.faults();
        if faults.unreachable {
            return Err(unreachable());
        }
        if faults.watches_silent {
            return Ok(Vec::new());
        }
        let (prefix, from) = (self.prefix.clone(), self.next_revision);
        let incarnations = &self.kv.faults.incarnations;
        self.kv.apply(|state| {
            incarnations.observe(state.named_incarnation(), self.opened_in)?;
            state.events(&prefix, from)
        })
    }

    /// Moves past `events` and appends the progress event.
    fn advance(&mut self, events: Vec<Event>) -> Vec<Result<Event, KvError>> {
        let last_revision = events
            .iter()
            .map(event_revision)
            .max()
            .unwrap_or(self.next_revision.saturating_sub(1));
        self.next_revision = last_revision + 1;
        let incarnations = &self.kv.faults.incarnations;
        incarnations.note_revision(last_revision, self.opened_in);
        let mut batch: Vec<Result<Event, KvError>> = events.into_iter().map(Ok).collect();
        batch.push(Ok(Event::Progress(last_revision)));
        batch
    }

    /// Waits until there may be new events: a change, a fault, a cut or an expiring lease.
    async fn wait_for_change(&mut self) {
        let expiry = lock(&self.kv.shared.state).next_expiry();
        tokio::select! {
            _ = self.changed.changed() => {}
            _ = self.faults_changed.changed() => {}
            () = cut_changed(self.cut.clone()) => {}
            () = sleep_until_deadline(expiry) => {}
        }
    }
}

/// Waits for a cut. Takes a clone of the receiver, so that the watch itself still sees the cut.
async fn cut_changed(mut cut: watch::Receiver<u64>) {
    let _ = cut.changed().await;
}

async fn sleep_until_deadline(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
