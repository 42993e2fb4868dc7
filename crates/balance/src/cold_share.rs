//! This instance's part of the calls that a cold target bears from all instances together.

use {
    crate::{limit_share::LimitShare, rendezvous, smallest_part::SmallestPart},
    std::{cmp::Reverse, time::Duration},
};

/// Time in which no more calls than the bound may be sent to a cold target.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest time from taking the right to a call until it is sent. Calls that were taken in so much more
/// than the window may be sent within it.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
/// Number of groups of instances that may each use what one view of the ready instances allows: those
/// that follow the view, and those that are cut off or suspended with an older one.
const VIEWS_COUNT: f64 = 2.0;
/// Calls within the window for each instance that sends. Few send, since each can send a call at any
/// moment.
const CALLS_PER_SENDER: u32 = 8;
/// What the calls of a window stay below the next whole number, so that rounding adds none.
const ROUNDING_MARGIN_COUNT: f64 = 0.1;

/// What a cold target bears from all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Rendezvous seed of the target.
    pub target_seed: u64,
    /// Calls per second that the target bears while it is cold; finite and not negative.
    pub calls_per_s: f64,
    /// Factor by which one second may exceed that; finite and not negative.
    pub overage_factor: f64,
    /// Calls by which one second may exceed that besides; finite and not negative.
    pub slack_count: f64,
}

impl ColdBound {
    /// Calls that the target may be sent in one second by all instances, whatever their views.
    #[must_use]
    pub fn max_calls_count(&self) -> u32 {
        to_count(self.calls_per_s * self.overage_factor + self.slack_count)
    }

    /// Calls in one second that the instances with one view use: half the bound, but one call where the
    /// bound is so low that two groups would exceed it together.
    #[must_use]
    pub fn usable_calls_count(&self) -> u32 {
        let max_calls_count = self.max_calls_count();
        let of_one_view = to_count(f64::from(max_calls_count) / VIEWS_COUNT);
        of_one_view.max(max_calls_count.min(1))
    }

    /// Largest number of instances that send calls to the target.
    #[must_use]
    pub fn max_senders_count(&self) -> u32 {
        let usable_calls_count = self.usable_calls_count();
        (usable_calls_count / CALLS_PER_SENDER).max(usable_calls_count.min(1))
    }

    /// Returns the calls per second that the instance `own_seed` may send; 0 if other instances use all.
    ///
    /// The senders are chosen by rendezvous hashing among the `instance_seeds`, so that instances with
    /// the same view agree without a message. An instance that is missing there has no part: the
    /// others do not reckon with it, or no longer.
    #[must_use]
    pub fn part(&self, own_seed: u64, instance_seeds: &[u64]) -> f64 {
        if !instance_seeds.contains(&own_seed) {
            return 0.0;
        }
        let own_score = rendezvous::score(self.target_seed, own_seed);
        let scores = instance_seeds
            .iter()
            .map(|seed| rendezvous::score(self.target_seed, *seed));
        let (mut instances_count, mut rank) = (0_u32, 0_u32);
        for score in scores {
            instances_count += 1;
            rank += u32::from(score > own_score);
        }
        let senders_count = self.max_senders_count().min(instances_count);
        if rank >= senders_count {
            return 0.0;
        }
        self.rate_per_s() / f64::from(senders_count)
    }

    /// The instances of `instance_seeds` that send calls to the target, which agree with
    /// [`ColdBound::part`].
    #[must_use]
    pub fn senders(&self, instance_seeds: &[u64]) -> Vec<u64> {
        let senders_count = usize::try_from(self.max_senders_count()).unwrap_or(usize::MAX);
        let mut seeds = instance_seeds.to_vec();
        seeds.sort_by_cached_key(|seed| Reverse(rendezvous::score(self.target_seed, *seed)));
        seeds.truncate(senders_count);
        seeds
    }

    /// Calls per second of all senders together. It does not depend on their number, so that views of
    /// different size do not add up to more.
    fn rate_per_s(&self) -> f64 {
        let at_once_count = f64::from(self.max_senders_count());
        let refilled_count =
            f64::from(self.usable_calls_count()) + 1.0 - ROUNDING_MARGIN_COUNT - at_once_count;
        let window = WINDOW + MAX_SEND_DELAY;
        self.calls_per_s
            .min(refilled_count.max(0.0) / window.as_secs_f64())
    }
}

/// Rounds down to a number of calls.
fn to_count(calls: f64) -> u32 {
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let count = calls.max(0.0) as u32;
    count
}

/// This instance's calls to one target while it is cold: its part, one call at once at most.
///
/// It begins without a part and uses the smallest one that it has been due within a delay, so that
/// others have given up what it uses more. It is therefore kept up to date while the target is warm
/// too. Times are by any clock that does not go back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdShare {
    part_per_s: SmallestPart<f64>,
    /// Calls within the part; `None` while there is no part.
    calls: Option<LimitShare>,
}

impl ColdShare {
    /// Adapts the share to the part that this instance is due by the instances that are ready at `now`.
    pub fn update(&mut self, due_per_s: f64, now: Duration) {
        let part_per_s = self.part_per_s.update(due_per_s, now);
        if part_per_s <= 0.0 {
            self.calls = None;
            return;
        }
        let calls = self
            .calls
            .get_or_insert_with(|| LimitShare::without_burst(part_per_s, now));
        calls.set_rate(part_per_s, now);
    }

    /// Takes the right to send one call. Returns false if there is none now.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.calls.as_mut().is_some_and(|calls| calls.try_take(now))
    }

    /// Counts a request that was sent without the right to it, such as a health check: the next call
    /// waits for so much longer.
    pub fn charge(&mut self, now: Duration) {
        if let Some(calls) = &mut self.calls {
            calls.charge(now);
        }
    }

    /// Time until this instance may send a call; `None` if other instances use the whole bound.
    #[must_use]
    pub fn time_until_call(&self, now: Duration) -> Option<Duration> {
        self.calls.and_then(|calls| calls.time_until_token(now))
    }
}
