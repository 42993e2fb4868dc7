//! A relay under test, between a caller and scripted targets.
#![allow(dead_code, reason = "each test file uses only some items")]

pub mod caller;
pub mod header_format;
pub mod reported_crashes;
pub mod run_target;
pub mod scripted_target;

use {
    arc_swap::ArcSwap,
    balance::{ColdAllowance, PeerLoads, RetryBounds, rendezvous},
    eventlog::EventLog,
    header_format::TestHeaderFormat,
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    meters::Meters,
    origins::OriginKnowledge,
    parts::PartDirectory,
    relay::{
        AnswerCutoff, CallSource, LoadedModel, Peer, Relay, RelaySettings, RelayState, Shutdown,
        StreamOrigins, SuspectReports, TargetState, TargetStats, ToldOrigin, View, boot_time,
    },
    routes::{Account, Regions, RetryPolicy, Route, RouteConfig, RouteTable},
    scripted_target::ScriptedTarget,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex, atomic::AtomicUsize},
        time::Duration,
    },
    target::{Client, ClientSettings},
    tokio::{
        net::{TcpListener, TcpSocket},
        task::yield_now,
        time::timeout,
    },
};

/// Key of the only client account.
pub const KEY: &str = "key-of-chain";

/// Time limit of the routes.
pub const TIME_LIMIT: Duration = Duration::from_secs(3);

/// Time for which those that play the other instances wait for a question at a time.
const REQUESTS_TIME: Duration = Duration::from_millis(20);

/// What the relays allow beyond what cold targets bear. It has no effect on pools without a rate.
pub const COLD_ALLOWANCE: ColdAllowance = ColdAllowance {
    overage_factor: 1.5,
    slack_count: 5.0,
};

/// Number of ready instances from which the fleet counts as large.
pub const LARGE_FLEET_INSTANCES_COUNT: u32 = 35;

/// A listening relay and the state that it depends on.
pub struct TestRelay {
    pub address: SocketAddr,
    pub view: WatchedView,
    pub cache_index: Arc<Mutex<PartDirectory>>,
    pub peer_loads: Arc<Mutex<PeerLoads>>,
    pub meters: Meters,
    pub answer_cutoff: AnswerCutoff,
    pub suspect_reports: Arc<SuspectReports>,
    pub held_bytes_count: Arc<AtomicUsize>,
}

/// The view of a relay, whose changes the relay's origins of streams are told of.
pub struct WatchedView {
    view: Arc<ArcSwap<View>>,
    stream_origins: Arc<StreamOrigins>,
    /// How much longer each view counts as known than it is.
    known_before: Duration,
}

impl WatchedView {
    fn new(view: View, known_before: Duration) -> Self {
        let watched = Self {
            view: Arc::default(),
            stream_origins: Arc::default(),
            known_before,
        };
        watched.store(Arc::new(view));
        watched
    }

