//! Fair queue of one entry instance.

use {
    crate::{
        Refused,
        account::{AccountState, QueueKey, WaitingRequest},
        service_time::ServiceTime,
    },
    catalog::{ClientAccount, ClientAccountId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Identifier of a waiting request. Later requests have larger tickets.
pub type Ticket = u64;

/// Shortest retry delay sent to callers.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Admission limits of one entry instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of running requests of all client accounts.
    pub max_running_count: u32,
    /// Maximum time in the queue. A request whose expected wait is longer is refused at once, and a
    /// request that has waited this long is refused then.
    pub max_wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_running_count: 1_024,
            max_wait: Duration::from_secs(1),
        }
    }
}

/// Result of [`Admission::offer`].
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// The request may run now. Call [`Admission::release`] after it has ended.
    Admitted,
    /// The request waits until [`Admission::start_waiting`] or [`Admission::refuse_expired`]
    /// returns the ticket.
    Queued(Ticket),
    /// The request must not run.
    Refused(Refused),
}

/// Admits requests of all client accounts at one entry instance.
///
/// The limits of an account are those that it is offered with: this instance's part of them.
///
/// Each client account has a limit on running requests and a token rate. Requests beyond the token
/// rate are refused; requests beyond the running limit of the account or of the instance wait in a
/// fair queue. It serves accounts in proportion to their weights, measured in tokens, so a large
/// account cannot starve a small one. Within an account higher priorities are served first. The
/// queue is bounded by the expected wait, which follows from the measured rate at which requests
/// end.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    accounts: HashMap<ClientAccountId, AccountState>,
    tickets: BTreeMap<Ticket, (ClientAccountId, QueueKey)>,
    running_count: u32,
    next_ticket: Ticket,
    virtual_time: f64,
    service_time: ServiceTime,
}

impl Admission {
    /// Returns a queue without requests.
    #[must_use]
    pub fn new(limits: Limits, now: Instant) -> Self {
        Self {
            limits,
            accounts: HashMap::new(),
            tickets: BTreeMap::new(),
            running_count: 0,
            next_ticket: 0,
            virtual_time: 0.0,
            service_time: ServiceTime::new(now),
        }
    }

    /// Replaces the limits, for example after the number of instances or targets has changed.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Admits, queues or refuses a request of `cost_tokens` prompt and answer tokens.
    ///
    /// A higher `priority` is served earlier within the account.
    pub fn offer(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
        now: Instant,
    ) -> OfferOutcome {
        match self.admit_or_enqueue(account, cost_tokens, priority, now) {
            Ok(None) => OfferOutcome::Admitted,
            Ok(Some(ticket)) => OfferOutcome::Queued(ticket),
            Err(refused) => OfferOutcome::Refused(refused),
        }
    }

    /// Admits a request, or refuses it where [`Self::offer`] would queue it.
    ///
    /// # Errors
    /// [`Refused`] if a limit is exhausted.
    pub fn try_admit(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        now: Instant,
    ) -> Result<(), Refused> {
        let Some(ticket) = self.admit_or_enqueue(account, cost_tokens, 0, now)? else {
            return Ok(());
        };
        let retry_after = self.expected_wait(account, 0, now).max(MIN_RETRY_DELAY);
        self.cancel(ticket);
        Err(self.wait_refusal(account, retry_after))
    }

    fn admit_or_enqueue(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
        now: Instant,
    ) -> Result<Option<Ticket>, Refused> {
        let limits = self.limits;
        #[allow(clippy::cast_precision_loss)]
        let tokens_per_s = account.tokens_per_s as f64;
        let state = self
            .accounts
            .entry(account.name.clone())
            .or_insert_with(|| AccountState::new(account, tokens_per_s, now));
        state.max_running_count = account.max_running_count;
        state.weight = account.weight.max(1);
        let can_start_now = state.waiting.is_empty()
            && state.may_run()
            && self.running_count < limits.max_running_count;
        let wait = if can_start_now {
            Duration::ZERO
        } else {
            self.expected_wait(account, priority, now)
        };
        if wait > limits.max_wait {
            return Err(self.wait_refusal(account, wait));
        }
        self.take_tokens(account, cost_tokens, tokens_per_s, now)?;
        if can_start_now {
            self.start(&account.name, cost_tokens, now);
            return Ok(None);
        }
        Ok(Some(self.enqueue(account, cost_tokens, priority, now)))
    }

    #[allow(clippy::cast_precision_loss)]
    fn take_tokens(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        tokens_per_s: f64,
        now: Instant,
    ) -> Result<(), Refused> {
        let Some(state) = self.accounts.get_mut(&account.name) else {
            return Ok(());
        };
        let taken = state
            .token_bucket
            .try_take(cost_tokens as f64, tokens_per_s, now);
        taken.map_err(|wait| Refused {
            limit: format!("tokens_per_s of client account {:?}", account.name),
            is_of_account: true,
            retry_after: wait.max(MIN_RETRY_DELAY),
        })
    }

