//! The fair queue of one entry instance.

use {
    crate::{
        Refused,
        account::{AccountState, Waiting, WaitingKey},
        service_time::ServiceTime,
    },
    catalog::{ClientAccount, ClientAccountId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Number of a waiting request, rising with each.
pub type Ticket = u64;

/// Shortest time to come back that callers are told.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Limits of one entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests that may run at once, of all client accounts.
    pub max_running_count: u32,
    /// Longest expected wait with which a request is still queued. One that would wait longer is
    /// refused at once, and one that has waited this long is refused then.
    pub max_wait: Duration,
    /// Share of each client account's limits that this instance hands out, from 0 to 1: one
    /// divided by the number of instances that the account's callers use.
    pub account_share: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_running_count: 1_024,
            max_wait: Duration::from_secs(1),
            account_share: 1.0,
        }
    }
}

/// Answer to [`Admission::offer`].
#[derive(Clone, Debug, PartialEq)]
pub enum OfferOutcome {
    /// The request runs now; [`Admission::release`] is due when it has ended.
    Admitted,
    /// The request waits until [`Admission::start_waiting`] or [`Admission::refuse_expired`] returns the ticket.
    Queued(Ticket),
    /// Nothing of the request runs.
    Refused(Refused),
}

/// Admits requests of all client accounts at one entry instance.
///
/// Each client account has a running limit and a token rate. Beyond the instance's own limit,
/// requests wait in a fair queue: accounts are served in proportion to their weights, counted in
/// tokens, so a large account cannot starve a small one; within an account higher priorities go
/// first. The queue is bounded by the expected wait, which follows from the measured rate at which
/// requests end.
#[derive(Debug)]
pub struct Admission {
    limits: Limits,
    accounts: HashMap<ClientAccountId, AccountState>,
    tickets: BTreeMap<Ticket, (ClientAccountId, WaitingKey)>,
    running_count: u32,
    next_ticket: Ticket,
    virtual_time: f64,
    service_time: ServiceTime,
}

impl Admission {
    /// An instance without requests.
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

    /// Changes the limits, for example after instances or targets came or went.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Offers a request of `cost_tokens` prompt and answer tokens; higher `priority` is served
    /// sooner within its account. Answers at once.
    pub fn offer(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
        now: Instant,
    ) -> OfferOutcome {
        match self.admit_or_wait(account, cost_tokens, priority, now) {
            Ok(None) => OfferOutcome::Admitted,
            Ok(Some(ticket)) => OfferOutcome::Queued(ticket),
            Err(refused) => OfferOutcome::Refused(refused),
        }
    }

    /// Like [`Self::offer`], but refuses where that would queue.
    ///
    /// # Errors
    /// [`Refused`] if a limit is exhausted.
    pub fn try_admit(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        now: Instant,
    ) -> Result<(), Refused> {
        let Some(ticket) = self.admit_or_wait(account, cost_tokens, 0, now)? else {
            return Ok(());
        };
        let retry_after = self.expected_wait(account, 0, now).max(MIN_RETRY);
        self.cancel(ticket);
        Err(self.refused_wait(account, retry_after))
    }

    fn admit_or_wait(
        &mut self,
        account: &ClientAccount,
        cost_tokens: u64,
        priority: u8,
        now: Instant,
    ) -> Result<Option<Ticket>, Refused> {
        let limits = self.limits;
        let tokens_per_s = rate_share(account, &limits);
        let state = self
            .accounts
            .entry(account.name.clone())
            .or_insert_with(|| AccountState::new(account, tokens_per_s, now));
        state.max_running_count = running_share(account, &limits);
        state.weight = account.weight.max(1);
        let runs_now = state.waiting.is_empty()
            && state.may_run()
            && self.running_count < limits.max_running_count;
        let wait = if runs_now {
            Duration::ZERO
        } else {
            self.expected_wait(account, priority, now)
        };
        if wait > limits.max_wait {
            return Err(self.refused_wait(account, wait));
        }
        self.take_tokens(account, cost_tokens, tokens_per_s, now)?;
        if runs_now {
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
        let taken = state.bucket.take(cost_tokens as f64, tokens_per_s, now);
        taken.map_err(|wait| Refused {
            limit: format!("tokens_per_s of client account {:?}", account.name),
            retry_after: wait.max(MIN_RETRY),
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
        let key = (Reverse(priority), ticket);
        let waiting = Waiting {
            cost_tokens,
            since: now,
        };
        if let Some(state) = self.accounts.get_mut(&account.name) {
            state.waiting.insert(key, waiting);
        }
        self.tickets.insert(ticket, (account.name.clone(), key));
        ticket
    }

    /// Gives back what an admitted request took, after it has ended. It ran for `ran`, from the
    /// time when it was admitted or its ticket was returned.
    pub fn release(&mut self, account: &ClientAccountId, ran: Duration, now: Instant) {
        self.service_time.end(ran, now);
        self.running_count = self.running_count.saturating_sub(1);
        if let Some(state) = self.accounts.get_mut(account) {
            state.running_count = state.running_count.saturating_sub(1);
        }
    }

    /// Starts the waiting requests that may run now and returns their tickets. Call it after each
    /// [`Self::release`].
    pub fn start_waiting(&mut self, now: Instant) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running_count < self.limits.max_running_count {
            let Some((name, key)) = self.first_waiting() else {
                break;
            };
            let Some(waiting) = self.remove(&name, key) else {
                break;
            };
            self.start(&name, waiting.cost_tokens, now);
            started.push(key.1);
        }
        started
    }

    /// Takes out the requests that have waited for too long, because requests end more slowly than
    /// was expected, and returns them with what to tell their callers. Call it a few times a
    /// second.
    pub fn refuse_expired(&mut self, now: Instant) -> Vec<(Ticket, Refused)> {
        let max_wait = self.limits.max_wait;
        let is_late = |since: Instant| now.saturating_duration_since(since) >= max_wait;
        let mut late = Vec::new();
        for (name, state) in &self.accounts {
            let keys = state.waiting.iter().filter(|(_, it)| is_late(it.since));
            late.extend(keys.map(|(key, _)| (name.clone(), *key)));
        }
        let retry_after = self.service_time.mean(now).max(max_wait);
        let refuse = |(name, key): (ClientAccountId, WaitingKey)| {
            self.give_up(&name, key);
            let limit = format!("the queue for client account {name:?}");
            (key.1, Refused { limit, retry_after })
        };
        late.into_iter().map(refuse).collect()
    }

    /// Takes a waiting request out, for example because its caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some((name, key)) = self.tickets.get(&ticket).cloned() {
            self.give_up(&name, key);
        }
    }

