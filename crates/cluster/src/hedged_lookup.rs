//! Hedged lookup: asks the next owner of a key if the first one is slow.

use {
    crate::{DirectoryAnswer, Member, PeerError, Peers},
    catalog::ClientAccountId,
    futures::{FutureExt, StreamExt, stream::FuturesUnordered},
    prefix::BlockKey,
    std::time::Duration,
    tokio::time::{self, Instant},
};

/// Timeouts of a lookup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LookupTimeouts {
    /// Time to wait for an owner before the next one is asked as well.
    pub hedge_after: Duration,
    /// Timeout of the whole lookup.
    pub total: Duration,
}

impl Default for LookupTimeouts {
    /// 5 ms and 20 ms.
    fn default() -> Self {
        Self {
            hedge_after: Duration::from_millis(5),
            total: Duration::from_millis(20),
        }
    }
}

/// Outcome of a lookup.
#[derive(Debug, Default)]
pub struct LookupOutcome {
    /// The first answer, if one arrived in time.
    pub answer: Option<DirectoryAnswer>,
    /// Failures of owners before the first answer, for the decision record.
    pub failures: Vec<PeerError>,
}

impl LookupOutcome {
    /// Whether copies may exist that are missing from the answer.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        !self
            .answer
            .as_ref()
            .is_some_and(|answer| answer.is_complete)
    }
}

/// Asks the first of `owners`, then the next one after [`LookupTimeouts::hedge_after`] or a
/// failure, and returns the first answer. Never fails: the caller continues without what is
/// missing.
///
/// An instance that owns the key itself uses its own directory instead of calling this.
pub async fn hedged_lookup(
    peers: &Peers,
    owners: &[&Member],
    client_account: &ClientAccountId,
    keys: &[BlockKey],
    timeouts: LookupTimeouts,
) -> LookupOutcome {
    let deadline = Instant::now() + timeouts.total;
    let mut remaining_owners = owners.iter();
    let mut in_flight = FuturesUnordered::new();
    let mut outcome = LookupOutcome::default();
    let send_request = |owner: &&Member| {
        let time_left = deadline.saturating_duration_since(Instant::now());
        peers.lookup(owner.peer_address, time_left, client_account, keys)
    };
    while in_flight.is_empty() || Instant::now() < deadline {
        if let Some(owner) = remaining_owners.next() {
            in_flight.push(send_request(owner));
        } else if in_flight.is_empty() {
            return outcome;
        }
        let hedge_deadline = if remaining_owners.len() == 0 {
            deadline
        } else {
            deadline.min(Instant::now() + timeouts.hedge_after)
        };
        match time::timeout_at(hedge_deadline, in_flight.next().map(Option::transpose)).await {
            Ok(Ok(answer)) => {
                outcome.answer = answer;
                return outcome;
            }
            Ok(Err(error)) => outcome.failures.push(error),
            Err(_) => {}
        }
    }
    outcome
}
