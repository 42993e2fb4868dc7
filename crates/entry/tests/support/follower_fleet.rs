//! Many instances that follow the key-value service, each on a thread of its own, so that one can be
//! suspended.

use {
    super::{formats::Formats, put, wait_until},
    entry::{FollowerInstance, Settings},
    eventlog::EventLog,
    keyvalue::{KvCalls, MemoryKv},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc,
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Handle},
        sync::{Mutex, MutexGuard},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Rate of the links of the instances that become aggregators.
const FAST_LINK_MBPS: u64 = 200;
const SLOW_LINK_MBPS: u64 = 10;
const AGGREGATORS_PER_DOMAIN_COUNT: usize = 2;
/// Interval between two changes that keep the instances busy and their state confirmed.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Only one deployment runs at a time, so that the tests of a file don't slow each other down.
static RUNNING: Mutex<()> = Mutex::const_new(());

type FleetInstance = FollowerInstance<MemoryKv, Formats>;

/// A running instance.
pub struct FleetMember {
    pub name: String,
    /// Address of its feed.
    pub feed: SocketAddr,
    /// Its connection to the service, with faults of its own.
    pub kv: MemoryKv,
    instance: Arc<FleetInstance>,
    runtime: Handle,
    stop: CancellationToken,
    latest_version: AtomicU64,
}

/// A deployment.
pub struct FollowerFleet {
    pub kv: MemoryKv,
    pub members: Vec<FleetMember>,
    domains_count: usize,
    lines: super::Lines,
    log: EventLog,
    next_version: AtomicU64,
    _running: MutexGuard<'static, ()>,
}

impl FollowerFleet {
    /// Starts instances in some failure domains at once. The first two of each domain have the fastest
    /// links.
    pub async fn start(count: usize, domains_count: usize) -> Self {
        Self::start_beside(count, domains_count, async |_| {}).await
    }

    /// Starts instances one after the other, within `time`. Each call to the service takes
    /// `call_delay`.
    pub async fn start_within(
        time: Duration,
        call_delay: Duration,
        count: usize,
        domains_count: usize,
    ) -> Self {
        let kv = MemoryKv::with_incarnation();
        let mut fleet = Self::prepare(kv, domains_count, async |_| {}).await;
        let began = Instant::now();
        for index in 0..count {
            let member = fleet.start_member(index, call_delay);
            fleet.members.push(member);
            let share =
                f64::from(u32::try_from(index).unwrap()) / f64::from(u32::try_from(count).unwrap());
            sleep(time.mul_f64(share).saturating_sub(began.elapsed())).await;
        }
        fleet.wait_for_start().await;
        fleet
    }

    /// Starts instances after `prepare` was done with the service.
    pub async fn start_beside<Prepare>(count: usize, domains_count: usize, prepare: Prepare) -> Self
    where
        Prepare: AsyncFnOnce(&MemoryKv),
    {
        let kv = MemoryKv::with_incarnation();
        let mut fleet = Self::prepare(kv, domains_count, prepare).await;
        fleet.start_members(count).await;
        fleet
    }

    /// Starts instances at once on a service that names no incarnation.
    pub async fn start_unnamed(count: usize, domains_count: usize) -> Self {
        let mut fleet = Self::prepare(MemoryKv::new(), domains_count, async |_| {}).await;
        fleet.start_members(count).await;
        fleet
    }

    async fn start_members(&mut self, count: usize) {
        let start = |index| self.start_member(index, Duration::ZERO);
        let members: Vec<FleetMember> = (0..count).map(start).collect();
        self.members = members;
        self.wait_for_start().await;
    }

    /// A deployment without instances on the service `kv`.
    async fn prepare<Prepare>(kv: MemoryKv, domains_count: usize, prepare: Prepare) -> Self
    where
        Prepare: AsyncFnOnce(&MemoryKv),
    {
        let running = RUNNING.lock().await;
        put(&kv, "operators/configuration", "1").await;
        prepare(&kv).await;
        let lines = super::Lines::default();
        let log = EventLog::start(lines.clone());
        Self {
            kv,
            members: Vec::new(),
            domains_count,
            lines,
            log,
            next_version: AtomicU64::new(2),
            _running: running,
        }
    }

