//! Sends the body of a streamed response.

use {
    crate::LastChunk,
    bytes::Bytes,
    futures::{SinkExt, channel::mpsc},
    snafu::Snafu,
};

/// Nobody reads the response any more; stop the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the caller has left; stop its run"))]
pub struct CallerLeft;

/// The next of a streamed body.
pub(crate) enum StreamPart {
    /// More of it.
    Data(Bytes),
    /// Its end.
    Last(LastChunk),
}

/// Sends the body of a streamed response. Only [`StreamSender::finish`] ends the response regularly. If
/// the sender is dropped before, also by a panic, the connection to the caller breaks off.
#[must_use]
pub struct StreamSender(mpsc::Sender<StreamPart>);

impl StreamSender {
    pub(crate) fn new(parts: mpsc::Sender<StreamPart>) -> Self {
        Self(parts)
    }

    /// Sends more of the body. Waits while the caller is slower.
    ///
    /// # Errors
    /// [`CallerLeft`] if nobody reads the response any more.
    pub async fn send(&mut self, data: Bytes) -> Result<(), CallerLeft> {
        self.send_part(StreamPart::Data(data)).await
    }

    /// Sends the last chunk and ends the response regularly.
    ///
    /// # Errors
    /// [`CallerLeft`] if nobody reads the response any more.
    pub async fn finish(mut self, last: LastChunk) -> Result<(), CallerLeft> {
        self.send_part(StreamPart::Last(last)).await
    }

    async fn send_part(&mut self, part: StreamPart) -> Result<(), CallerLeft> {
        self.0.send(part).await.map_err(|_| CallerLeft)
    }
}
