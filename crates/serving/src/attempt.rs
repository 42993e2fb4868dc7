//! One attempt to run a completion at one engine.

use {
    gateway::Event,
    std::time::{Duration, Instant},
    target::{AnswerEvent, AnswerStream, CompletionRequest, EngineClient, Reuse, SendError, Usage},
    tokio::sync::mpsc,
};

/// Connections tried for one attempt, the first one included.
const MAX_CONNECTIONS: u32 = 3;
/// HTTP status of an engine that does not know a run.
const UNKNOWN_RUN_STATUS: u16 = 404;

/// How long an attempt waits for an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Longest wait for the first byte on one connection.
    pub first_byte: Duration,
    /// Longest silence after the first byte on one connection.
    pub silence: Duration,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The answer is whole and has been passed on, but for its end.
    Whole {
        /// `length` or `stop`.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The caller went away.
    CallerGone,
    /// The answer broke off.
    Broken(SendError),
}

/// What an attempt did.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// How it ended.
    pub end: AttemptEnd,
    /// Whether any part of the request may have run, over any of the connections. The last error
    /// alone does not tell: an engine that dies in a run refuses the next connection.
    pub may_have_run: bool,
    /// Tokens passed on to the caller.
    pub passed_count: u64,
    /// Time from the start to the first token, if there was one.
    pub first_token: Option<Duration>,
    /// Connections that went silent and were replaced.
    pub replaced_count: u32,
}

/// Runs `completion` at `engine` and passes its tokens on as they arrive.
///
/// A connection that goes silent or breaks is replaced: the run is looked up by its id over a new
/// connection and continued after the last token received. Only if the engine does not know the
/// run, and no token has arrived, is the request sent again, and only if it may run twice: what was
/// sent over the silent connection can still arrive.
pub(crate) struct Attempt<'a> {
    pub(crate) engine: &'a EngineClient,
    pub(crate) completion: &'a CompletionRequest,
    pub(crate) bounds: Bounds,
    pub(crate) may_run_twice: bool,
    pub(crate) events: &'a mpsc::Sender<Event>,
}

impl Attempt<'_> {
    pub(crate) async fn run<OnFirst>(&self, mut on_first: OnFirst) -> AttemptReport
    where
        OnFirst: FnMut(),
    {
        let started = Instant::now();
        let mut report = AttemptReport {
            end: AttemptEnd::CallerGone,
            may_have_run: false,
            passed_count: 0,
            first_token: None,
            replaced_count: 0,
        };
        let mut connection = self.start(Reuse::Allowed).await;
        for _ in 0..MAX_CONNECTIONS {
            let error = match connection {
                Ok(answer) => match self
                    .pass_on(answer, started, &mut report, &mut on_first)
                    .await
                {
                    Ok(end) => {
                        report.end = end;
                        report.may_have_run = true;
                        return report;
                    }
                    Err(error) => error,
                },
                Err(error) => error,
            };
            report.may_have_run |= !error.not_run();
            report.end = AttemptEnd::Broken(error.clone());
            if !matches!(error, SendError::Unknown { .. }) || self.events.is_closed() {
                break;
            }
            report.replaced_count += 1;
            connection = self.replace(report.passed_count).await;
        }
        report
    }

    async fn start(&self, reuse: Reuse) -> Result<AnswerStream, SendError> {
        self.engine
            .complete(self.completion, reuse, self.bounds.first_byte)
            .await
    }

    /// Continues the run over a new connection, or sends it again if the engine never got it.
    async fn replace(&self, passed_count: u64) -> Result<AnswerStream, SendError> {
        let resumed = self
            .engine
            .resume(self.completion, passed_count, self.bounds.first_byte)
            .await;
        match resumed {
            Err(SendError::Failed {
                status: UNKNOWN_RUN_STATUS,
                ..
            }) if passed_count == 0 && self.may_run_twice => self.start(Reuse::Fresh).await,
            other => other,
        }
    }

    async fn pass_on<OnFirst>(
        &self,
        mut answer: AnswerStream,
        started: Instant,
        report: &mut AttemptReport,
        on_first: &mut OnFirst,
    ) -> Result<AttemptEnd, SendError>
    where
        OnFirst: FnMut(),
    {
        loop {
            let silence = if report.first_token.is_some() {
                self.bounds.silence
            } else {
                self.bounds.first_byte
            };
            let piece = tokio::select! {
                () = self.events.closed() => return Ok(AttemptEnd::CallerGone),
                piece = answer.next(silence) => piece?,
            };
            match piece {
                AnswerEvent::Text(text) => {
                    if report.first_token.is_none() {
                        report.first_token = Some(started.elapsed());
                        on_first();
                    }
                    report.passed_count += 1;
                    if self.events.send(Event::Text(text)).await.is_err() {
                        return Ok(AttemptEnd::CallerGone);
                    }
                }
                AnswerEvent::End {
                    finish_reason,
                    usage,
                } => {
                    return Ok(AttemptEnd::Whole {
                        finish_reason,
                        usage,
                    });
                }
            }
        }
    }
}
