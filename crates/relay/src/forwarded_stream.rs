//! Forwarding of an event stream that another instance passes on.

use {
    crate::{AnswerCutoff, TruncatedAnswer, call_recorder::CallRecorder},
    bytes::Bytes,
    futures::{Stream, stream},
    hyper::body::Frame,
    std::time::{Duration, Instant},
    target::Reply,
    tokio::time::timeout_at,
};

/// Time after the call's deadline within which the other instance ends the stream itself.
const END_MARGIN: Duration = Duration::from_millis(100);

/// An event stream that another instance passes on, and that is passed on as it comes.
pub(crate) struct ForwardedStream {
    reply: Reply,
    recorder: CallRecorder,
    answer_cutoff: AnswerCutoff,
    deadline: Instant,
}

impl ForwardedStream {
    /// Passes on the body of `reply` until `deadline`.
    pub(crate) fn new(
        reply: Reply,
        recorder: CallRecorder,
        answer_cutoff: AnswerCutoff,
        deadline: Instant,
    ) -> Self {
        Self {
            reply,
            recorder,
            answer_cutoff,
            deadline: deadline + END_MARGIN,
        }
    }

    /// The frames of the answer to the caller. If the stream breaks off, the last one is an error.
    pub(crate) fn frames(self) -> impl Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>> {
        stream::unfold(Some(self), |forwarded| async move {
            let mut forwarded = forwarded?;
            match forwarded.next().await {
                Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(forwarded))),
                Ok(None) => None,
                Err(truncated) => Some((Err(truncated), None)),
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, TruncatedAnswer> {
        let status = self.recorder.line.status;
        let chunk = tokio::select! {
            biased;
            chunk = timeout_at(self.deadline.into(), self.reply.next_chunk()) => chunk,
            () = self.answer_cutoff.triggered() => {
                self.recorder.cut();
                return Err(TruncatedAnswer);
            }
        };
        match chunk {
            Ok(Ok(Some(chunk))) => {
                self.recorder.record_event();
                Ok(Some(chunk))
            }
            Ok(Ok(None)) => {
                self.recorder.end("answered", status, "");
                Ok(None)
            }
            Ok(Err(error)) => {
                self.recorder.end("torn", status, &error.to_string());
                Err(TruncatedAnswer)
            }
            Err(_) => {
                let reason = "the time limit of the call passed";
                self.recorder.end("torn", status, reason);
                Err(TruncatedAnswer)
            }
        }
    }
}