    fn start_member(&self, index: usize, call_delay: Duration) -> FleetMember {
        let is_fast = index < self.domains_count * AGGREGATORS_PER_DOMAIN_COUNT;
        let link_mbps = if is_fast {
            FAST_LINK_MBPS
        } else {
            SLOW_LINK_MBPS
        };
        let domain = format!("domain-{}", index % self.domains_count);
        let kv = self.kv.peer();
        kv.set_faults(|faults| faults.call_delay = call_delay);
        FleetMember::start(index, &domain, link_mbps, kv, self.log.clone())
    }

    async fn wait_for_start(&self) {
        let count = self.members.len();
        self.keep_changing();
        wait_until("all instances know each other", async || {
            let mut members = self.members.iter();
            members.all(|it| it.instance.ready_count() >= count)
        })
        .await;
    }

    /// The two instances of a failure domain that are its aggregators while all are ready.
    pub fn aggregators_of(&self, domain: usize) -> [&FleetMember; 2] {
        [0, 1].map(|rank| &self.members[domain + rank * self.domains_count])
    }

    /// The instances that are not among the aggregators while all are ready.
    pub fn followers(&self) -> &[FleetMember] {
        &self.members[self.domains_count * AGGREGATORS_PER_DOMAIN_COUNT..]
    }

    /// Waits until no instance but the aggregators watches the service.
    pub async fn settle(&self) {
        wait_until("the instances follow aggregators", async || {
            let before = self.follower_watch_count();
            sleep(3 * CHANGE_PERIOD).await;
            self.follower_watch_count() == before
        })
        .await;
    }

    /// Number of answers to watches of the instances that are not aggregators.
    pub fn follower_watch_count(&self) -> u64 {
        self.followers().iter().map(FleetMember::watch_count).sum()
    }

    /// Number of calls during `time`.
    pub async fn calls_in(&self, time: Duration) -> KvCalls {
        let before = self.kv.calls();
        sleep(time).await;
        let after = self.kv.calls();
        KvCalls {
            range_count: after.range_count - before.range_count,
            txn_count: after.txn_count - before.txn_count,
            lease_count: after.lease_count - before.lease_count,
            watch_count: after.watch_count - before.watch_count,
        }
    }

    /// Writes a new configuration. Returns its version.
    pub async fn configure(&self) -> u64 {
        let version = self.next_version.fetch_add(1, Ordering::Relaxed);
        let value = version.to_string();
        put(&self.kv.peer(), "operators/configuration", &value).await;
        version
    }

    /// Waits until a version is in force at all instances but those in `without`; checks that none
    /// goes back meanwhile. Returns how long that took.
    pub async fn wait_for_version(&self, version: u64, without: &[&str]) -> Duration {
        let since = Instant::now();
        wait_until("the configuration is in force", async || {
            self.check_versions();
            let members = self.members.iter();
            let mut members = members.filter(|it| !without.contains(&it.name.as_str()));
            members.all(|it| it.latest_version.load(Ordering::Relaxed) >= version)
        })
        .await;
        since.elapsed()
    }

    /// Waits until all instances but those in `without` know exactly these targets.
    pub async fn wait_for_targets(&self, targets: &[&str], without: &[&str]) {
        let expected: BTreeSet<String> = targets.iter().map(|&it| it.to_owned()).collect();
        wait_until("the targets are known", async || {
            let members = self.members.iter();
            let mut members = members.filter(|it| !without.contains(&it.name.as_str()));
            members.all(|it| BTreeSet::from_iter(it.instance.targets()) == expected)
        })
        .await;
    }

    /// Lines of the event log of all instances that contain `text`.
    pub fn lines(&self, text: &str) -> Vec<String> {
        self.lines.containing(text)
    }

    /// Checks that no instance has an older configuration than before.
    fn check_versions(&self) {
        for member in &self.members {
            let version = member.instance.configuration_version().unwrap_or_default();
            let before = member.latest_version.fetch_max(version, Ordering::Relaxed);
            assert!(version >= before, "{} went back", member.name);
        }
    }

