//! What the calls of this instance show of prompt parts and calls: which were answered, and which
//! were there when a target crashed.

use {
    quarantine::{AnsweredKeys, CrashId, CrashReport, PendingCrashes, SuspectKey},
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, futures::Notified},
};

/// Number of refused parts and calls that are remembered.
const MAX_REFUSED_COUNT: usize = 1_024;
/// Number of reports of one possible crash beyond which further ones are dropped.
const MAX_UNCONFIRMED_COUNT: usize = 64;

/// What the calls of this instance show of prompt parts and calls. Times are by
/// [`crate::boot_time`].
#[derive(Debug, Default)]
pub struct SuspectReports {
    state: Mutex<State>,
    crashed: Notify,
}

#[derive(Debug, Default)]
struct State {
    answered: AnsweredKeys,
    /// Reports of disconnects for which it is being checked whether the target crashed.
    unconfirmed: HashMap<CrashId, Vec<CrashReport>>,
    crashes: PendingCrashes,
    /// When a call was last refused because of a part or because of itself.
    refused_at: HashMap<SuspectKey, Duration>,
}

impl SuspectReports {
    /// Records at `now` that a target began an answer to a call with these keys.
    pub fn record_answer(&self, keys: &[SuspectKey], now: Duration) {
        let mut state = self.lock();
        for key in keys {
            state.answered.insert(*key, now);
        }
    }

    /// Records that a target disconnected before it began to answer a call. Returns whether it has
    /// to be checked if it crashed; [`SuspectReports::end_check`] tells the result.
    pub fn begin_check(&self, report: CrashReport) -> bool {
        let mut state = self.lock();
        let unconfirmed = state.unconfirmed.entry(report.crash.clone()).or_default();
        let is_first = unconfirmed.is_empty();
        if unconfirmed.len() < MAX_UNCONFIRMED_COUNT {
            unconfirmed.push(report);
        }
        is_first
    }

    /// Records whether a target crashed that disconnected before.
    pub fn end_check(&self, crash: &str, has_crashed: bool) {
        let mut state = self.lock();
        let reports = state.unconfirmed.remove(crash).unwrap_or_default();
        if !has_crashed {
            return;
        }
        for report in reports {
            state.crashes.push(report);
        }
        drop(state);
        self.crashed.notify_one();
    }

    /// Whether a crash is not counted yet, so that answers to calls may clear suspects.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        let state = self.lock();
        !state.unconfirmed.is_empty() || !state.crashes.is_empty()
    }

    /// Whether a target disconnected under a call with `key`, and that is being checked or does not count
    /// yet.
    #[must_use]
    pub fn has_pending_crash(&self, key: SuspectKey) -> bool {
        let state = self.lock();
        let mut unconfirmed = state.unconfirmed.values().flatten();
        unconfirmed.any(|report| report.names(key)) || state.crashes.contains(key)
    }

    /// Records at `now` that a call was refused because of `key`.
    pub fn record_refusal(&self, key: SuspectKey, now: Duration) {
        let mut state = self.lock();
        if state.refused_at.len() >= MAX_REFUSED_COUNT {
            state.refused_at.clear();
        }
        state.refused_at.insert(key, now);
    }

    /// Whether a target lately began an answer on the part or to the call, for this instance.
    #[must_use]
    pub fn is_answered(&self, key: SuspectKey) -> bool {
        self.lock().answered.contains(key)
    }

    /// When a call was last refused because of `key`.
    #[must_use]
    pub fn refused_at(&self, key: SuspectKey) -> Option<Duration> {
        self.lock().refused_at.get(&key).copied()
    }

    /// Takes the crashes that count by now, with the suspects that may be at fault.
    #[must_use]
    pub fn take_due_crashes(&self, now: Duration) -> Vec<CrashReport> {
        let state = &mut *self.lock();
        state.crashes.take_due(&state.answered, now)
    }

    /// Time until the next crash counts; `None` if none is pending.
    #[must_use]
    pub fn time_until_due(&self, now: Duration) -> Option<Duration> {
        self.lock().crashes.time_until_due(now)
    }

    /// Completes at the next crash.
    pub fn crashed(&self) -> Notified<'_> {
        self.crashed.notified()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
