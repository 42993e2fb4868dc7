//! Forwarding of an event stream that another instance passes on.

use {
    crate::{
        AnswerCutoff,
        call_recorder::CallRecorder,
        event_forwarding::{Aborted, EventForwarding, Forwarded},
        event_stream::{EventStream, StreamStep},
        shutdown::CutoffWatch,
    },
    std::time::{Duration, Instant},
};

/// Time after the call's deadline within which the other instance ends the stream itself.
const END_MARGIN: Duration = Duration::from_millis(100);

/// An event stream that another instance passes on. Its events are checked as those of a target are,
/// since the other instance may be of another build. It is not resumed here: the other instance does
/// that, within the attempts that the call may take.
pub(crate) struct ForwardedStream {
    events: EventStream,
    recorder: CallRecorder,
    cutoff: CutoffWatch,
    deadline: Instant,
}

impl ForwardedStream {
    /// Passes on `events` until `deadline`.
    pub(crate) fn new(
        events: EventStream,
        recorder: CallRecorder,
        answer_cutoff: AnswerCutoff,
        deadline: Instant,
    ) -> Self {
        Self {
            events,
            recorder,
            cutoff: CutoffWatch::new(answer_cutoff),
            deadline: deadline + END_MARGIN,
        }
    }
}

impl EventForwarding for ForwardedStream {
    async fn next(&mut self) -> Result<Forwarded, Aborted> {
        let status = self.recorder.line.status;
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let next = self.events.next(time_left);
        let Some(step) = self.cutoff.unless_cut(next).await else {
            self.recorder.cut();
            return Err(Aborted);
        };
        match step {
            Ok(StreamStep::Events(events)) => {
                self.recorder.record_events(events.count);
                Ok(Forwarded::Events(events.bytes))
            }
            Ok(StreamStep::End(whole)) => Ok(Forwarded::End(whole)),
            Ok(StreamStep::Silent) => {
                let reason = "the time limit of the call passed";
                self.recorder.end("torn", status, reason);
                Err(Aborted)
            }
            Err(error) => {
                self.recorder.end("torn", status, &error.to_string());
                Err(Aborted)
            }
        }
    }
    fn recorder(&mut self) -> &mut CallRecorder {
        &mut self.recorder
    }
}
