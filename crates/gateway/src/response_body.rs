//! Response body: known in full, or streamed from a channel.

use {
    bytes::Bytes,
    futures::channel::mpsc,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body of an HTTP response.
pub(crate) enum ResponseBody {
    /// Known in full; `None` if empty or already sent.
    Full(Option<Bytes>),
    /// Arrives in chunks. Ends when the sender is dropped.
    Stream(mpsc::Receiver<Bytes>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => {
                let next = futures::Stream::poll_next(Pin::new(chunks), context);
                next.map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
