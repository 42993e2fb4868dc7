//! What calls are decided by while their instance leaves.

use {
    crate::{Reason, Refusal},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// When to come back if another instance takes callers now.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Time over which callers come back after all instances have left.
const RESTART_RETRY_JITTER: Duration = Duration::from_secs(2);
/// The least if none does.
const MIN_RESTART_RETRY_AFTER: Duration = Duration::from_millis(500);

/// That an instance leaves, and what its callers can do. Times are by [`boot_time`](crate::boot_time).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// From when on callers know better addresses, unless there are none.
    pub announced_at: Duration,
    /// When every answer has to be whole.
    pub answer_deadline: Duration,
    /// When an instance takes callers again; none if others do now.
    pub back_at: Option<Duration>,
}

impl Shutdown {
    /// Whether callers that come at `now` know better addresses. Before that they are served as usual even if
    /// a few answers may have to be cut; from then on no answer may be.
    #[must_use]
    pub fn is_announced(&self, now: Duration) -> bool {
        now >= self.announced_at
    }

    /// Whether a call that may last for `expected` from `now` on ends in time.
    #[must_use]
    pub fn can_finish(&self, expected: Duration, now: Duration) -> bool {
        now + expected <= self.answer_deadline
    }

    /// The refusal of a call that does not. `random`, from 0 to 1, parts callers that would otherwise all come
    /// back to the first instance at once.
    #[must_use]
    pub fn refusal(&self, now: Duration, random: f64) -> Refusal {
        let wait = self.back_at.map(|at| at.saturating_sub(now));
        let wait = wait.map_or(OTHER_INSTANCE_RETRY_AFTER, |wait| {
            wait.max(MIN_RESTART_RETRY_AFTER) + RESTART_RETRY_JITTER.mul_f64(random)
        });
        Refusal::new(Reason::ShuttingDown).retry_after(wait)
    }
}

/// The end of an instance's answers: those that are not whole by then are cut. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerCutoff {
    token: CancellationToken,
    cut_count: Arc<AtomicU64>,
}

impl AnswerCutoff {
    /// Ends all answers now.
    pub fn trigger(&self) {
        self.token.cancel();
    }

    /// Waits until answers have to end.
    pub async fn triggered(&self) {
        self.token.cancelled().await;
    }

    /// Whether answers have to end.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Counts an answer that was cut.
    pub(crate) fn record_cut(&self) {
        self.cut_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Answers that were cut.
    #[must_use]
    pub fn cut_count(&self) -> u64 {
        self.cut_count.load(Ordering::Relaxed)
    }
}
