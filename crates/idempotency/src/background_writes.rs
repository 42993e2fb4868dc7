//! Writes to the key-value service that continue after the request was answered.

use {
    std::{future::Future, time::Duration},
    tokio::{
        sync::{oneshot, watch},
        time::{Instant, sleep},
    },
};

/// Number of writes that may run at once; further ones are dropped.
const MAX_WRITE_COUNT: usize = 10_000;
/// Delay before the first retry. It doubles with each retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Result of one attempt at a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WriteStatus {
    /// There is nothing more to do.
    Finished,
    /// The write must be attempted again.
    Retry,
}

/// Runs writes in the background, with retries, and counts those that are running.
#[derive(Clone, Debug)]
pub(crate) struct BackgroundWrites {
    running: watch::Sender<usize>,
    timeout: Duration,
}

impl BackgroundWrites {
    /// Creates a runner that attempts each write for at most `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        Self {
            running: watch::Sender::new(0),
            timeout,
        }
    }

    /// Starts a write: attempts it at once, and again until it is finished or the timeout has
    /// passed. The returned receiver is notified when the write ends; dropping it does not stop the
    /// write. Returns `None` if too many writes are running already; this one is then never attempted.
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

    /// Waits until no write is running.
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
