//! Graceful shutdown of an instance: which calls are still accepted, and when incomplete answers
//! are cut, that is, ended early.

use {
    crate::{Declined, Reason},
    std::{
        future::{Future, poll_fn},
        pin::{Pin, pin},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned},
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

    /// Time that a call has to have for the instance to take it at `now`. Once callers know other
    /// instances, only the call's time limit shows that it ends in time; before, an estimate decides.
    /// A call that may have run already is not held to its time limit, since it was taken before.
    #[must_use]
    pub fn time_to_take(&self, known: &KnownDuration, now: Duration) -> Duration {
        if self.is_announced(now) && !known.may_have_run {
            known.time_left
        } else {
            self.expected_duration(known, now)
        }
    }

    /// Expected duration of a call if it starts at `start`: the time within which 80 % of the route's
    /// recent calls ended, or twice the longest recent one if the shutdown is announced by then. At
    /// most the call's time left at present, and all of it if there are too few recent calls.
    #[must_use]
    pub fn expected_duration(&self, known: &KnownDuration, start: Duration) -> Duration {
        let observed = if self.is_announced(start) {
            known.upper_bound
        } else {
            known.typical
        };
        observed.map_or(known.time_left, |observed| observed.min(known.time_left))
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

/// What is known of the time that a call takes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownDuration {
    /// Time left until the call's time limit.
    pub time_left: Duration,
    /// Time within which 80 % of the route's recent calls ended; `None` if there are too few.
    pub typical: Option<Duration>,
    /// Twice the longest recent call of the route; `None` if there are too few.
    pub upper_bound: Option<Duration>,
    /// Whether a target ran the call or may have run it.
    pub may_have_run: bool,
}

/// Signal to cut all answers that are still incomplete, because the instance ends. Clones share the
/// signal.
#[derive(Clone, Debug, Default)]
pub struct AnswerCutoff {
    token: CancellationToken,
    state: Arc<CutoffState>,
}

#[derive(Debug, Default)]
struct CutoffState {
    /// The same as the token, whose state is read under a lock.
    is_triggered: AtomicBool,
    cut_count: AtomicU64,
}

impl AnswerCutoff {
    /// Cuts all incomplete answers now.
    pub fn trigger(&self) {
        self.state.is_triggered.store(true, Ordering::Release);
        self.token.cancel();
    }

    /// Waits until [`AnswerCutoff::trigger`] is called.
    pub async fn triggered(&self) {
        self.token.cancelled().await;
    }

    /// Whether [`AnswerCutoff::trigger`] was called.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.state.is_triggered.load(Ordering::Acquire)
    }

    /// Counts an answer that was cut.
    pub(crate) fn record_cut(&self) {
        self.state.cut_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of answers that were cut.
    #[must_use]
    pub fn cut_count(&self) -> u64 {
        self.state.cut_count.load(Ordering::Relaxed)
    }
}

/// Waits of one answer that end at the cutoff. A task that waits again and again is registered with the
/// cutoff only once.
#[derive(Debug)]
pub(crate) struct CutoffWatch {
    cutoff: AnswerCutoff,
    triggered: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Wakes the task that is registered with `triggered`.
    registered: Option<Waker>,
}

impl CutoffWatch {
    /// Watches `cutoff`.
    pub(crate) fn new(cutoff: AnswerCutoff) -> Self {
        let triggered = Box::pin(cutoff.token.clone().cancelled_owned());
        Self {
            cutoff,
            triggered,
            registered: None,
        }
    }

    /// Waits for `future`; `None` if the cutoff comes first.
    pub(crate) async fn unless_cut<Awaited>(&mut self, future: Awaited) -> Option<Awaited::Output>
    where
        Awaited: Future,
    {
        let mut future = pin!(future);
        poll_fn(|context| {
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                return Poll::Ready(Some(output));
            }
            self.poll_triggered(context).map(|()| None)
        })
        .await
    }

    fn poll_triggered(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if self.cutoff.is_triggered() {
            return Poll::Ready(());
        }
        let waker = context.waker();
        if self
            .registered
            .as_ref()
            .is_some_and(|it| it.will_wake(waker))
        {
            return Poll::Pending;
        }
        self.registered = Some(waker.clone());
        self.triggered.as_mut().poll(context)
    }
}
