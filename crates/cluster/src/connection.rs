//! An open connection to a peer.

use {
    crate::{
        PeerError, PeerKeys, TrafficCounters,
        error::{ConnectSnafu, HandshakeSnafu},
        handshake,
        service::PeerServiceClient,
        traffic_counters::count_traffic,
    },
    snafu::ResultExt,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tarpc::{
        client,
        serde_transport::{self, Transport},
        tokio_serde::formats::Bincode,
        tokio_util::codec::{Framed, LengthDelimitedCodec},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
};

/// Initial size of a connection's read buffer and of its write buffer, each.
const BUFFER_BYTES: usize = 2_048;
/// Maximum size of a message.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Wraps a stream in the message format of calls between instances. The stream must be open and, if
/// required, authenticated.
pub fn transport<Stream, Item, SinkItem>(
    stream: Stream,
) -> Transport<Stream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Stream: AsyncRead + AsyncWrite,
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    serde_transport::new(
        Framed::with_capacity(stream, codec, BUFFER_BYTES),
        Bincode::default(),
    )
}

/// An authenticated connection. Dropping the last reference closes it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) client: PeerServiceClient,
    traffic: Arc<TrafficCounters>,
    opened_at: Instant,
    /// Time of the last use, in milliseconds since `opened_at`.
    last_used_ms: AtomicU64,
}

impl Connection {
    pub(crate) async fn open(
        peer: SocketAddr,
        keys: &PeerKeys,
        total_traffic: Arc<TrafficCounters>,
    ) -> Result<Self, PeerError> {
        let mut stream = TcpStream::connect(peer)
            .await
            .context(ConnectSnafu { peer })?;
        stream.set_nodelay(true).context(ConnectSnafu { peer })?;
        handshake::open(&mut stream, keys)
            .await
            .context(HandshakeSnafu { peer })?;
        total_traffic.add_connection();
        let traffic = Arc::new(TrafficCounters::default());
        let stream = count_traffic(stream, traffic.clone(), total_traffic);
        let client = PeerServiceClient::new(client::Config::default(), transport(stream)).spawn();
        Ok(Self {
            client,
            traffic,
            opened_at: Instant::now(),
            last_used_ms: AtomicU64::new(0),
        })
    }

    /// Bytes received so far. If they do not grow while answers are due, the connection is dead.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.traffic.received_bytes()
    }

    pub(crate) fn mark_used(&self) {
        let last_used_ms = u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_used_ms.store(last_used_ms, Ordering::Relaxed);
    }

    /// Time since the connection was last used.
    pub(crate) fn idle_time(&self) -> Duration {
        let last_used = Duration::from_millis(self.last_used_ms.load(Ordering::Relaxed));
        self.opened_at.elapsed().saturating_sub(last_used)
    }
}
