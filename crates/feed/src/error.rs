//! Errors of reading a feed.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
    tarpc::client::RpcError,
};

/// Why a feed cannot be read now.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FeedError {
    /// The connection could not be opened.
    #[snafu(display("{peer} can't be reached: {source}; check that the instance runs"))]
    Connect {
        /// Address of the instance.
        peer: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The instance did not answer in time.
    #[snafu(display("{peer} is silent; a new connection is opened with the next call"))]
    TimedOut {
        /// Address of the instance.
        peer: SocketAddr,
    },
    /// The call failed.
    #[snafu(display("{peer} broke off: {source}; a new connection is opened with the next call"))]
    Call {
        /// Address of the instance.
        peer: SocketAddr,
        /// Error of the call.
        source: RpcError,
    },
}
