//! What it costs to keep the copy of a refusal from counting: new connections, time to the answer and
//! memory, for the ways to do that, beside a load of which targets refuse 30 %.
//!
//! `cargo bench -p target --bench refused_load`

use {
    bytes::Bytes,
    futures::future::join_all,
    http_body_util::Full,
    hyper::{Request, header::HOST},
    std::{
        fs,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    target::{Client, ClientSettings, NamedRequest, Reply, Reuse},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{interval, sleep},
    },
};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Targets that a request may be sent to.
const TARGETS_COUNT: usize = 4;
/// Time that a target takes for a request.
const WORK_TIME: Duration = Duration::from_millis(5);
/// Time that a target takes for a new connection.
const ACCEPT_TIME: Duration = Duration::from_millis(1);
/// Share of the requests that a target refuses, in percent.
const REFUSED_PERCENT: u64 = 30;
/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const CALLERS_COUNT: u64 = 16;
const ROUND_TIME: Duration = Duration::from_secs(3);
const ROUNDS_COUNT: usize = 3;
/// Connections, and requests on each, by which memory is measured.
const KEPT_COUNTS: (usize, usize) = (480, 200);
/// Idle connections that a client keeps for each address.
const KEPT_PER_TARGET_COUNT: usize = 60;

/// How attempts after a refusal are sent.
#[derive(Clone, Copy, Debug)]
enum Way {
    /// Requests have no id, and any idle connection serves.
    Before,
    /// A connection is closed after a refusal.
    ClosedAfterRefusal,
    /// No connection carries an id twice.
    IdsKept,
    /// Each attempt but the first has a new connection.
    FreshForRetries,
}

const WAYS: [Way; 4] = [
    Way::Before,
    Way::ClosedAfterRefusal,
    Way::IdsKept,
    Way::FreshForRetries,
];

/// Stand-in targets that share a counter of their connections.
struct Targets {
    addresses: Vec<SocketAddr>,
    connections_count: Arc<AtomicU64>,
}

impl Targets {
    async fn start(count: usize, work_time: Duration, refused_percent: u64) -> Self {
        let connections_count = Arc::<AtomicU64>::default();
        let mut addresses = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            let (shared, requests_count) = (
                connections_count.clone(),
                Arc::new(AtomicU64::new(index as u64)),
            );
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    shared.fetch_add(1, Ordering::Relaxed);
                    let requests_count = requests_count.clone();
                    tokio::spawn(answer_all(
                        stream,
                        requests_count,
                        work_time,
                        refused_percent,
                    ));
                }
            });
        }
        Self {
            addresses,
            connections_count,
        }
    }
}

