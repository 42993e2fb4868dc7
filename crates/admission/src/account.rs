//! Admission state of one client account.

use {
    crate::{Ticket, token_bucket::TokenBucket},
    catalog::ClientAccount,
    std::{cmp::Reverse, collections::BTreeMap, time::Instant},
};

/// A request in the queue.
#[derive(Clone, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) cost_tokens: u64,
    pub(crate) enqueued_at: Instant,
}

/// Order of the queue of an account: higher priority first, then older tickets first.
pub(crate) type QueueKey = (Reverse<u8>, Ticket);

/// Admission state of one client account at this instance.
#[derive(Clone, Debug)]
pub(crate) struct AccountState {
    pub(crate) running_count: u32,
    pub(crate) max_running_count: u32,
    pub(crate) weight: u32,
    pub(crate) token_bucket: TokenBucket,
    pub(crate) waiting: BTreeMap<QueueKey, WaitingRequest>,
    /// Virtual time at which the account's last started request will be completely served.
    finish_tag: f64,
}

impl AccountState {
    pub(crate) fn new(account: &ClientAccount, tokens_per_s: f64, now: Instant) -> Self {
        Self {
            running_count: 0,
            max_running_count: account.max_running_count,
            weight: account.weight.max(1),
            token_bucket: TokenBucket::new(tokens_per_s, now),
            waiting: BTreeMap::new(),
            finish_tag: 0.0,
        }
    }

    /// Returns whether the account's own limit allows one more running request.
    pub(crate) fn may_run(&self) -> bool {
        self.running_count < self.max_running_count
    }

    /// Returns the virtual start time of the account's next request if it is served now.
    pub(crate) fn start_tag(&self, virtual_time: f64) -> f64 {
        self.finish_tag.max(virtual_time)
    }

    /// Counts a request as running and returns its virtual start time.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn start(&mut self, cost_tokens: u64, virtual_time: f64) -> f64 {
        let start = self.start_tag(virtual_time);
        self.finish_tag = start + cost_tokens.max(1) as f64 / f64::from(self.weight);
        self.running_count += 1;
        start
    }

    /// Returns the number of waiting requests that are served before a new one of this priority.
    pub(crate) fn ahead_count(&self, priority: u8) -> usize {
        let last_ahead = (Reverse(priority), Ticket::MAX);
        self.waiting.range(..=last_ahead).count()
    }
}
