//! Timer of one wait after another.

use {
    std::{
        future::{Future, poll_fn},
        pin::{Pin, pin},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep_until},
};

/// Wait that never passes in practice.
const FAR_FUTURE: Duration = Duration::from_hours(30 * 365 * 24);

/// Timer of one wait after another. It stays registered between them: a wait that ends later than the
/// registered time registers anew only once that has passed.
#[derive(Debug, Default)]
pub(crate) struct WaitTimer {
    sleep: Option<Pin<Box<Sleep>>>,
}

impl WaitTimer {
    /// Waits for `future`, for up to `duration`; `None` if it takes longer.
    pub(crate) async fn limit<Awaited>(
        &mut self,
        duration: Duration,
        future: Awaited,
    ) -> Option<Awaited::Output>
    where
        Awaited: Future,
    {
        let mut future = pin!(future);
        let mut deadline = None;
        poll_fn(|context| {
            if let Poll::Ready(output) = future.as_mut().poll(context) {
                return Poll::Ready(Some(output));
            }
            let deadline = *deadline.get_or_insert_with(|| deadline_after(duration));
            self.poll_passed(deadline, context).map(|()| None)
        })
        .await
    }

    /// Completes once `deadline` has passed.
    fn poll_passed(&mut self, deadline: Instant, context: &mut Context<'_>) -> Poll<()> {
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if sleep.deadline() > deadline {
            sleep.as_mut().reset(deadline);
        }
        loop {
            ready!(sleep.as_mut().poll(context));
            if sleep.deadline() >= deadline {
                return Poll::Ready(());
            }
            sleep.as_mut().reset(deadline);
        }
    }
}

fn deadline_after(duration: Duration) -> Instant {
    let now = Instant::now();
    now.checked_add(duration).unwrap_or(now + FAR_FUTURE)
}
