//! The queue in which requests wait for admission.

use {
    admission::{Admission, Limits, OfferOutcome, Refused, Ticket},
    catalog::{ClientAccount, ClientAccountId},
    cluster::{AccountShares, Members},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep},
};

/// Admits requests in the order that [`Admission`] decides. Queued requests wait asynchronously and
/// occupy no thread. Clones share one queue.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    state: Arc<Mutex<State>>,
    max_wait: Duration,
}

#[derive(Debug)]
struct State {
    admission: Admission,
    /// This instance's parts of the limits; `None` until it knows any view, when it grants all.
    shares: Option<AccountShares>,
    waiting: HashMap<Ticket, (ClientAccountId, TurnSender)>,
}

/// Sends a waiting request its permit or its refusal.
type TurnSender = oneshot::Sender<Result<Permit, Refused>>;

/// Permission for one request to run. Dropping it frees the slot for the next request.
#[derive(Debug)]
pub struct Permit {
    queue: AdmissionQueue,
    account: ClientAccountId,
    admitted_at: Instant,
}

/// A request in the queue. Dropping it before its turn removes it from the queue.
struct QueuedRequest<'a> {
    queue: &'a AdmissionQueue,
    ticket: Ticket,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state = State {
            admission: Admission::new(limits, Instant::now()),
            shares: None,
            waiting: HashMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            max_wait: limits.max_wait,
        }
    }

    /// Sets how many requests may run at once, for example after targets were added or removed.
    pub fn set_max_running(&self, max_running_count: u32) {
        let limits = Limits {
            max_running_count,
            max_wait: self.max_wait,
        };
        self.lock().admission.set_limits(limits);
        self.admit_next(Instant::now());
    }

    /// Divides the limits of client accounts among `members`, as seen by the instance `own`. Must be
    /// called at least once a second, also if they are unchanged.
    pub fn set_members(&self, own: &str, members: &Arc<Members>) {
        let (mut state, now) = (self.lock(), Instant::now());
        match &mut state.shares {
            Some(shares) => shares.update(members, now),
            None => state.shares = Some(AccountShares::new(own, members.clone(), now)),
        }
    }

    /// Waits until a request may run. `cost_tokens` is the sum of its prompt and answer tokens.
    ///
    /// # Errors
    /// [`Refused`] immediately if a limit is exhausted or the expected wait is too long, or after
    /// the longest wait if requests finish more slowly than expected.
    pub async fn admit(
        &self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
    ) -> Result<Permit, Refused> {
        let (ticket, turn) = {
            let mut state = self.lock();
            let now = Instant::now();
            let part = state.account_part(account, now);
            match state.admission.offer(&part, cost_tokens, priority, now) {
                OfferOutcome::Admitted => return Ok(self.permit(account)),
                OfferOutcome::Refused(refused) => {
                    return Err(state.naming_share(refused, account, now));
                }
                OfferOutcome::Queued(ticket) => {
                    let (sender, turn) = oneshot::channel();
                    state.waiting.insert(ticket, (account.name.clone(), sender));
                    (ticket, turn)
                }
            }
        };
        let queued = QueuedRequest {
            queue: self,
            ticket,
        };
        let turn = self.wait(turn).await;
        drop(queued);
        turn.map_err(|refused| self.lock().naming_share(refused, account, Instant::now()))
    }

    /// Returns the number of running and of waiting requests.
    #[must_use]
    pub fn counts(&self) -> (u32, usize) {
        let state = self.lock();
        let admission = &state.admission;
        (admission.running_count(), admission.waiting_count())
    }

    /// Waits for a turn. After each `max_wait`, refuses all requests that have waited too long.
    async fn wait(
        &self,
        mut turn: oneshot::Receiver<Result<Permit, Refused>>,
    ) -> Result<Permit, Refused> {
        loop {
            tokio::select! {
                turn = &mut turn => return turn.unwrap_or_else(|_| Err(self.queue_closed())),
                () = sleep(self.max_wait) => self.refuse_expired(),
            }
        }
    }

    fn queue_closed(&self) -> Refused {
        Refused {
            limit: "the queue of this instance".to_owned(),
            is_of_account: false,
            retry_after: self.max_wait,
        }
    }

    fn refuse_expired(&self) {
        let mut state = self.lock();
        for (ticket, refused) in state.admission.refuse_expired(Instant::now()) {
            if let Some((_, sender)) = state.waiting.remove(&ticket) {
                // Sending fails if the caller has disconnected; it needs no answer then.
                let _ = sender.send(Err(refused));
            }
        }
    }

    fn permit(&self, account: &ClientAccount) -> Permit {
        Permit {
            queue: self.clone(),
            account: account.name.clone(),
            admitted_at: Instant::now(),
        }
    }

    /// Releases the slot of an admitted request and admits the next ones in the queue.
    fn release(&self, account: &ClientAccountId, admitted_at: Instant) {
        let now = Instant::now();
        let run_time = now.saturating_duration_since(admitted_at);
        self.lock().admission.release(account, run_time, now);
        self.admit_next(now);
    }

    /// Gives free slots to the next requests in the queue.
    fn admit_next(&self, now: Instant) {
        let turns: Vec<(ClientAccountId, TurnSender)> = {
            let mut state = self.lock();
            let tickets = state.admission.start_waiting(now);
            tickets
                .iter()
                .filter_map(|ticket| state.waiting.remove(ticket))
                .collect()
        };
        for (account, turn) in turns {
            // If the caller has disconnected, the permit is dropped here, which admits the next
            // request.
            let _ = turn.send(Ok(Permit {
                queue: self.clone(),
                account,
                admitted_at: now,
            }));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// The account with this instance's part of its limits, at least 1 each.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn account_part(&self, account: &ClientAccount, now: Instant) -> ClientAccount {
        let mut part = account.clone();
        if let Some(shares) = &self.shares {
            let share = shares.share(&account.name, now);
            part.max_running_count = (f64::from(account.max_running_count) * share).max(1.0) as u32;
            part.tokens_per_s = (account.tokens_per_s as f64 * share).max(1.0) as u64;
        }
        part
    }

    /// Adds to a refusal which part of the account's limits this instance grants.
    fn naming_share(&self, refused: Refused, account: &ClientAccount, now: Instant) -> Refused {
        let Some(shares) = self.shares.as_ref().filter(|_| refused.is_of_account) else {
            return refused;
        };
        let (share, count) = (shares.share(&account.name, now), shares.instances_count());
        let limit = format!(
            "{} (this instance of {count} grants {share:.4} of that limit; \
             GET /v1/entries names first the one that grants most)",
            refused.limit
        );
        Refused { limit, ..refused }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue.release(&self.account, self.admitted_at);
    }
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.queue.lock();
        if state.waiting.remove(&self.ticket).is_some() {
            state.admission.cancel(self.ticket);
        }
    }
}