    /// The current view.
    pub fn load(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// What the relay knows of where streams began.
    pub fn stream_origins(&self) -> &StreamOrigins {
        &self.stream_origins
    }

    /// Replaces the view.
    pub fn store(&self, view: Arc<View>) {
        let known_since = boot_time().saturating_sub(self.known_before);
        self.stream_origins.observe(&view, known_since);
        self.view.store(view);
    }
}

/// A target that cannot be reached, at a port that nothing else gets during the test.
pub fn unreachable_target() -> ScriptedTarget {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = socket.local_addr().unwrap();
    Box::leak(Box::new(socket));
    ScriptedTarget::at("gone", address)
}

/// Regions of the failure domains: `here` and `near` are in `home`, `far` is in `abroad`.
pub fn regions() -> Regions {
    let domains = [("here", "home"), ("near", "home"), ("far", "abroad")];
    let domains = domains.into_iter();
    domains
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .collect()
}

/// Routes `/idempotent/`, `/once/`, `/stream/`, `/resumable/` and `/gapped/` to one pool.
pub fn routes() -> Vec<Route> {
    let route = |name: &str, retry_policy| {
        Route::new(name, "a.example", format!("/{name}/"))
            .retry_policy(retry_policy)
            .pool("pool")
            .max_attempts(2)
            .time_limit(TIME_LIMIT)
    };
    vec![
        route("idempotent", RetryPolicy::Idempotent),
        route("once", RetryPolicy::AtMostOnce),
        route("stream", RetryPolicy::Stream),
        route("resumable", RetryPolicy::ResumableStream),
        Route {
            max_event_gap: Some(Duration::from_millis(250)),
            ..route("gapped", RetryPolicy::ResumableStream)
        },
    ]
}

/// A view of `targets` in one pool, with version 1 of model `m`, and of one client account.
pub fn view(targets: &[&ScriptedTarget]) -> View {
    let account = Account {
        name: "chain".to_owned(),
        keys: vec![KEY.to_owned()],
        ..Account::default()
    };
    let config = RouteConfig::default()
        .version(7)
        .routes(routes())
        .accounts(vec![account]);
    let states = targets.iter().map(|target| {
        Arc::new(TargetState {
            id: target.name.clone(),
            seed: rendezvous::member_seed(&target.name),
            started_unix_ms: target.started_unix_ms,
            software_version: target.software_version.clone(),
            address: target.address,
            failure_domain: target.failure_domain.clone(),
            slots_count: 8,
            draining: false,
            models: vec![LoadedModel {
                model: "m".to_owned(),
                version: 1,
            }],
            call_stats: Arc::new(TargetStats::default()),
        })
    });
    let mut view = View {
        route_table: Some(Arc::new(RouteTable::new(config))),
        confirmed_at: boot_time(),
        ..View::default()
    };
    view.pools.insert("pool".to_owned(), states.collect());
    view
}

/// Plays the other instances, which know of no stream where it began. Now and then a test may take the requests.
async fn know_nothing(stream_origins: Arc<StreamOrigins>) {
    loop {
        let mut requests = stream_origins.requests().await;
        if let Ok(Some(question)) = timeout(REQUESTS_TIME, requests.questions.recv()).await {
            let told = ToldOrigin {
                known: OriginKnowledge::Unknown,
                has_holder_answered: true,
            };
            // The call may have ended.
            let _ = question.answer.send(told);
        }
        drop(requests);
        yield_now().await;
    }
}

impl TestRelay {
    /// Starts a relay in front of `targets`, whose retry budget is large enough from the first
    /// millisecond on.
    pub async fn start(targets: &[&ScriptedTarget]) -> Self {
        let retry_bounds = RetryBounds {
            slack_count: 1e7,
            ..RetryBounds::default()
        };
        Self::start_with(targets, retry_bounds).await
    }

    /// Starts a relay in front of `targets` with this retry budget.
    pub async fn start_with(targets: &[&ScriptedTarget], retry_bounds: RetryBounds) -> Self {
        Self::start_all(targets, retry_bounds, CallSource::Caller).await
    }

    /// Starts a relay in front of `targets` whose calls come from `source`.
    pub async fn start_for(targets: &[&ScriptedTarget], source: CallSource) -> Self {
        Self::start_all(targets, RetryBounds::default(), source).await
    }

    /// Starts a relay that has known `targets` for as long as a stream may be taken up.
    pub async fn start_long_known(targets: &[&ScriptedTarget]) -> Self {
        let settings = RelaySettings {
            retry_bounds: RetryBounds {
                slack_count: 1e7,
                ..RetryBounds::default()
            },
            ..RelaySettings::default()
        };
        Self::start_known(targets, settings, CallSource::Caller, TIME_LIMIT).await
    }

    /// Starts the relay of an instance that reaches no target, before another instance.
    pub async fn start_before_peer(peer: &ScriptedTarget) -> Self {
        let relay = Self::start_long_known(&[]).await;
        let gone = unreachable_target();
        let mut view = view(&[&gone]);
        view.peers = [Peer {
            name: "peer".to_owned(),
            seed: 1,
            address: peer.address,
            failure_domain: "here".to_owned(),
        }]
        .into();
        relay.view.store(Arc::new(view));
        relay
    }

    /// Starts a relay in front of `targets` that holds at most so many bytes.
    pub async fn start_holding(targets: &[&ScriptedTarget], max_held_bytes: usize) -> Self {
        let settings = RelaySettings {
            max_held_bytes,
            ..RelaySettings::default()
        };
        Self::start_as(targets, settings, CallSource::Caller).await
    }

    /// Starts a relay in front of `targets` with this retry budget, whose calls come from `source`.
    pub async fn start_all(
        targets: &[&ScriptedTarget],
        retry_bounds: RetryBounds,
        source: CallSource,
    ) -> Self {
        let settings = RelaySettings {
            retry_bounds,
            ..RelaySettings::default()
        };
        Self::start_as(targets, settings, source).await
    }

