//! Counts the bytes sent and received on peer connections.

use {
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
    tokio_util::io::{InspectReader, InspectWriter},
};

/// Counters of bytes and connections since the process started. TCP and IP headers are not counted.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    connections_count: AtomicU64,
}

impl TrafficCounters {
    /// Bytes sent.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Bytes received.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Number of connections opened or accepted.
    #[must_use]
    pub fn connections_count(&self) -> u64 {
        self.connections_count.load(Ordering::Relaxed)
    }

    pub(crate) fn add_connection(&self) {
        self.connections_count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Wraps `stream` so that its bytes count both in `connection_traffic` and in `total_traffic`.
pub(crate) fn count_traffic(
    stream: TcpStream,
    connection_traffic: Arc<TrafficCounters>,
    total_traffic: Arc<TrafficCounters>,
) -> impl AsyncRead + AsyncWrite + Unpin + Send + 'static {
    let counters = [connection_traffic, total_traffic];
    let read_counters = counters.clone();
    let reader = InspectReader::new(stream, move |bytes: &[u8]| {
        for counter in &read_counters {
            add_length(&counter.received_bytes, bytes);
        }
    });
    InspectWriter::new(reader, move |bytes: &[u8]| {
        for counter in &counters {
            add_length(&counter.sent_bytes, bytes);
        }
    })
}

fn add_length(counter: &AtomicU64, bytes: &[u8]) {
    counter.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}
