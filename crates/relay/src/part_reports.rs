//! What the calls of this instance show of prompt parts: which were answered, and which were there
//! when a target crashed.

use {
    parts::PartKey,
    quarantine::{AnsweredParts, CrashReport, PendingCrashes},
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::{Notify, futures::Notified},
};

/// Number of refused parts that are remembered.
const MAX_REFUSED_PARTS_COUNT: usize = 1_024;

/// What the calls of this instance show of prompt parts. Times are by [`crate::boot_time`].
#[derive(Debug, Default)]
pub struct PartReports {
    state: Mutex<State>,
    crashed: Notify,
}

#[derive(Debug, Default)]
struct State {
    answered: AnsweredParts,
    crashes: PendingCrashes,
    /// When a call was last refused because of a part.
    refused_at: HashMap<PartKey, Duration>,
}

impl PartReports {
    /// Records at `now` that a target began an answer to a call with these parts.
    pub fn record_answer(&self, parts: &[PartKey], now: Duration) {
        let mut state = self.lock();
        for part in parts {
            state.answered.insert(*part, now);
        }
    }

    /// Records that a target crashed before it began to answer a call.
    pub fn record_crash(&self, report: CrashReport) {
        self.lock().crashes.push(report);
        self.crashed.notify_one();
    }

    /// Records at `now` that a call was refused because of `part`.
    pub fn record_refusal(&self, part: PartKey, now: Duration) {
        let mut state = self.lock();
        if state.refused_at.len() >= MAX_REFUSED_PARTS_COUNT {
            state.refused_at.clear();
        }
        state.refused_at.insert(part, now);
    }

    /// Whether a target lately began an answer to a call of this instance with `part`.
    #[must_use]
    pub fn is_answered(&self, part: PartKey) -> bool {
        self.lock().answered.contains(part)
    }

    /// When a call was last refused because of `part`.
    #[must_use]
    pub fn refused_at(&self, part: PartKey) -> Option<Duration> {
        self.lock().refused_at.get(&part).copied()
    }

    /// Takes the crashes that count by now, with the parts that may be at fault.
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