async fn answer_all(
    mut stream: TcpStream,
    requests_count: Arc<AtomicU64>,
    work_time: Duration,
    refused_percent: u64,
) {
    let _ = stream.set_nodelay(true);
    if !work_time.is_zero() {
        sleep(ACCEPT_TIME).await;
    }
    let mut buffer = [0; 1024];
    while let Ok(1..) = stream.read(&mut buffer).await {
        let number = requests_count.fetch_add(1, Ordering::Relaxed);
        // Spread over the hundred, whatever the order of requests.
        let is_refused = number.wrapping_mul(37) % 100 < refused_percent;
        let answer: &[u8] = if is_refused {
            b"HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n"
        } else {
            sleep(work_time).await;
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        };
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

fn client() -> Client {
    Client::new(ClientSettings::default().idle_timeout(Duration::from_mins(1)))
}

async fn attempt(
    client: &Client,
    way: Way,
    address: SocketAddr,
    id: &str,
    attempts_count: usize,
) -> Reply {
    let request = Request::get("/").header(HOST, address.to_string());
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let reuse = match way {
        Way::FreshForRetries if attempts_count > 0 => Reuse::Fresh,
        _ => Reuse::Allowed,
    };
    let sent = match way {
        Way::IdsKept => {
            let named = NamedRequest { request, id };
            client.send_named(address, named, reuse, TIMEOUT).await
        }
        _ => client.send(address, request, reuse, TIMEOUT).await,
    };
    sent.unwrap()
}

/// Sends a request to one target after another, beginning with `first`, until one takes it.
async fn call(client: &Client, way: Way, targets: &[SocketAddr], first: usize, id: &str) {
    for attempts_count in 0.. {
        let address = targets[(first + attempts_count) % targets.len()];
        let mut reply = attempt(client, way, address, id, attempts_count).await;
        let is_refused = !reply.status().is_success();
        if is_refused && matches!(way, Way::ClosedAfterRefusal) {
            reply.close();
            continue;
        }
        reply.discard_body(16, TIMEOUT).await.unwrap();
        if !is_refused {
            return;
        }
    }
}

/// Times to the answers of one round, and new connections.
async fn round(way: Way) -> (Vec<Duration>, u64) {
    let targets = Arc::new(Targets::start(TARGETS_COUNT, WORK_TIME, REFUSED_PERCENT).await);
    let client = client();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS_COUNT {
        let (client, targets) = (client.clone(), targets.clone());
        callers.spawn(async move {
            sleep(Duration::from_millis(caller)).await;
            let (started, mut times) = (Instant::now(), Vec::new());
            let mut ticks = interval(REQUEST_INTERVAL);
            while started.elapsed() < ROUND_TIME {
                ticks.tick().await;
                let (sent, id) = (Instant::now(), format!("{caller}-{:08}", times.len()));
                let first = times.len() + usize::try_from(caller).unwrap();
                call(&client, way, &targets.addresses, first, &id).await;
                times.push(sent.elapsed());
            }
            times
        });
    }
    let times = callers.join_all().await.concat();
    let connections_count = targets.connections_count.load(Ordering::Relaxed);
    (times, connections_count)
}

async fn measure_load() {
    let mut times = vec![Vec::new(); WAYS.len()];
    let mut connections_counts = [0; WAYS.len()];
    for _ in 0..ROUNDS_COUNT {
        for (index, way) in WAYS.into_iter().enumerate() {
            let (taken, connections_count) = round(way).await;
            times[index].extend(taken);
            connections_counts[index] += connections_count;
        }
    }
    println!("way: requests/s, new connections/s, median ms, 99th percentile ms");
    #[allow(clippy::cast_precision_loss)]
    let seconds = ROUND_TIME.as_secs_f64() * ROUNDS_COUNT as f64;
    for (index, way) in WAYS.into_iter().enumerate() {
        let taken = &mut times[index];
        taken.sort();
        let percentile = |percent: usize| taken[taken.len() * percent / 100].as_secs_f64() * 1e3;
        #[allow(clippy::cast_precision_loss)]
        let per_s = |count| count as f64 / seconds;
        println!(
            "{way:?}: {:.0}, {:.1}, {:.2}, {:.2}",
            per_s(taken.len() as u64),
            per_s(connections_counts[index]),
            percentile(50),
            percentile(99)
        );
    }
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let kib = line.and_then(|it| it.split_whitespace().next());
    kib.unwrap().parse::<u64>().unwrap() * 1024
}

/// Opens connections, and sends requests on all of them in turn.
async fn keep_connections(has_ids: bool) -> (Client, Targets) {
    let (connections_count, requests_count) = KEPT_COUNTS;
    let targets_count = connections_count / KEPT_PER_TARGET_COUNT;
    let targets = Targets::start(targets_count, Duration::ZERO, 0).await;
    let client = client();
    for number in 0..requests_count {
        for address in &targets.addresses {
            let way = if has_ids { Way::IdsKept } else { Way::Before };
            let id = number.to_string();
            let attempts =
                (0..KEPT_PER_TARGET_COUNT).map(|_| attempt(&client, way, *address, &id, 0));
            let replies = join_all(attempts).await;
            for mut reply in replies {
                reply.discard_body(16, TIMEOUT).await.unwrap();
            }
        }
    }
    (client, targets)
}

/// Memory of the connections, both ends in this process, with and without ids.
async fn measure_memory() {
    for has_ids in [false, true] {
        let before = resident_bytes();
        let kept = keep_connections(has_ids).await;
        let grown = resident_bytes().saturating_sub(before);
        let (connections_count, requests_count) = KEPT_COUNTS;
        let opened = kept.1.connections_count.load(Ordering::Relaxed);
        println!(
            "{} bytes a connection after {requests_count} requests, ids kept: {has_ids}, {opened} opened",
            grown / connections_count as u64
        );
        // The second measurement must not use what the first one has freed.
        std::mem::forget(kept);
    }
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.unwrap().block_on(async {
        measure_load().await;
        measure_memory().await;
    });
}
