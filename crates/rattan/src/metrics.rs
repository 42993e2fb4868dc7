//! Sends metrics over UDP in the statsd format.

use {
    cadence::{
        Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
    },
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
};

/// Prefix of all metric names.
const PREFIX: &str = "rattan";

/// Sends metrics. Clones share the socket. Metrics that cannot be sent are dropped.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends metrics to `address`, or discards them if there is none.
    ///
    /// # Errors
    /// Fails if no UDP socket can be opened.
    pub fn new(address: Option<SocketAddr>) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self {
                client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
            });
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::from(sink);
        Ok(Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, sink)),
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        let _ = self.client.count(name, 1_i64);
    }

    /// Reports how long something took.
    pub fn time(&self, name: &str, elapsed: Duration) {
        let _ = self.client.time(name, elapsed);
    }

    /// Reports a current value.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }
}
