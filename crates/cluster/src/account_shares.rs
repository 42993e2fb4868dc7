//! This instance's part of the limits of client accounts.

use {
    crate::{Members, members::EntryRank},
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Part of an account's limits that the instances grant which its callers use first, one in each
/// region.
const FIRST_SHARE: f64 = 0.6;
/// Part that the instances grant which its callers use if the first one fails.
const SECOND_SHARE: f64 = 0.2;
/// Part that all instances grant equally, for callers with an older list or none.
const EQUAL_SHARE: f64 = 1.0 - FIRST_SHARE - SECOND_SHARE;
/// Time after which a larger part is used, so that instances with older views have given it up.
const RAISE_DELAY: Duration = Duration::from_secs(2);

/// The part of each client account's limits that one instance may grant: the smallest that it was due
/// by any view of the last two seconds.
#[derive(Clone, Debug)]
pub struct AccountShares {
    own: String,
    /// Views and the time since when each holds, oldest first. The first holds since before the
    /// delay, or is the first one of all.
    views: VecDeque<(Instant, Arc<Members>)>,
    started_at: Instant,
}

impl AccountShares {
    /// Creates the shares of the instance `own`, whose first view is `members`.
    #[must_use]
    pub fn new(own: &str, members: Arc<Members>, now: Instant) -> Self {
        Self {
            own: own.to_owned(),
            views: VecDeque::from([(now, members)]),
            started_at: now,
        }
    }

    /// Adopts a view. Must be called at least once a second, also if the view is unchanged.
    pub fn update(&mut self, members: &Arc<Members>, now: Instant) {
        let latest = self.views.back().map(|(_, view)| view);
        if latest.is_none_or(|view| !Arc::ptr_eq(view, members)) {
            self.views.push_back((now, members.clone()));
        }
        while self.views.len() > 1 && is_settled(self.views[1].0, now) {
            self.views.pop_front();
        }
    }

    /// Returns the part of the account's limits that this instance may grant, from 0 to 1.
    #[must_use]
    pub fn share(&self, account: &str, now: Instant) -> f64 {
        let is_starting = !is_settled(self.started_at, now);
        let shares = self.views.iter().map(|(_, view)| {
            let rank = (!is_starting).then(|| view.entry_rank(account, &self.own));
            share_in(view, rank.flatten())
        });
        shares.fold(1.0, f64::min)
    }

    /// Number of instances that the part is worked out from.
    #[must_use]
    pub fn instances_count(&self) -> usize {
        let counts = self.views.iter().map(|(_, view)| view.members_count());
        counts.max().unwrap_or(1)
    }
}

fn is_settled(since: Instant, now: Instant) -> bool {
    now.saturating_duration_since(since) >= RAISE_DELAY
}

/// Members in any state count: one that is suspected or leaves may still grant its part.
#[allow(clippy::cast_precision_loss)]
fn share_in(view: &Members, rank: Option<EntryRank>) -> f64 {
    let regions = view.region_counts();
    let equal_share = EQUAL_SHARE / view.members_count().max(1) as f64;
    // Where no region has a second instance, the first ones grant its part too.
    let first_share = if regions.with_two_count == 0 {
        FIRST_SHARE + SECOND_SHARE
    } else {
        FIRST_SHARE
    };
    match rank {
        Some(EntryRank::First) => equal_share + first_share / regions.all_count.max(1) as f64,
        Some(EntryRank::Second) => {
            equal_share + SECOND_SHARE / regions.with_two_count.max(1) as f64
        }
        None => equal_share,
    }
}
