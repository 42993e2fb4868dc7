//! A connection that records which bytes of an exchange have been written and read.

use {
    crate::exchange_progress::{ExchangeProgress, MAX_HEAD_BYTES},
    std::{
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection that records which bytes of an exchange have been written and read. It relies on a
/// writer that flushes once it has written all that it holds, and not before.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    progress: Arc<ExchangeProgress>,
}

impl TrackedStream {
    pub(crate) fn new(stream: TcpStream, progress: Arc<ExchangeProgress>) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let length = buffer.filled().len() - filled_before;
        if length == 0 {
            self.progress.record_end();
        }
        if self.progress.record_read(length) {
            Poll::Ready(Ok(()))
        } else {
            let limit_mib = MAX_HEAD_BYTES >> 20;
            let reason = format!(
                "the head of its answer, interim answers included, exceeds {limit_mib} MiB; have the target send less"
            );
            Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, reason)))
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.progress.record_write();
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.progress.record_write();
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.progress.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
