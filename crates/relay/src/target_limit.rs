//! The limit that a target states for the calls of all instances together.

use {
    balance::{LimitShare, limit_part},
    std::time::Duration,
};

/// Least time without an answer after which an instance may try one call beyond its part, to learn
/// whether the limit still holds.
const MIN_TRIAL_PERIOD: Duration = Duration::from_secs(10);
/// Same, for each instance, so that the trials of all stay rare.
const TRIAL_PERIOD_PER_INSTANCE: Duration = Duration::from_secs(4);

/// The instances among which a limit is divided.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Senders<'view> {
    /// Rendezvous seed of this instance.
    pub(crate) own_seed: u64,
    /// Rendezvous seeds of the ready instances.
    pub(crate) instance_seeds: &'view [u64],
}

impl Senders<'_> {
    /// Number of ready instances.
    pub(crate) fn instances_count(self) -> u32 {
        u32::try_from(self.instance_seeds.len()).unwrap_or(u32::MAX)
    }
}

/// The limit of a target as known to this instance, and the part of this instance. Times are by
/// [`crate::boot_time`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetLimit {
    limit_per_s: f64,
    /// When an answer last stated the limit to this instance; `None` if it was only announced.
    stated_at: Option<Duration>,
    /// When this instance learned that the target has a limit.
    since: Duration,
    /// When a call last tried whether the limit still holds.
    tried_at: Duration,
    /// Part of this instance; `None` until a call wants to use it.
    share: Option<LimitShare>,
    /// Whether another instance tells when the limit ends, so that no trial is needed.
    is_announced: bool,
    /// Delay of a trial, as a share of the trial period, so that instances do not try together.
    trial_jitter: f64,
}

impl TargetLimit {
    /// Creates a limit that this instance learned of at `now`, neither stated nor announced yet.
    /// `random` is between 0 and 1.
    pub(crate) fn new(limit_per_s: f64, now: Duration, random: f64) -> Self {
        Self {
            limit_per_s,
            stated_at: None,
            since: now,
            tried_at: now,
            share: None,
            is_announced: false,
            trial_jitter: random,
        }
    }

    /// Records that an answer of the target stated the limit to this instance.
    pub(crate) fn state(&mut self, limit_per_s: f64, now: Duration) {
        self.limit_per_s = limit_per_s;
        self.stated_at = Some(now);
    }

    /// Records that another instance announced the limit and tells when it ends. A limit that an
    /// answer stated to this instance keeps its value.
    pub(crate) fn announce(&mut self, limit_per_s: f64) {
        self.is_announced = true;
        if self.stated_at.is_none() {
            self.limit_per_s = limit_per_s;
        }
    }

    /// Records that no other instance tells any more when the limit ends.
    pub(crate) fn end_announcement(&mut self) {
        self.is_announced = false;
    }

    /// The limit in calls per second.
    pub(crate) fn limit_per_s(&self) -> f64 {
        self.limit_per_s
    }

    /// When an answer last stated the limit to this instance; `None` if it was only announced.
    pub(crate) fn stated_at(&self) -> Option<Duration> {
        self.stated_at
    }

    /// Time until this instance may send a call; `None` if other instances use the whole limit.
    pub(crate) fn time_until_call(
        &mut self,
        target_seed: u64,
        senders: Senders<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let share = *self.update_share(target_seed, senders, now);
        if self.is_trial_due(senders, now) {
            return Some(Duration::ZERO);
        }
        share.time_until_token(now)
    }

    /// Takes the right to send one call. Returns false if there is none now.
    pub(crate) fn try_take(
        &mut self,
        target_seed: u64,
        senders: Senders<'_>,
        now: Duration,
    ) -> bool {
        if self.is_trial_due(senders, now) {
            self.tried_at = now;
            return true;
        }
        self.update_share(target_seed, senders, now).try_take(now)
    }

    /// Adapts this instance's part to the instances that are ready now.
    fn update_share(
        &mut self,
        target_seed: u64,
        senders: Senders<'_>,
        now: Duration,
    ) -> &mut LimitShare {
        let Senders {
            own_seed,
            instance_seeds,
        } = senders;
        let part = limit_part(self.limit_per_s, target_seed, own_seed, instance_seeds);
        let since = self.since;
        let share = self
            .share
            .get_or_insert_with(|| LimitShare::new(part, since));
        share.set_rate(part, now);
        share
    }

    /// Whether nothing was heard of the limit for so long that one call may try whether it holds.
    fn is_trial_due(&self, senders: Senders<'_>, now: Duration) -> bool {
        if self.is_announced {
            return false;
        }
        let period = TRIAL_PERIOD_PER_INSTANCE
            .saturating_mul(senders.instances_count())
            .max(MIN_TRIAL_PERIOD);
        let quiet_since = self.stated_at.unwrap_or_default().max(self.tried_at);
        now.saturating_sub(quiet_since) > period.mul_f64(1.0 + self.trial_jitter)
    }
}
