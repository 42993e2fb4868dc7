//! The daemon: builds its parts and runs them in a supervisor tree.

use {
    crate::{
        Metrics, Settings,
        backend::Service,
        control::{InstanceWatch, MembershipWatch, OrderWatch, PeerUpdates, TargetWatches},
        peers::{Outgoing, Peers},
    },
    arc_swap::ArcSwap,
    cluster::{Cluster, Member, MemberState, Traffic},
    configuration::{Follower, FollowerSettings, Writer},
    decision::RingLimits,
    fleet::Fleet,
    gateway::{DrainSignal, Gateway, GatewaySettings},
    idempotency::{ClaimSettings, Claims},
    operator::Operator,
    platform::{EtcdKv, EtcdSettings, HttpInstanceList, Instance, KeyValue},
    serving::{Blocks, Journal, Serving, ServingSettings, State},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    supervisor::{Child, Supervisor, SupervisorError, run_on_thread},
    target::{Client, ClientSettings},
    tokio::{
        net::TcpListener,
        sync::{Mutex, mpsc},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time that callers get beyond the age of their address answer before connections are refused. An
/// instance that joins while this one leaves learns of it by its second round of heartbeats, and
/// until then may name this one to callers.
const DRAIN_MARGIN: Duration = Duration::from_secs(3);
/// Longest time that answers in progress get after that.
const FINISH_BOUND: Duration = Duration::from_mins(10);
/// Longest time that outcomes of claims still to be written get before the exit.
const CLAIMS_BOUND: Duration = Duration::from_secs(10);

/// The daemon cannot run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[snafu(display(
        "{address} cannot be listened on: {source}; free it or change --listen or --peer-listen"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The socket's error.
        source: io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("metrics cannot be sent: {source}; change --metrics"))]
    Metrics {
        /// The socket's error.
        source: io::Error,
    },
    /// The supervisor tree failed.
    #[snafu(display("{source}; see the log, the platform replaces this instance"))]
    Tree {
        /// The tree's error.
        source: SupervisorError,
    },
}

/// Everything that the tasks of the daemon share.
struct Parts<Kv> {
    settings: Settings,
    kv: Kv,
    fleet: Arc<Fleet>,
    blocks: Blocks,
    client: Client,
    cluster: Arc<Cluster>,
    instances: Arc<ArcSwap<Vec<Instance>>>,
    follower: Follower<Kv>,
    peers: Peers,
    outgoing: Arc<Mutex<mpsc::Receiver<Outgoing>>>,
    claims: Claims<Kv>,
}

/// Runs the daemon until `stop`, then drains it: peers and callers are told, requests are served
/// for as long as callers may hold its address, answers in progress are finished.
///
/// # Errors
/// [`DaemonError`] if it cannot start, or if a part keeps failing.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), DaemonError> {
    let metrics = Metrics::new(settings.metrics).context(MetricsSnafu)?;
    let address = settings.peer_listen;
    let peer_listener = TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })?;
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: settings.kv_endpoints.clone(),
        timeout: settings.kv_timeout,
    });
    let (keys, traffic) = (settings.peer_keys.clone(), Arc::new(Traffic::default()));
    let parts = Arc::new(Parts::new(settings, kv, traffic.clone()));
    let control_token = CancellationToken::new();
    let control = tokio::spawn(run_on_thread(control_tree(&parts), control_token.clone()));
    let peer_server = tokio::spawn(cluster::serve(
        peer_listener,
        keys,
        parts.peers.clone(),
        traffic,
        control_token.clone(),
    ));
    let served = serve(&parts, metrics, &stop).await;
    if timeout(CLAIMS_BOUND, parts.claims.idle()).await.is_err() {
        log::warn!("some claims are left as they are; their requests are told so when retried");
    }
    control_token.cancel();
    for ended in [
        control.await.map(|tree| tree.context(TreeSnafu)),
        peer_server.await.map(Ok),
    ] {
        match ended {
            Ok(result) => result?,
            Err(error) => log::error!("a task ended early: {error}"),
        }
    }
    served
}

/// Serves callers from the moment the configuration is known until `stop`, then drains.
async fn serve<Kv>(
    parts: &Arc<Parts<Kv>>,
    metrics: Metrics,
    stop: &CancellationToken,
) -> Result<(), DaemonError>
where
    Kv: KeyValue,
{
    let configuration = parts.follower.handle();
    tokio::select! {
        () = configuration.ready() => {}
        () = stop.cancelled() => return Ok(()),
    }
    let address = parts.settings.listen;
    let gateway = Gateway::bind(gateway_settings(&parts.settings), parts.service(metrics))
        .await
        .context(ListenSnafu { address })?;
    println!("listening on {}", gateway.address());
    let signal = DrainSignal::default();
    tokio::select! {
        () = gateway.run(signal.clone()) => {}
        () = drain(parts, &signal, stop) => {
            log::error!("answers in progress took too long; stopping without them");
        }
    }
    Ok(())
}

