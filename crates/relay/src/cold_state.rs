//! How long a target stays cold, and what this instance may send it meanwhile.

use {crate::ColdPool, balance::ColdShare, catalog::Revision, std::time::Duration};

/// Time from the restart of a target under its id until its new registration is known.
pub(crate) const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);

/// What a registration states of how long its target stays cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegisteredCold {
    /// How much longer the target stays cold, as of the writing of the registration.
    pub cold_left: Duration,
    /// Revision at which the registration was written.
    pub revision: Revision,
    /// Time by [`crate::boot_time`] after which the registration was written; `None` if it may have been
    /// written at any time.
    pub written_after: Option<Duration>,
    /// Whether the registration may be that of an older copy of the key-value service.
    pub may_be_older_copy: bool,
}

/// How long a target stays cold, and this instance's share of the calls that it bears until then.
/// Times are by [`crate::boot_time`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ColdState {
    /// Until then the target is cold by its own statements.
    stated_until: Duration,
    /// When an answer last stated that it is cold.
    answered_at: Option<Duration>,
    /// What its registration stated last.
    registered: Option<RegisteredCold>,
    /// When the process of the target may last have ended without a registration.
    suspected_at: Option<Duration>,
    /// Share of this instance; `None` before its first use.
    share: Option<ColdShare>,
}

impl ColdState {
    /// State of a process that has replaced the one of this state. The share stays, since the bound
    /// holds for both together.
    pub(crate) fn of_new_process(&self) -> Self {
        Self {
            share: self.share,
            ..Self::default()
        }
    }

    /// Applies a registration that is known from `now` on, so that it was written by then.
    ///
    /// The time becomes shorter only if the target states another value than before, and since it
    /// last stated in an answer that it is cold.
    pub(crate) fn register(&mut self, registered: RegisteredCold, now: Duration) {
        let is_same_value = |known: &RegisteredCold| known.cold_left == registered.cold_left;
        let known = self.registered.filter(is_same_value);
        let is_known = |known: RegisteredCold| {
            known.revision == registered.revision || registered.may_be_older_copy
        };
        if known.is_some_and(is_known) {
            return;
        }
        let until = now.saturating_add(registered.cold_left);
        let written_after = registered.written_after;
        let is_after_answer = self.answered_at.is_none_or(|answered| {
            written_after.is_some_and(|written| answered + REREGISTRATION_TIME <= written)
        });
        let may_shorten = known.is_none() && is_after_answer && !registered.may_be_older_copy;
        self.stated_until = if may_shorten {
            until
        } else {
            self.stated_until.max(until)
        };
        self.registered = Some(registered);
    }

    /// Applies what an answer states that arrived at `now`. Returns whether the target was not known
    /// to be cold. Answers may overtake each other, so none makes the time shorter.
    pub(crate) fn state(&mut self, cold_left: Duration, now: Duration) -> bool {
        if cold_left.is_zero() {
            return false;
        }
        let is_new = self.stated_until <= now;
        self.stated_until = self.stated_until.max(now.saturating_add(cold_left));
        self.answered_at = Some(now);
        is_new
    }

    /// Records that the process of the target may have ended before `now`, so that another one may be
    /// at its address.
    pub(crate) fn suspect_restart(&mut self, now: Duration) {
        self.suspected_at = Some(now);
    }

    /// Whether the target is cold, or may be since it may have restarted.
    pub(crate) fn is_cold(&self, pool: &ColdPool<'_>, now: Duration) -> bool {
        let may_have_restarted = |at| pool.confirmed_at < at + REREGISTRATION_TIME;
        now < self.stated_until || self.suspected_at.is_some_and(may_have_restarted)
    }

    /// Time until this instance may send the target a call; zero while it is warm, `None` if this
    /// instance has no share.
    pub(crate) fn time_until_call(
        &mut self,
        pool: &ColdPool<'_>,
        target_seed: u64,
        now: Duration,
    ) -> Option<Duration> {
        if !self.is_cold(pool, now) {
            return Some(Duration::ZERO);
        }
        self.update_share(pool, target_seed, now)
            .time_until_call(now)
    }

    /// Takes the right to send one call. Returns false if there is none now.
    pub(crate) fn try_take(
        &mut self,
        pool: &ColdPool<'_>,
        target_seed: u64,
        now: Duration,
    ) -> bool {
        !self.is_cold(pool, now) || self.update_share(pool, target_seed, now).try_take(now)
    }

    /// Counts a request to the target besides calls, such as a health check.
    pub(crate) fn charge(&mut self, now: Duration) {
        if let Some(share) = &mut self.share {
            share.charge(now);
        }
    }

    /// Adapts the share of this instance to the instances that are ready. A share that begins now has
    /// been due since these instances are.
    pub(crate) fn update_share(
        &mut self,
        pool: &ColdPool<'_>,
        target_seed: u64,
        now: Duration,
    ) -> &mut ColdShare {
        let bound = pool.bound(target_seed);
        let due_per_s = bound.part(pool.own_seed, pool.instance_seeds);
        let share = self.share.get_or_insert_with(|| {
            let mut share = ColdShare::default();
            share.update(due_per_s, pool.instances_since.min(now));
            share
        });
        share.update(due_per_s, now);
        share
    }
}