    fn enqueue(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
        now: Instant,
    ) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let queue_key = (Reverse(priority), ticket);
        let waiting = WaitingRequest {
            cost_tokens,
            enqueued_at: now,
        };
        if let Some(state) = self.accounts.get_mut(&account.name) {
            state.waiting.insert(queue_key, waiting);
        }
        self.tickets
            .insert(ticket, (account.name.clone(), queue_key));
        ticket
    }

    /// Frees the slot of an admitted request that has ended.
    ///
    /// `run_time` is the time since the request was admitted or its ticket was returned.
    pub fn release(&mut self, account: &ClientAccountId, run_time: Duration, now: Instant) {
        self.service_time.record_end(run_time, now);
        self.running_count = self.running_count.saturating_sub(1);
        if let Some(state) = self.accounts.get_mut(account) {
            state.running_count = state.running_count.saturating_sub(1);
        }
    }

    /// Starts the waiting requests that may run now and returns their tickets.
    ///
    /// Must be called after each [`Self::release`].
    pub fn start_waiting(&mut self, now: Instant) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running_count < self.limits.max_running_count {
            let Some((name, queue_key)) = self.next_waiting() else {
                break;
            };
            let Some(waiting) = self.remove_waiting(&name, queue_key) else {
                break;
            };
            self.start(&name, waiting.cost_tokens, now);
            started.push(queue_key.1);
        }
        started
    }

    /// Removes the requests that have waited too long and returns them with their refusals.
    ///
    /// Such requests exist if running requests end more slowly than expected. Must be called a few
    /// times per second.
    pub fn refuse_expired(&mut self, now: Instant) -> Vec<(Ticket, Refused)> {
        let max_wait = self.limits.max_wait;
        let is_overdue =
            |enqueued_at: Instant| now.saturating_duration_since(enqueued_at) >= max_wait;
        let mut overdue = Vec::new();
        for (name, state) in &self.accounts {
            let keys = state
                .waiting
                .iter()
                .filter(|(_, it)| is_overdue(it.enqueued_at));
            overdue.extend(keys.map(|(queue_key, _)| (name.clone(), *queue_key)));
        }
        let retry_after = self.service_time.estimate(now).max(max_wait);
        let refuse = |(name, queue_key): (ClientAccountId, QueueKey)| {
            let is_of_account = self.accounts.get(&name).is_some_and(|it| !it.may_run());
            self.remove_and_refund(&name, queue_key);
            let refused = Refused {
                limit: format!("the queue for client account {name:?}"),
                is_of_account,
                retry_after,
            };
            (queue_key.1, refused)
        };
        overdue.into_iter().map(refuse).collect()
    }

    /// Removes a waiting request, for example because its caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some((name, queue_key)) = self.tickets.get(&ticket).cloned() {
            self.remove_and_refund(&name, queue_key);
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.tickets.len()
    }

    fn start(&mut self, account: &ClientAccountId, cost_tokens: u64, now: Instant) {
        if self.running_count == 0 {
            self.service_time.record_first_start(now);
        }
        if let Some(state) = self.accounts.get_mut(account) {
            self.virtual_time = state.start(cost_tokens, self.virtual_time);
            self.running_count += 1;
        }
    }

    fn remove_waiting(
        &mut self,
        account: &ClientAccountId,
        queue_key: QueueKey,
    ) -> Option<WaitingRequest> {
        self.tickets.remove(&queue_key.1);
        self.accounts.get_mut(account)?.waiting.remove(&queue_key)
    }

    /// Removes a waiting request that will not run and refunds its tokens.
    #[allow(clippy::cast_precision_loss)]
    fn remove_and_refund(&mut self, account: &ClientAccountId, queue_key: QueueKey) {
        let Some(waiting) = self.remove_waiting(account, queue_key) else {
            return;
        };
        if let Some(state) = self.accounts.get_mut(account) {
            state.token_bucket.refund(waiting.cost_tokens as f64);
        }
    }

    /// Returns the request to serve next: the first one of the account that is furthest behind its
    /// fair share.
    fn next_waiting(&self) -> Option<(ClientAccountId, QueueKey)> {
        self.accounts
            .iter()
            .filter(|(_, state)| state.may_run())
            .filter_map(|(name, state)| Some((name, state, state.waiting.keys().next()?)))
            .min_by(|left, right| {
                let start_tag = |state: &AccountState| state.start_tag(self.virtual_time);
                start_tag(left.1)
                    .total_cmp(&start_tag(right.1))
                    .then_with(|| left.2.1.cmp(&right.2.1))
            })
            .map(|(name, _, queue_key)| (name.clone(), *queue_key))
    }

    /// Returns the expected wait of a new request: the time to serve it and the requests ahead of
    /// it in its account, at the account's share of the rate at which requests end.
    #[allow(clippy::cast_precision_loss)]
    fn expected_wait(&self, account: &ClientAccount, priority: u8, now: Instant) -> Duration {
        let Some(state) = self.accounts.get(&account.name) else {
            return Duration::ZERO;
        };
        let mean_service_s = self.service_time.estimate(now).as_secs_f64();
        let others = self.accounts.iter().filter(|(name, other)| {
            **name != account.name && !other.waiting.is_empty() && other.may_run()
        });
        let others_weight: f64 = others.map(|(_, other)| f64::from(other.weight)).sum();
        let weight = f64::from(state.weight);
        let weight_share = weight / (weight + others_weight);
        let slots_count = f64::from(self.limits.max_running_count) * weight_share;
        let slots_count = slots_count
            .min(f64::from(state.max_running_count))
            .max(0.01);
        let ahead_count = state.ahead_count(priority) as f64 + 1.0;
        Duration::try_from_secs_f64(ahead_count * mean_service_s / slots_count)
            .unwrap_or(Duration::MAX)
    }

    fn wait_refusal(&self, account: &ClientAccount, wait: Duration) -> Refused {
        let state = self.accounts.get(&account.name);
        let is_of_account = state.is_some_and(|state| !state.may_run());
        let limit = if is_of_account {
            format!("max_running_count of client account {:?}", account.name)
        } else {
            "the number of requests that run at once at this instance".to_owned()
        };
        Refused {
            limit,
            is_of_account,
            retry_after: wait.max(MIN_RETRY_DELAY),
        }
    }
}
