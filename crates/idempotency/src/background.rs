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
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// Longest wait between two tries.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// What one try came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Nothing more to do.
    Finished,
    /// Try again later.
    Again,
}

/// Runs tries in the background and counts them.
#[derive(Clone, Debug)]
pub(crate) struct Background {
    running: watch::Sender<usize>,
    bound: Duration,
}

impl Background {
    /// Each write is tried for at most `bound`.
    pub(crate) fn new(bound: Duration) -> Self {
        Self {
            running: watch::Sender::new(0),
            bound,
        }
    }

    /// Tries at once and then again until finished or the bound has passed. The receiver is told
    /// of the end. None if too many writes go on already.
    pub(crate) fn start<Try, Trying>(&self, attempt: Try) -> Option<oneshot::Receiver<()>>
    where
        Try: Fn() -> Trying + Send + Sync + 'static,
        Trying: Future<Output = Step> + Send,
    {
        if *self.running.borrow() >= MAX_WRITE_COUNT {
            return None;
        }
        self.running.send_modify(|count| *count += 1);
        let background = self.clone();
        let (ended, receiver) = oneshot::channel();
        tokio::spawn(async move {
            repeat(attempt, background.bound).await;
            background.running.send_modify(|count| *count -= 1);
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

async fn repeat<Try, Trying>(attempt: Try, bound: Duration)
where
    Try: Fn() -> Trying,
    Trying: Future<Output = Step>,
{
    let give_up_at = Instant::now() + bound;
    let mut wait = FIRST_WAIT;
    while attempt().await == Step::Again && Instant::now() < give_up_at {
        sleep(wait).await;
        wait = (wait * 2).min(LONGEST_WAIT);
    }
}