/// Waits for `stop`, leads callers elsewhere and stops accepting them once none can hold this
/// instance's address any more. Ends when answers in progress have had their time.
async fn drain<Kv>(parts: &Parts<Kv>, signal: &DrainSignal, stop: &CancellationToken) {
    stop.cancelled().await;
    log::info!("draining: new callers are led elsewhere");
    parts.cluster.leave().await;
    signal.drain.cancel();
    sleep(parts.settings.entries_max_age + DRAIN_MARGIN).await;
    log::info!("stopping: answers in progress are finished");
    signal.stop.cancel();
    sleep(FINISH_BOUND).await;
}

/// The children of the control thread.
fn control_tree<Kv>(parts: &Arc<Parts<Kv>>) -> Supervisor
where
    Kv: KeyValue,
{
    let follower = parts.follower.clone();
    let instances = InstanceWatch {
        list: HttpInstanceList::new(parts.settings.instance_list, parts.settings.kv_timeout),
        fleet: parts.fleet.clone(),
        instances: parts.instances.clone(),
    };
    let membership = MembershipWatch {
        cluster: parts.cluster.clone(),
        instances: parts.instances.clone(),
        configuration: follower.handle(),
    };
    let updates = PeerUpdates {
        peers: parts.peers.clone(),
        outgoing: parts.outgoing.clone(),
    };
    let targets = TargetWatches {
        configuration: follower.handle(),
        client: parts.client.clone(),
        fleet: parts.fleet.clone(),
        blocks: parts.blocks.clone(),
        load_interval: parts.settings.load_interval,
    };
    let orders = OrderWatch {
        lease: parts.settings.order_lease,
        kv: parts.kv.clone(),
        client: parts.client.clone(),
        cluster: parts.cluster.clone(),
        configuration: follower.handle(),
        fleet: parts.fleet.clone(),
    };
    Supervisor::new("control")
        .child(until_cancelled("configuration", move || {
            follower.clone().run()
        }))
        .child(until_cancelled("instances", move || {
            instances.clone().run()
        }))
        .child(until_cancelled("membership", move || {
            membership.clone().run()
        }))
        .child(until_cancelled("updates", move || updates.clone().run()))
        .child(until_cancelled("targets", move || targets.clone().run()))
        .child(Child::new("orders", move |token| {
            let orders = orders.clone();
            async move {
                orders.run(token).await;
                Ok(())
            }
        }))
}

/// A child that runs until it is cancelled.
fn until_cancelled<Start, Task>(name: &str, start: Start) -> Child
where
    Start: Fn() -> Task + Send + Sync + 'static,
    Task: Future<Output = ()> + Send + 'static,
{
    Child::new(name, move |token| {
        let task = start();
        async move {
            token.run_until_cancelled(task).await;
            Ok(())
        }
    })
}

impl<Kv> Parts<Kv>
where
    Kv: KeyValue,
{
    fn new(settings: Settings, kv: Kv, traffic: Arc<Traffic>) -> Self {
        let own = Member {
            instance: settings.instance.clone(),
            address: settings.listen,
            peer_address: settings.peer_listen,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            state: MemberState::Live,
            incarnation: incarnation(),
        };
        let pool = cluster::Peers::new(settings.peer_keys.clone(), traffic);
        let cluster = Arc::new(Cluster::new(own, pool));
        let follower = Follower::new(kv.clone(), FollowerSettings::default());
        let blocks = Blocks::default();
        let (peers, outgoing) = Peers::new(
            cluster.clone(),
            blocks.clone(),
            Journal::new(RingLimits::default()),
            follower.handle(),
        );
        let claim_settings = ClaimSettings::new(settings.instance.clone());
        Self {
            fleet: Arc::default(),
            client: Client::new(ClientSettings::default()),
            instances: Arc::default(),
            outgoing: Arc::new(Mutex::new(outgoing)),
            claims: Claims::new(kv.clone(), claim_settings),
            settings,
            kv,
            blocks,
            cluster,
            follower,
            peers,
        }
    }

    /// What callers and operators are answered by.
    fn service(&self, metrics: Metrics) -> Service<Kv, Peers> {
        let settings = &self.settings;
        let configuration = self.follower.handle();
        let serving = Serving::new(State {
            settings: ServingSettings::default()
                .instance(settings.instance.clone())
                .policy(settings.routing_policy)
                .service_bound(settings.service_timeout),
            configuration: configuration.clone(),
            fleet: self.fleet.clone(),
            blocks: self.blocks.clone(),
            journal: self.peers.journal.clone(),
            claims: self.claims.clone(),
            client: self.client.clone(),
            peers: self.peers.clone(),
        });
        let writer = Writer::new(self.kv.clone(), settings.kv_timeout);
        Service {
            serving,
            operator: Operator::new(writer, configuration.clone()),
            configuration,
            cluster: self.cluster.clone(),
            peers: self.peers.clone(),
            operator_key_digests: settings.operator_key_digests.clone().into(),
            entries_max_age: settings.entries_max_age,
            metrics,
        }
    }
}

/// A number that is higher for each later start of an instance of the same name.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn gateway_settings(settings: &Settings) -> GatewaySettings {
    GatewaySettings::default()
        .listen(settings.listen)
        .max_body_bytes(settings.max_body_bytes)
        .max_connections_count(settings.max_connections_count)
        .head_timeout(settings.head_timeout)
        .body_timeout(settings.body_timeout)
}