    /// Requests that run.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.tickets.len()
    }

    fn start(&mut self, account: &ClientAccountId, cost_tokens: u64, now: Instant) {
        if self.running_count == 0 {
            self.service_time.begin(now);
        }
        if let Some(state) = self.accounts.get_mut(account) {
            self.virtual_time = state.start(cost_tokens, self.virtual_time);
            self.running_count += 1;
        }
    }

    fn remove(&mut self, account: &ClientAccountId, key: WaitingKey) -> Option<Waiting> {
        self.tickets.remove(&key.1);
        self.accounts.get_mut(account)?.waiting.remove(&key)
    }

    /// Removes a waiting request that will not run, and puts back its tokens.
    #[allow(clippy::cast_precision_loss)]
    fn give_up(&mut self, account: &ClientAccountId, key: WaitingKey) {
        let Some(waiting) = self.remove(account, key) else {
            return;
        };
        if let Some(state) = self.accounts.get_mut(account) {
            state.bucket.put_back(waiting.cost_tokens as f64);
        }
    }

    /// The request to serve next: first of the account that is furthest behind its fair share.
    fn first_waiting(&self) -> Option<(ClientAccountId, WaitingKey)> {
        self.accounts
            .iter()
            .filter(|(_, state)| state.may_run())
            .filter_map(|(name, state)| Some((name, state, state.waiting.keys().next()?)))
            .min_by(|left, right| {
                let tag = |state: &AccountState| state.start_tag(self.virtual_time);
                tag(left.1)
                    .total_cmp(&tag(right.1))
                    .then_with(|| left.2.1.cmp(&right.2.1))
            })
            .map(|(name, _, key)| (name.clone(), *key))
    }

    /// Expected wait of a new request: those ahead of it in its account, at the account's share of
    /// the rate at which requests end.
    #[allow(clippy::cast_precision_loss)]
    fn expected_wait(&self, account: &ClientAccount, priority: u8, now: Instant) -> Duration {
        let Some(state) = self.accounts.get(&account.name) else {
            return Duration::ZERO;
        };
        let mean_s = self.service_time.mean(now).as_secs_f64();
        let others = self.accounts.iter().filter(|(name, other)| {
            **name != account.name && !other.waiting.is_empty() && other.may_run()
        });
        let others_weight: f64 = others.map(|(_, other)| f64::from(other.weight)).sum();
        let weight = f64::from(state.weight);
        let share = weight / (weight + others_weight);
        let slots = f64::from(self.limits.max_running_count) * share;
        let slots = slots.min(f64::from(state.max_running_count)).max(0.01);
        let ahead_count = state.ahead_count(priority) as f64 + 1.0;
        Duration::try_from_secs_f64(ahead_count * mean_s / slots).unwrap_or(Duration::MAX)
    }

    fn refused_wait(&self, account: &ClientAccount, wait: Duration) -> Refused {
        let state = self.accounts.get(&account.name);
        let limit = if state.is_some_and(|state| !state.may_run()) {
            format!("max_running_count of client account {:?}", account.name)
        } else {
            "the number of requests that run at once at this instance".to_owned()
        };
        Refused {
            limit,
            retry_after: wait.max(MIN_RETRY),
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn rate_share(account: &ClientAccount, limits: &Limits) -> f64 {
    account.tokens_per_s as f64 * limits.account_share.clamp(0.0, 1.0)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn running_share(account: &ClientAccount, limits: &Limits) -> u32 {
    let count = f64::from(account.max_running_count) * limits.account_share.clamp(0.0, 1.0);
    count.ceil() as u32
}
