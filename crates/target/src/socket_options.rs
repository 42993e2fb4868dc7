//! Options of the sockets of connections to targets.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::{TcpSocket, TcpStream},
};

/// Buffer of the operating system for what a target sends: what 10 Mbit/s carry in a round trip of 100 ms.
const RECEIVE_BUFFER_BYTES: u32 = 128 << 10;
/// Bytes that the operating system takes ahead of those that can be sent.
const MAX_UNSENT_BYTES: u32 = 64 << 10;

/// Opens a connection of which the operating system holds few bytes, also while nobody reads them here or at the
/// target.
pub(crate) async fn connect_bounded(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = socket.connect(address).await?;
    SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)?;
    Ok(stream)
}

/// Has the operating system close the connection once sent bytes or keep-alive probes stay
/// unacknowledged for `limit`.
pub(crate) fn set_unacknowledged_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probe_interval = (limit / 3).max(Duration::from_secs(1));
    let probes = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(limit))
}
