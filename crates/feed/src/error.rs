//! Why a feed can't be read.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr},
    tarpc::client::RpcError,
};

/// A feed can't be read now.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum FeedError {
    /// No connection.
    #[snafu(display("{peer} can't be reached: {source}; check that the instance runs"))]
    Connect {
        /// The instance.
        peer: SocketAddr,
        /// The socket's error.
        source: io::Error,
    },
    /// No answer in time.
    #[snafu(display("{peer} is silent; a new connection is opened with the next call"))]
    TimedOut {
        /// The instance.
        peer: SocketAddr,
    },
    /// The call failed.
    #[snafu(display("{peer} broke off: {source}; a new connection is opened with the next call"))]
    Call {
        /// The instance.
        peer: SocketAddr,
        /// The error.
        source: RpcError,
    },
}
