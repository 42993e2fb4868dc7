//! Graceful shutdown of an instance: which calls are still accepted, and when incomplete answers
//! are cut, that is, ended early.

use {
    crate::{Declined, Reason},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio_util::sync::CancellationToken,
};

/// Retry delay for callers if another instance accepts calls now.
const OTHER_INSTANCE_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum random delay added to a caller's retry if no instance accepts calls now.
const RESTART_RETRY_JITTER: Duration = Duration::from_secs(2);
/// Minimum retry delay if no instance accepts calls now.
const MIN_RESTART_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Schedule of an instance's graceful shutdown. Times are those of [`boot_time`](crate::boot_time).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// Time by which all callers know the addresses of other instances, if there are any.
    pub announced_at: Duration,
    /// Deadline by which every answer must be complete.
    pub answer_deadline: Duration,
    /// When an instance will accept calls again; `None` if another one does now.
    pub back_at: Option<Duration>,
}

impl Shutdown {
    /// Whether callers at `now` know the addresses of other instances. Before, a call is refused
    /// only if its typical duration does not fit, so a few answers may have to be cut. Afterwards,
    /// its time limit has to fit, since no answer to a call taken then may be cut.
    #[must_use]
    pub fn is_announced(&self, now: Duration) -> bool {
        now >= self.announced_at
    }

    /// Whether a call that starts at `now` and takes `expected` finishes before the deadline.
    #[must_use]
    pub fn can_finish(&self, expected: Duration, now: Duration) -> bool {
        now + expected <= self.answer_deadline
    }

    /// Declined for a call that would not finish in time. `random`, from 0 to 1, spreads the
    /// retries, since otherwise all callers would return at once to the first instance that is
    /// back.
    #[must_use]
    pub fn refusal(&self, now: Duration, random: f64) -> Declined {
        let wait = self.back_at.map(|at| at.saturating_sub(now));
        let wait = wait.map_or(OTHER_INSTANCE_RETRY_AFTER, |wait| {
            wait.max(MIN_RESTART_RETRY_AFTER) + RESTART_RETRY_JITTER.mul_f64(random)
        });
        Declined::new(Reason::ShuttingDown).retry_after(wait)
    }
}

/// Signal to cut all answers that are still incomplete, because the instance ends. Clones share the
/// signal.
#[derive(Clone, Debug, Default)]
pub struct AnswerCutoff {
    token: CancellationToken,
    cut_count: Arc<AtomicU64>,
}

impl AnswerCutoff {
    /// Cuts all incomplete answers now.
    pub fn trigger(&self) {
        self.token.cancel();
    }

    /// Waits until [`AnswerCutoff::trigger`] is called.
    pub async fn triggered(&self) {
        self.token.cancelled().await;
    }

    /// Whether [`AnswerCutoff::trigger`] was called.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Counts an answer that was cut.
    pub(crate) fn record_cut(&self) {
        self.cut_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of answers that were cut.
    #[must_use]
    pub fn cut_count(&self) -> u64 {
        self.cut_count.load(Ordering::Relaxed)
    }
}
