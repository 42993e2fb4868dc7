//! The weight store: limited in rate, so many simultaneous reads slow each other down.

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer, streamed},
        server::{Role, Server},
    },
    bytes::Bytes,
    futures::{Stream, stream},
    hyper::{Request, Response, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Number of parts in which weights are sent.
const PARTS_COUNT: u32 = 20;

/// Settings of the weight store.
#[derive(Clone, Copy, Debug)]
pub struct WeightsSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Size of the response with one version's weights, in bytes.
    pub size_bytes: usize,
    /// Time of one read while at most `full_rate_count` reads are active.
    pub load_time: Duration,
    /// Number of simultaneous reads at full rate; more reads share that total rate.
    pub full_rate_count: u32,
    /// Factor applied to every simulated delay; 0.1 is ten times as fast.
    pub time_scale: f64,
}

impl Default for WeightsSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            size_bytes: 64 * 1024,
            load_time: Duration::from_millis(400),
            full_rate_count: 3,
            time_scale: 1.0,
        }
    }
}

/// Fault switches of the weight store: it has none of its own.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WeightsFaults {}

/// The weight store.
#[derive(Debug)]
pub struct Weights {
    settings: WeightsSettings,
    switches: FaultSwitches<WeightsFaults>,
    reading_count: AtomicU32,
    peak_reading_count: AtomicU32,
}

impl Weights {
    /// Starts the weight store.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: WeightsSettings) -> io::Result<Server<Self>> {
        let weights = Arc::new(Self {
            settings,
            switches: FaultSwitches::default(),
            reading_count: AtomicU32::new(0),
            peak_reading_count: AtomicU32::new(0),
        });
        Server::start(settings.listen, weights).await
    }

    /// Highest number of simultaneous reads so far.
    #[must_use]
    pub fn peak_reading_count(&self) -> u32 {
        self.peak_reading_count.load(Ordering::Relaxed)
    }

    /// Time to send one part, given the current number of reads.
    fn part_time(&self) -> Duration {
        let reading = f64::from(self.reading_count.load(Ordering::Relaxed));
        let share = (reading / f64::from(self.settings.full_rate_count.max(1))).max(1.0);
        let part = self.settings.load_time / PARTS_COUNT;
        part.mul_f64(share * self.settings.time_scale)
    }

    fn parts(self: &Arc<Self>) -> impl Stream<Item = io::Result<Bytes>> + Send + use<> {
        let part = Bytes::from(vec![0; self.settings.size_bytes / PARTS_COUNT as usize]);
        let reading = ActiveRead::begin(self);
        stream::unfold((reading, 0), move |(reading, sent)| {
            let part = part.clone();
            async move {
                if sent == PARTS_COUNT {
                    return None;
                }
                sleep(reading.0.part_time()).await;
                Some((Ok(part), (reading, sent + 1)))
            }
        })
    }
}

/// Counts a read as active until it is dropped.
struct ActiveRead(Arc<Weights>);

impl ActiveRead {
    fn begin(weights: &Arc<Weights>) -> Self {
        let reading = weights.reading_count.fetch_add(1, Ordering::Relaxed) + 1;
        weights
            .peak_reading_count
            .fetch_max(reading, Ordering::Relaxed);
        Self(Arc::clone(weights))
    }
}

impl Drop for ActiveRead {
    fn drop(&mut self) {
        self.0.reading_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Role for Weights {
    type Faults = WeightsFaults;

    fn switches(&self) -> &FaultSwitches<WeightsFaults> {
        &self.switches
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path();
        if path == "/health" {
            return http::empty(StatusCode::OK);
        }
        if !path.starts_with("/v1/weights/") {
            return http::not_found();
        }
        Ok(Response::new(streamed(self.parts())))
    }
}