    async fn start_as(
        targets: &[&ScriptedTarget],
        settings: RelaySettings,
        source: CallSource,
    ) -> Self {
        Self::start_known(targets, settings, source, Duration::ZERO).await
    }

    async fn start_known(
        targets: &[&ScriptedTarget],
        settings: RelaySettings,
        source: CallSource,
        known_before: Duration,
    ) -> Self {
        let view = WatchedView::new(view(targets), known_before);
        tokio::spawn(know_nothing(Arc::clone(&view.stream_origins)));
        let cache_index = Arc::new(Mutex::new(PartDirectory::default()));
        let peer_loads = Arc::<Mutex<PeerLoads>>::default();
        let meters = Meters::new();
        let answer_cutoff = AnswerCutoff::default();
        let suspect_reports = Arc::<SuspectReports>::default();
        let held_bytes_count = Arc::<AtomicUsize>::default();
        let settings = RelaySettings {
            failure_domain: "here".to_owned(),
            regions: regions(),
            cold_allowance: Some(COLD_ALLOWANCE),
            large_fleet_instances_count: LARGE_FLEET_INSTANCES_COUNT,
            ..settings
        };
        let relay = Relay::new(
            settings,
            TestHeaderFormat,
            Client::new(ClientSettings::default()),
            RelayState {
                view: view.view.clone(),
                stream_origins: view.stream_origins.clone(),
                cache_index: cache_index.clone(),
                peer_loads: peer_loads.clone(),
                answer_cutoff: answer_cutoff.clone(),
                suspect_reports: suspect_reports.clone(),
                held_bytes_count: held_bytes_count.clone(),
                ..RelayState::default()
            },
            EventLog::start(std::io::sink()),
            meters.clone(),
        );
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = relay.clone();
                let service = service_fn(move |request: Request<Incoming>| {
                    let relay = relay.clone();
                    async move { Ok::<_, Infallible>(relay.serve(request, source).await) }
                });
                let stream = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(stream, service));
            }
        });
        Self {
            address,
            view,
            cache_index,
            peer_loads,
            meters,
            answer_cutoff,
            suspect_reports,
            held_bytes_count,
        }
    }

    /// Has other instances answer the calls of this one, which reaches no target.
    pub fn pass_on_to(&self, peers: &[&ScriptedTarget]) {
        let mut view = view(&[&unreachable_target()]);
        let peers = peers.iter().enumerate().map(|(index, peer)| Peer {
            name: peer.name.clone(),
            seed: index as u64 + 1,
            address: peer.address,
            failure_domain: peer.failure_domain.clone(),
        });
        view.peers = peers.collect();
        self.view.store(Arc::new(view));
    }

    /// Adds a target to the pool.
    pub fn add_target(&self, target: &ScriptedTarget) {
        let mut changed = View::clone(&self.view.load());
        let mut added = view(&[target]).pools.remove("pool").unwrap();
        changed.pools.get_mut("pool").unwrap().append(&mut added);
        self.view.store(Arc::new(changed));
    }

    /// Has the pool state the calls per second that its cold targets bear. `instance_seeds` have been
    /// ready for long.
    pub fn bound_cold_calls(&self, calls_per_s: f64, instance_seeds: &[u64]) {
        let mut view = View::clone(&self.view.load());
        let mut config = view.route_table.as_ref().unwrap().config().clone();
        let pool = config.pools.entry("pool".to_owned()).or_default();
        pool.cold_calls_per_s = Some(calls_per_s);
        view.route_table = Some(Arc::new(RouteTable::new(config)));
        view.instance_seeds = instance_seeds.into();
        view.instances_since = Duration::ZERO;
        self.view.store(Arc::new(view));
    }

    /// Sets the maximum length of a body.
    pub fn limit_bodies(&self, max_body_bytes: usize) {
        let mut view = View::clone(&self.view.load());
        let mut config = view.route_table.as_ref().unwrap().config().clone();
        config.limits.max_body_bytes = max_body_bytes;
        view.route_table = Some(Arc::new(RouteTable::new(config)));
        self.view.store(Arc::new(view));
    }

    /// Starts the instance's shutdown: answers must be complete within `grace`.
    pub fn shut_down(&self, grace: Duration) {
        let mut view = View::clone(&self.view.load());
        view.shutdown = Some(Shutdown {
            announced_at: boot_time(),
            answer_deadline: boot_time() + grace,
            back_at: None,
        });
        self.view.store(Arc::new(view));
    }
}
