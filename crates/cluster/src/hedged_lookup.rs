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
    bounds: LookupTimeouts,
) -> LookupOutcome {
    let deadline = Instant::now() + bounds.total;
    let mut waiting = owners.iter();
    let mut asked = FuturesUnordered::new();
    let mut lookup = LookupOutcome::default();
    let ask = |owner: &&Member| {
        let left = deadline.saturating_duration_since(Instant::now());
        peers.lookup(owner.peer_address, left, client_account, keys)
    };
    while asked.is_empty() || Instant::now() < deadline {
        if let Some(owner) = waiting.next() {
            asked.push(ask(owner));
        } else if asked.is_empty() {
            return lookup;
        }
        let hedge = if waiting.len() == 0 {
            deadline
        } else {
            deadline.min(Instant::now() + bounds.hedge_after)
        };
        match time::timeout_at(hedge, asked.next().map(Option::transpose)).await {
            Ok(Ok(answer)) => {
                lookup.answer = answer;
                return lookup;
            }
            Ok(Err(error)) => lookup.failures.push(error),
            Err(_) => {}
        }
    }
    lookup
}
