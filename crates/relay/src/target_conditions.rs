//! What a target has stated of itself, and whether it may be sent a call now.

use {
    crate::{
        ColdPool, TargetState, boot_time,
        cold_state::ColdState,
        pool_bounds::PoolBound,
        refusal_bound::RefusalBound,
        requested_backoff::RequestedBackoff,
        target_limit::{Senders, TargetLimit},
    },
    balance::return_delay,
    std::time::Duration,
};

/// Why a target gets no call now although its registration says that it takes calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Obstacle {
    /// It has stated that it is about to exit.
    Leaving,
    /// It has refused a call and named the time from which it takes calls again.
    Backoff,
    /// Its limit allows this instance no call.
    Limit,
    /// It is or may be cold, and this instance has no share of what it bears, or has used it.
    Cold,
    /// It bears few refusals, and has refused a call lately or has no place for one of this instance.
    RefusalBound,
    /// Its backoff is over, but other instances return to it first.
    Return,
}

impl Obstacle {
    /// All obstacles, in the order of [`PassedOver`].
    const ALL: [Self; 6] = [
        Self::Leaving,
        Self::Backoff,
        Self::Limit,
        Self::Cold,
        Self::RefusalBound,
        Self::Return,
    ];

    /// Name in the metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Backoff => "backoff",
            Self::Limit => "limit",
            Self::Cold => "cold",
            Self::RefusalBound => "refusal_bound",
            Self::Return => "return",
        }
    }
}

/// Number of targets that were passed over in one choice, by obstacle.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PassedOver {
    counts: [u32; Obstacle::ALL.len()],
}

impl PassedOver {
    /// Counts a target.
    pub(crate) fn record(&mut self, obstacle: Obstacle) {
        self.counts[obstacle as usize] += 1;
    }

    /// Whether a target was passed over because of `obstacle`.
    pub(crate) fn has(&self, obstacle: Obstacle) -> bool {
        self.count(obstacle) > 0
    }

    /// Number of targets that were passed over because of `obstacle`.
    pub(crate) fn count(&self, obstacle: Obstacle) -> u32 {
        self.counts[obstacle as usize]
    }

    /// Whether no target was counted.
    pub(crate) fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }

    /// Names of the obstacles that were in the way, with the number of targets.
    pub(crate) fn by_name(&self) -> impl Iterator<Item = (&'static str, u32)> {
        let names = Obstacle::ALL.map(Obstacle::name);
        let counts = names.into_iter().zip(self.counts);
        counts.filter(|(_, count)| *count > 0)
    }
}

/// When a target may be sent the next call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NextCall {
    /// Now.
    Now,
    /// After `wait`, or at a time that is not known, because of the obstacle.
    Later {
        obstacle: Obstacle,
        wait: Option<Duration>,
    },
}

/// What [`TargetConditions::next_call`] depends on besides what the target has stated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallContext<'view> {
    /// Rendezvous seed of the target.
    pub(crate) target_seed: u64,
    /// Number of calls that the target runs concurrently.
    pub(crate) slots_count: u32,
    /// Instances among which the limit and the places are divided.
    pub(crate) senders: Senders<'view>,
    /// Refusals that another target of the pool has lately said it bears.
    pub(crate) pool_bound: Option<PoolBound>,
    /// What cold targets of the pool bear; `None` if their calls are not bounded.
    pub(crate) cold_pool: Option<ColdPool<'view>>,
    /// Time by [`crate::boot_time`].
    pub(crate) now: Duration,
}

impl<'view> CallContext<'view> {
    /// Creates the context of a call at `target` at the moment.
    pub(crate) fn new(
        target: &TargetState,
        senders: Senders<'view>,
        pool_bound: Option<PoolBound>,
        cold_pool: Option<ColdPool<'view>>,
    ) -> Self {
        Self {
            target_seed: target.seed,
            slots_count: target.slots_count,
            senders,
            pool_bound,
            cold_pool,
            now: boot_time(),
        }
    }
}

/// What a target has stated of itself in its answers and what other instances have announced of it,
/// as far as it decides whether the target may be sent a call.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TargetConditions {
    /// Whether the target is about to exit. It stays so until the target starts anew, which another
    /// instance of this type stands for.
    pub(crate) is_leaving: bool,
    /// Backoff that the target has requested.
    pub(crate) backoff: RequestedBackoff,
    /// Limit that the last answer stated or another instance announced; `None` without one.
    pub(crate) limit: Option<TargetLimit>,
    /// Refusals that the target bears.
    pub(crate) refusal_bound: RefusalBound,
    /// How long the target stays cold.
    pub(crate) cold: ColdState,
}

impl TargetConditions {
    /// When this instance, which has `in_flight_count` calls at the target, may send it another one.
    pub(crate) fn next_call(&mut self, call: &CallContext<'_>, in_flight_count: u32) -> NextCall {
        let later = |obstacle, wait| NextCall::Later { obstacle, wait };
        if self.is_leaving {
            return later(Obstacle::Leaving, None);
        }
        let wait = self.backoff.time_until_call(call.now);
        if !wait.is_zero() {
            return later(Obstacle::Backoff, Some(wait));
        }
        if self.refusal_bound.forbids_call(call, in_flight_count) {
            let wait = self.refusal_bound.spared_for(call.now);
            return later(Obstacle::RefusalBound, wait);
        }
        let wait = self.time_until_cold_allows(call);
        if wait != Some(Duration::ZERO) {
            return later(Obstacle::Cold, wait);
        }
        let wait = self.time_until_limit_allows(call);
        if wait != Some(Duration::ZERO) {
            return later(Obstacle::Limit, wait);
        }
        NextCall::Now
    }

    /// Whether the target's backoff is over, but other instances return to it first.
    pub(crate) fn is_before_return(&mut self, call: &CallContext<'_>) -> bool {
        let Senders {
            own_seed,
            instance_seeds,
        } = call.senders;
        let delay = || return_delay(call.target_seed, own_seed, instance_seeds);
        self.backoff.is_before_turn(call.now, delay)
    }

    /// Takes the right to send one call besides the `in_flight_count` of this instance. Returns false
    /// if another call has taken the last one since [`TargetConditions::next_call`] was asked.
    pub(crate) fn try_take(&mut self, call: &CallContext<'_>, in_flight_count: u32) -> bool {
        if self.is_leaving || !self.backoff.time_until_call(call.now).is_zero() {
            return false;
        }
        if self.refusal_bound.forbids_call(call, in_flight_count) {
            return false;
        }
        if self.time_until_cold_allows(call) != Some(Duration::ZERO) {
            return false;
        }
        let limit = self.limit.as_mut();
        if !limit.is_none_or(|it| it.try_take(call.target_seed, call.senders, call.now)) {
            return false;
        }
        if let Some(pool) = &call.cold_pool
            && !self.cold.try_take(pool, call.target_seed, call.now)
        {
            return false;
        }
        self.backoff.take();
        true
    }

    /// Time until what the target bears while it is cold allows a call; `None` if this instance has no
    /// share of it.
    fn time_until_cold_allows(&mut self, call: &CallContext<'_>) -> Option<Duration> {
        match &call.cold_pool {
            Some(pool) => self.cold.time_until_call(pool, call.target_seed, call.now),
            None => Some(Duration::ZERO),
        }
    }

    /// Time until the limit allows a call; `None` if other instances use the whole limit.
    fn time_until_limit_allows(&mut self, call: &CallContext<'_>) -> Option<Duration> {
        match &mut self.limit {
            Some(limit) => limit.time_until_call(call.target_seed, call.senders, call.now),
            None => Some(Duration::ZERO),
        }
    }
}
