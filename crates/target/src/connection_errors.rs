//! Errors of connections to targets.

use {
    crate::{SendError, error},
    std::{
        error::Error,
        io::{self, ErrorKind},
        net::SocketAddr,
    },
};

/// Error for a connection that was closed before a request was written.
pub(crate) fn closed_unwritten(address: SocketAddr) -> SendError {
    let reason = "connection closed before the request was written";
    error::NotSentSnafu { address, reason }.build()
}

/// Whether the peer ended the connection, rather than the network or the protocol failing.
pub(crate) fn is_disconnect(error: &hyper::Error) -> bool {
    if error.is_incomplete_message() || error.is_closed() {
        return true;
    }
    let source = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    source.is_some_and(|source| {
        matches!(
            source.kind(),
            ErrorKind::ConnectionReset
                | ErrorKind::ConnectionAborted
                | ErrorKind::BrokenPipe
                | ErrorKind::UnexpectedEof
        )
    })
}
