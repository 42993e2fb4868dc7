//! Connection to a caller that does not end as a whole answer does unless it is whole.

use {
    crate::AnswerFraming,
    socket2::SockRef,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Connection to a caller. From the head of an answer that ends with the connection on, the system resets the
/// connection when it closes it, also if the process is killed. Only a regular shutdown takes that back.
#[derive(Debug)]
pub struct CallerStream<'framing> {
    stream: TcpStream,
    framing: &'framing AnswerFraming,
    resets_at_close: bool,
}

impl<'framing> CallerStream<'framing> {
    /// Creates a connection that ends as `framing` asks for.
    #[must_use]
    pub fn new(stream: TcpStream, framing: &'framing AnswerFraming) -> Self {
        Self {
            stream,
            framing,
            resets_at_close: false,
        }
    }

    /// Has the system reset the connection if it is closed within an answer that ends with it.
    fn prepare_reset(&mut self) -> io::Result<()> {
        if self.resets_at_close || !self.framing.ends_with_connection() {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.resets_at_close = true;
        Ok(())
    }

    /// Has the system deliver all that was written, and then the regular end.
    fn take_back_reset(&mut self) -> io::Result<()> {
        if self.resets_at_close {
            SockRef::from(&self.stream).set_linger(None)?;
            self.resets_at_close = false;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_reset()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_reset()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.take_back_reset()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
