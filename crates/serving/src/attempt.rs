//! One attempt to run a completion at one engine.

use {
    gateway::CompletionEvent,
    std::time::{Duration, Instant},
    target::{AnswerEvent, AnswerStream, CompletionRequest, EngineClient, Reuse, SendError, Usage},
    tokio::sync::mpsc,
};

/// Maximum number of connections for one attempt, including the first.
const MAX_CONNECTIONS: u32 = 3;
/// HTTP status with which an engine answers if it does not know a run.
const UNKNOWN_RUN_STATUS: u16 = 404;

/// Timeouts of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timeouts {
    /// Longest wait for the head of an answer, and for the first token of a run, on one connection.
    pub first_byte: Duration,
    /// Longest time between two tokens on one connection, once the first token has arrived.
    pub idle: Duration,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The answer is complete, and all of its tokens were forwarded. The end event was not.
    Completed {
        /// Why the answer ended: `length` or `stop`.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The caller closed its connection.
    CallerDisconnected,
    /// The engine could not be reached, refused the request or did not answer completely.
    Failed(SendError),
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the request may have run, over any of the connections. The last error alone does not
    /// show this: an engine that dies during a run refuses the next connection.
    pub may_have_run: bool,
    /// Number of tokens forwarded to the caller.
    pub forwarded_tokens_count: u64,
    /// Time from the start of the attempt to the first token, if one arrived.
    pub first_token: Option<Duration>,
    /// Number of times a silent or broken connection was replaced.
    pub reconnects_count: u32,
}

/// Runs `completion` at `engine` and forwards its tokens as they arrive.
///
/// If a connection goes silent or breaks, the attempt opens a new one, looks the run up by its id
/// and resumes it after the last token received. The request is sent again only if the engine does
/// not know the run, no token has arrived and the request may run twice, because the request sent
/// over the silent connection can still reach the engine.
#[derive(Clone, Copy)]
pub struct Attempt<'a> {
    /// The engine.
    pub engine: &'a EngineClient,
    /// The request.
    pub completion: &'a CompletionRequest,
    /// Timeouts on each connection.
    pub timeouts: Timeouts,
    /// Whether the request may run more than once.
    pub may_run_twice: bool,
    /// Takes the answer's tokens.
    pub events: &'a mpsc::Sender<CompletionEvent>,
}

impl Attempt<'_> {
    /// Runs the request and calls `on_first_token` when its first token arrives.
    pub async fn run<OnFirstToken>(&self, mut on_first_token: OnFirstToken) -> AttemptReport
    where
        OnFirstToken: FnMut(),
    {
        let started = Instant::now();
        let mut report = AttemptReport {
            end: AttemptEnd::CallerDisconnected,
            may_have_run: false,
            forwarded_tokens_count: 0,
            first_token: None,
            reconnects_count: 0,
        };
        let mut connection = self.send(self.reuse()).await;
        loop {
            let error = match connection {
                Ok(answer) => match self
                    .forward(answer, started, &mut report, &mut on_first_token)
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
            report.end = AttemptEnd::Failed(error.clone());
            let is_last = report.reconnects_count + 1 == MAX_CONNECTIONS;
            let may_reconnect = matches!(error, SendError::Unknown { .. }) && !is_last;
            if !may_reconnect || self.events.is_closed() {
                return report;
            }
            report.reconnects_count += 1;
            connection = self.reconnect(report.forwarded_tokens_count).await;
        }
    }

    /// A request that may not run twice goes on a new connection, so that a refusal is certain to be
    /// its own: engines name no request in their errors.
    fn reuse(&self) -> Reuse {
        if self.may_run_twice {
            Reuse::Allowed
        } else {
            Reuse::Fresh
        }
    }

    async fn send(&self, reuse: Reuse) -> Result<AnswerStream, SendError> {
        self.engine
            .complete(self.completion, reuse, self.timeouts.first_byte)
            .await
    }

    /// Resumes the run over a new connection, or sends the request again if the engine does not
    /// know it and it may run twice.
    async fn reconnect(&self, forwarded_tokens_count: u64) -> Result<AnswerStream, SendError> {
        let resumed = self
            .engine
            .resume(
                self.completion,
                forwarded_tokens_count,
                self.timeouts.first_byte,
            )
            .await;
        match resumed {
            Err(SendError::Failed {
                status: UNKNOWN_RUN_STATUS,
                ..
            }) if forwarded_tokens_count == 0 && self.may_run_twice => {
                self.send(Reuse::Fresh).await
            }
            other => other,
        }
    }

    async fn forward<OnFirstToken>(
        &self,
        mut answer: AnswerStream,
        started: Instant,
        report: &mut AttemptReport,
        on_first_token: &mut OnFirstToken,
    ) -> Result<AttemptEnd, SendError>
    where
        OnFirstToken: FnMut(),
    {
        loop {
            let timeout = if report.first_token.is_some() {
                self.timeouts.idle
            } else {
                self.timeouts.first_byte
            };
            let piece = tokio::select! {
                () = self.events.closed() => return Ok(AttemptEnd::CallerDisconnected),
                piece = answer.next(timeout) => piece?,
            };
            match piece {
                AnswerEvent::Text(text) => {
                    if report.first_token.is_none() {
                        report.first_token = Some(started.elapsed());
                        on_first_token();
                    }
                    report.forwarded_tokens_count += 1;
                    if self.events.send(CompletionEvent::Text(text)).await.is_err() {
                        return Ok(AttemptEnd::CallerDisconnected);
                    }
                }
                AnswerEvent::End {
                    finish_reason,
                    usage,
                } => {
                    return Ok(AttemptEnd::Completed {
                        finish_reason,
                        usage,
                    });
                }
            }
        }
    }
}
