//! A port that stays taken while nothing listens at it.

use {
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpSocket},
};

/// Most connections that the operating system completes before they are accepted.
const BACKLOG_COUNT: u32 = 1024;

/// A port that no other process can take as long as this lives. Connections are refused while nothing
/// listens.
#[derive(Debug)]
pub struct KeptPort {
    address: SocketAddr,
    /// Bound, and never listens.
    _socket: TcpSocket,
}

impl KeptPort {
    /// Takes the port of `address`; 0 picks a free one.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn take(address: SocketAddr) -> io::Result<Self> {
        let socket = bind(address)?;
        Ok(Self {
            address: socket.local_addr()?,
            _socket: socket,
        })
    }

    /// The address with the port that was taken.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens at the port until the listener is dropped.
    ///
    /// # Errors
    ///
    /// The operating system gives no more sockets.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG_COUNT)
    }
}

/// Binds a socket that shares its port with those bound here, and with no others: these don't ask to share.
fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}