    /// Changes a key that nobody uses again and again.
    fn keep_changing(&self) {
        let kv = self.kv.clone();
        tokio::spawn(async move {
            for count in 0.. {
                // A new connection, which knows of no earlier incarnation.
                put(&kv.peer(), "unused", &format!("{count}")).await;
                sleep(CHANGE_PERIOD).await;
            }
        });
    }
}

impl Drop for FollowerFleet {
    fn drop(&mut self) {
        for member in &self.members {
            member.stop.cancel();
        }
    }
}

impl FleetMember {
    fn start(index: usize, domain: &str, link_mbps: u64, kv: MemoryKv, log: EventLog) -> Self {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let name = format!("entry-{index:03}");
        let feed = listener.local_addr().unwrap();
        let settings = settings(index, domain, link_mbps, feed);
        let formats = Formats::default();
        let instance = Arc::new(FollowerInstance::new(settings, kv.clone(), formats, log));
        let stop = CancellationToken::new();
        let (running, stopped) = (instance.clone(), stop.clone());
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            sender.send(runtime.handle().clone()).unwrap();
            runtime.block_on(async {
                let listener = TcpListener::from_std(listener).unwrap();
                running.run(listener, stopped).await;
            });
        });
        Self {
            name,
            feed,
            kv,
            instance,
            runtime: receiver.recv().unwrap(),
            stop,
            latest_version: AtomicU64::new(0),
        }
    }

    /// Suspends the instance for a time, with its server.
    pub fn suspend(&self, time: Duration) {
        self.runtime.spawn(async move { thread::sleep(time) });
    }

    /// Ends the instance as a kill does: its lease is not revoked.
    pub fn kill(&self) {
        self.cut_off();
        self.stop.cancel();
    }

    /// Stops the instance as its platform does.
    pub fn drain(&self) {
        self.instance.drain();
    }

    /// Stops the instance in order.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Ends all its calls to the service with an error.
    pub fn cut_off(&self) {
        self.kv.set_faults(|faults| faults.unreachable = true);
    }

    /// Leaves all its calls to the service without an answer.
    pub fn cut_off_silently(&self) {
        self.kv.set_faults(|faults| {
            faults.paused = true;
            faults.watches_silent = true;
        });
    }

    /// Ends a cut.
    pub fn reconnect(&self) {
        self.kv
            .set_faults(|faults| *faults = keyvalue::KvFaults::default());
    }

    /// Number of answers to its watches.
    pub fn watch_count(&self) -> u64 {
        self.counter("service_calls", "watch")
    }

    /// How often the instance took the service for lost.
    pub fn outages_count(&self) -> u64 {
        self.counter("dependencies", "lost")
    }

    fn counter(&self, name: &str, kind: &str) -> u64 {
        let metrics = self.instance.metrics();
        let kind = format!("\"{kind}\"");
        let mut lines = metrics.lines();
        let line = lines.find(|line| line.contains(name) && line.contains(&kind));
        let value = line.and_then(|line| line.split_whitespace().last());
        value.map_or(0, |value| value.parse().unwrap())
    }
}

fn settings(index: usize, domain: &str, link_mbps: u64, feed: SocketAddr) -> Settings {
    // Nothing listens on these ports.
    let address = format!("127.0.0.1:{}", index + 1);
    let text = format!(
        r#"{{"instance":"entry-{index:03}","region":"r","failure_domain":"{domain}","listen":"{address}",
            "ready_listen":"{address}","directory_listen":"{address}","feed_listen":"{feed}",
            "kv_endpoint":"127.0.0.1:1","link_mbps":{link_mbps},"memory_mb":100,
            "max_descriptors_count":1000,"grace_s":3,"max_address_age_s":5,"order_gap_ms":300,
            "version_ms":8000,"min_lease_ms":1000,"retries_per_call":0.2,"retry_window_s":10,
            "retry_slack_count":50}}"#
    );
    Settings::parse(text.as_bytes()).unwrap()
}
