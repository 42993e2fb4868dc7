//! Asks the owners of a key, the second soon after the first.

use {
    crate::{DirectoryAnswer, Member, PeerError, Peers},
    catalog::ClientAccountId,
    futures::{FutureExt, StreamExt, stream::FuturesUnordered},
    prefix::BlockKey,
    std::time::Duration,
    tokio::time::{self, Instant},
};

/// How long owners are waited for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LookupTimeouts {
    /// Wait for one owner before the next is asked too.
    pub hedge_after: Duration,
    /// Bound on the whole look-up.
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

/// What a look-up gave.
#[derive(Debug, Default)]
pub struct LookupOutcome {
    /// The first answer, if one came in time.
    pub answer: Option<DirectoryAnswer>,
    /// Owners that failed before that, with the reason. For the decision record.
    pub failures: Vec<PeerError>,
}

impl LookupOutcome {
    /// Whether copies may exist that the answer lacks.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        !self
            .answer
            .as_ref()
            .is_some_and(|answer| answer.is_complete)
    }
}

/// Asks the first of `owners`, after a while or a failure also the next, and takes the first
/// answer. Never fails: the request goes on without what is missing.
///
/// An instance that is an owner itself answers from its own directory instead.
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
