//! Errors of peer connections and calls.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr, time::Duration},
    tarpc::client::RpcError,
};

/// Why two instances did not accept each other.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HandshakeError {
    /// The other end does not speak this protocol.
    #[snafu(display(
        "not the peer protocol; connect to a peer address of an instance of the same release"
    ))]
    Protocol,
    /// No key in common.
    #[snafu(display("no peer key in common; give both instances the same RATTAN_PEER_KEYS"))]
    NoCommonKey,
    /// The exchange took too long.
    #[snafu(display("no answer during authentication; check the network between the instances"))]
    TimedOut,
    /// The connection broke.
    #[snafu(display(
        "connection broke during authentication: {source}; the other instance may hold other peer \
         keys, its log says so"
    ))]
    Io {
        /// Cause.
        source: io::Error,
    },
}

/// Why a call to a peer gave no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// Earlier calls failed, so the peer is left alone for a while.
    #[snafu(display(
        "peer {peer} is not called for another {} ms after failures; use another owner",
        retry_after.as_millis()
    ))]
    CircuitOpen {
        /// Peer address.
        peer: SocketAddr,
        /// When the next call may be tried.
        retry_after: Duration,
    },
    /// No connection.
    #[snafu(display("peer {peer} cannot be reached: {source}; check that it runs"))]
    Connect {
        /// Peer address.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The peer was not accepted, or did not accept this instance.
    #[snafu(display("peer {peer}: {source}"))]
    Handshake {
        /// Peer address.
        peer: SocketAddr,
        /// Cause.
        source: HandshakeError,
    },
    /// No answer in time, also not on a fresh connection if there was time for one.
    #[snafu(display(
        "peer {peer} did not answer within {} ms; use another owner",
        timeout.as_millis()
    ))]
    Timeout {
        /// Peer address.
        peer: SocketAddr,
        /// Time that was allowed.
        timeout: Duration,
    },
    /// The call failed.
    #[snafu(display("call to peer {peer} failed: {source}; use another owner"))]
    Call {
        /// Peer address.
        peer: SocketAddr,
        /// Cause.
        source: RpcError,
    },
}
