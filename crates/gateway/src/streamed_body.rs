//! Body of a streamed response.

use {
    crate::{StreamSender, stream_sender::StreamPart},
    bytes::Bytes,
    catalog::RequestId,
    futures::{Stream, channel::mpsc},
    hyper::body::{Body, Frame},
    snafu::Snafu,
    std::{
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// Chunks that are buffered for a slow caller. When the buffer is full, backpressure slows the run.
const BUFFER_CHUNKS_COUNT: usize = 64;

/// The answer did not become whole.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the streamed answer to request {request} broke off before its end; its caller must send it again"
))]
pub struct StreamBroken {
    /// Request that was being answered.
    request: RequestId,
}

/// Body of a streamed response. It ends regularly after the chunk that [`StreamSender::finish`] sent, and
/// with [`StreamBroken`] if the sender was dropped without it.
pub struct StreamedBody {
    request: RequestId,
    parts: mpsc::Receiver<StreamPart>,
    state: BodyState,
}

/// How far the body was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyState {
    /// More follows.
    Open,
    /// All of it was read.
    Whole,
    /// Its sender was dropped before the end.
    Broken,
}

impl StreamedBody {
    /// Creates the body of the response to `request`, and its sender.
    pub fn new(request: RequestId) -> (StreamSender, Self) {
        let (sender, parts) = mpsc::channel(BUFFER_CHUNKS_COUNT);
        let body = Self {
            request,
            parts,
            state: BodyState::Open,
        };
        (StreamSender::new(sender), body)
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        let body = self.get_mut();
        match body.state {
            BodyState::Whole => return Poll::Ready(None),
            BodyState::Broken => {
                let request = body.request.clone();
                return Poll::Ready(Some(StreamBrokenSnafu { request }.fail()));
            }
            BodyState::Open => {}
        }
        let data = match ready!(Pin::new(&mut body.parts).poll_next(context)) {
            Some(StreamPart::Data(data)) => data,
            Some(StreamPart::Last(last)) => {
                body.state = BodyState::Whole;
                last.into_bytes()
            }
            None => {
                body.state = BodyState::Broken;
                log::warn!(
                    "request={} decision=broken_off reason=\"the answer did not become whole; \
                     its caller's connection is closed\"",
                    body.request
                );
                // An error discards what the server has not written yet, such as an error event. It
                // writes that while the body is pending.
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        };
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.state == BodyState::Whole
    }
}
