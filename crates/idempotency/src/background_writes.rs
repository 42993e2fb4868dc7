//! Writes that go on after their request was answered.

use {
    std::{future::Future, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{Instant, sleep},
    },
};

/// Writes that may go on at once; more are given up.
const MAX_WRITE_COUNT: usize = 10_000;
/// First wait between two tries.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait between two tries.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// What one try came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteStatus {
    /// Nothing more to do.
    Finished,
    /// Try again later.
    Retry,
}

/// Runs tries in the background and counts them.
#[derive(Clone, Debug)]
pub(crate) struct BackgroundWrites {
    running: watch::Sender<usize>,
    timeout: Duration,
}

impl BackgroundWrites {
    /// Each write is tried for at most `bound`.
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            running: watch::Sender::new(0),
            timeout,
        }
    }

    /// Tries at once and then again until finished or the bound has passed. The receiver is told
    /// of the end. None if too many writes go on already.
    pub(crate) fn start<AttemptFn, Attempt>(
        &self,
        attempt: AttemptFn,
    ) -> Option<oneshot::Receiver<()>>
    where
        AttemptFn: Fn() -> Attempt + Send + Sync + 'static,
        Attempt: Future<Output = WriteStatus> + Send,
    {
        if *self.running.borrow() >= MAX_WRITE_COUNT {
            return None;
        }
        self.running.send_modify(|count| *count += 1);
        let writes = self.clone();
        let (ended, receiver) = oneshot::channel();
        tokio::spawn(async move {
            retry_with_backoff(attempt, writes.timeout).await;
            writes.running.send_modify(|count| *count -= 1);
            let _ = ended.send(());
        });
        Some(receiver)
    }

    /// Waits until nothing goes on.
    pub(crate) async fn wait_idle(&self) {
        let mut running = self.running.subscribe();
        let _ = running.wait_for(|count| *count == 0).await;
    }
}

async fn retry_with_backoff<AttemptFn, Attempt>(attempt: AttemptFn, timeout: Duration)
where
    AttemptFn: Fn() -> Attempt,
    Attempt: Future<Output = WriteStatus>,
{
    let give_up_at = Instant::now() + timeout;
    let mut backoff = INITIAL_BACKOFF;
    while attempt().await == WriteStatus::Retry && Instant::now() < give_up_at {
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
