//! Body of a streamed answer to the caller.

use {
    crate::{TruncatedAnswer, call_recorder::CallRecorder, event_hold::EventHold},
    bytes::Bytes,
    futures::{Stream, stream},
    hyper::body::Frame,
    std::future::Future,
    target::WholeBody,
};

/// The stream ended early; the call's recorder holds the reason.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aborted;

/// What the caller is sent next.
#[derive(Debug)]
pub(crate) enum Forwarded {
    /// Events, one after the other.
    Events(Bytes),
    /// The regular end, and what shows that the stream is complete.
    End(WholeBody),
}

/// Forwards the events of a call's answer.
pub(crate) trait EventForwarding {
    /// Waits for the next events, or the end of the stream.
    fn next(&mut self) -> impl Future<Output = Result<Forwarded, Aborted>> + Send;

    /// Recorder of the call.
    fn recorder(&mut self) -> &mut CallRecorder;
}

/// The frames of the answer to the caller, within the memory of `hold`. If the stream breaks off, the last one is an error.
pub(crate) fn frames<Forwarding>(
    forwarding: Forwarding,
    hold: EventHold,
) -> impl Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>
where
    Forwarding: EventForwarding,
{
    stream::unfold(Some(Box::new((forwarding, hold))), |state| async move {
        let mut state = state?;
        let (forwarding, hold) = &mut *state;
        match forwarding.next().await {
            Ok(Forwarded::Events(events)) => {
                let events = hold.hold(events).await;
                Some((Ok(Frame::data(events)), Some(state)))
            }
            Ok(Forwarded::End(whole)) => {
                forwarding.recorder().end_stream(whole);
                None
            }
            Err(Aborted) => Some((Err(TruncatedAnswer::after_flush().await), None)),
        }
    })
}
