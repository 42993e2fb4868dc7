//! Errors of peer connections and calls.

use {
    snafu::Snafu,
    std::{io, net::SocketAddr, time::Duration},
    tarpc::client::RpcError,
};

/// Why the mutual authentication of two instances failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum HandshakeError {
    /// The other side does not speak this protocol.
    #[snafu(display(
        "not the peer protocol; connect to a peer address of an instance of the same release"
    ))]
    Protocol,
    /// The instances share no key.
    #[snafu(display("no peer key in common; give both instances the same RATTAN_PEER_KEYS"))]
    NoCommonKey,
    /// The handshake took too long.
    #[snafu(display("no answer during authentication; check the network between the instances"))]
    TimedOut,
    /// The connection failed.
    #[snafu(display(
        "connection broke during authentication: {source}; the other instance may hold other peer \
         keys, its log says so"
    ))]
    Io {
        /// Cause.
        source: io::Error,
    },
}

/// Why a call to a peer failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PeerError {
    /// The circuit breaker rejected the call, because earlier calls to the peer failed.
    #[snafu(display(
        "peer {peer} is not called for another {} ms after failures; use another owner",
        retry_after.as_millis()
    ))]
    CircuitOpen {
        /// Address of the peer.
        peer: SocketAddr,
        /// Time until the next call may be tried.
        retry_after: Duration,
    },
    /// The connection could not be opened.
    #[snafu(display("peer {peer} cannot be reached: {source}; check that it runs"))]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The handshake failed.
    #[snafu(display("peer {peer}: {source}"))]
    Handshake {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: HandshakeError,
    },
    /// No answer arrived in time, also not on a new connection if there was time for one.
    #[snafu(display(
        "peer {peer} did not answer within {} ms; use another owner",
        timeout.as_millis()
    ))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
        /// Time that was allowed.
        timeout: Duration,
    },
    /// The call failed on an open connection.
    #[snafu(display("call to peer {peer} failed: {source}; use another owner"))]
    Call {
        /// Address of the peer.
        peer: SocketAddr,
        /// Cause.
        source: RpcError,
    },
}
