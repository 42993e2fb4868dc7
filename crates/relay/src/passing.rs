//! A stream on its way to the caller.

use {
    crate::{HeaderFormat, attempt::Content, run::Job, stream::Events, trail::Trail},
    bytes::Bytes,
    routes::RetryPolicy,
    std::time::Duration,
};

/// Pauses of the longest length that is on time after which a stream is continued elsewhere.
const MAX_SILENT_GAPS_COUNT: u32 = 4;
/// Least silence after which a stream is continued elsewhere.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Time that is left between the end of a silence and the last moment to continue elsewhere.
const TURN_TIME: Duration = Duration::from_millis(300);

/// The call can't go on; its trail says why.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended;

/// A stream that is being passed on.
pub(crate) struct Passing<Format> {
    job: Job<Format>,
    events: Events,
    trail: Trail,
}

impl<Format> Passing<Format>
where
    Format: HeaderFormat,
{
    /// Passes `events` on from now on.
    pub(crate) fn new(job: Job<Format>, events: Events, trail: Trail) -> Self {
        Self { job, events, trail }
    }

    /// The next event; none at the end of the stream. A stream that breaks off is continued by
    /// another target after the last event that was passed on, if its route allows that.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Ended> {
        loop {
            let silence = self.silence();
            let closing = self.job.inner.followed.answer_cutoff.clone();
            let next = tokio::select! {
                biased;
                next = self.events.next(silence) => next,
                () = closing.triggered() => return Err(self.cut()),
            };
            let error = match next {
                Ok(Some(event)) => {
                    self.trail.event();
                    return Ok(Some(event));
                }
                Ok(None) => {
                    let status = self.trail.line.status;
                    self.trail.end("answered", status, "");
                    return Ok(None);
                }
                Err(error) => error,
            };
            self.trail.attempted(format!("torn: {error}"));
            self.resume().await?;
        }
    }

    async fn resume(&mut self) -> Result<(), Ended> {
        let last_id = self.events.last_id();
        let can_resume = self.job.repeat() == RetryPolicy::ResumableStream && last_id.is_some();
        let has_time = self.job.could_begin_after(Duration::ZERO);
        if !can_resume || !has_time || !self.job.can_run_again() || !self.job.try_retry() {
            return Err(self.torn("the target broke off"));
        }
        let closing = self.job.inner.followed.answer_cutoff.clone();
        let answer = tokio::select! {
            biased;
            answer = self.job.run(&mut self.trail, last_id) => answer,
            () = closing.triggered() => return Err(self.cut()),
        };
        let Ok(answer) = answer else {
            return Err(self.torn("no other target continued the stream"));
        };
        match answer.content {
            Content::Events(events) if answer.status.is_success() => {
                self.events = events.after(last_id);
                Ok(())
            }
            _ => Err(self.torn("another target refused to continue the stream")),
        }
    }

    fn torn(&mut self, reason: &str) -> Ended {
        let status = self.trail.line.status;
        self.trail.end("torn", status, reason);
        Ended
    }

    fn cut(&mut self) -> Ended {
        self.trail.cut();
        Ended
    }

    /// Longest pause before the next event that is waited for.
    fn silence(&self) -> Duration {
        let left = self.job.time_left();
        let gap = self.job.max_event_gap();
        match gap {
            Some(gap) if self.job.can_run_again() => {
                let silence = left.min((gap * MAX_SILENT_GAPS_COUNT).max(MIN_SILENCE));
                // What can't be continued elsewhere any more is better waited for.
                if self.job.could_begin_after(silence + TURN_TIME) {
                    silence
                } else {
                    left
                }
            }
            _ => left,
        }
    }
}
