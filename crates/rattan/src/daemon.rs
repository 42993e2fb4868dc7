//! The daemon: builds its parts and runs them in a supervisor tree.

use {
    crate::{
        Metrics, Settings,
        backend::Service,
        control::{InstanceWatch, MembershipWatch, TargetWatches},
        peers::Peers,
    },
    arc_swap::ArcSwap,
    cluster::{Member, MemberState, Members, Membership},
    configuration::{Follower, FollowerSettings, Writer},
    decision::RingLimits,
    fleet::Fleet,
    gateway::{DrainSignal, Gateway, GatewaySettings},
    idempotency::{ClaimSettings, Claims},
    operator::Operator,
    platform::{EtcdKv, EtcdSettings, HttpInstanceList, Instance},
    serving::{Blocks, Journal, Serving, ServingSettings, State},
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    supervisor::{Child, Supervisor, SupervisorError, run_on_thread},
    target::{Client, ClientSettings},
    tokio_util::sync::CancellationToken,
};

/// Time that callers get beyond the age of their address answer before connections are refused.
const DRAIN_MARGIN: Duration = Duration::from_secs(1);
/// Longest time that answers in progress get after that.
const FINISH_BOUND: Duration = Duration::from_mins(10);

/// The daemon cannot run.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address cannot be listened on.
    #[snafu(display("{address} cannot be listened on: {source}; free it or change --listen"))]
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

type Shared<Kv> = Arc<Parts<Kv>>;

/// Everything that the tasks of the daemon share.
struct Parts<Kv> {
    settings: Settings,
    fleet: Arc<Fleet>,
    blocks: Blocks,
    client: Client,
    members: Arc<ArcSwap<Members>>,
    instances: Arc<ArcSwap<Vec<Instance>>>,
    membership: Arc<Mutex<Membership>>,
    follower: Follower<Kv>,
}

/// Runs the daemon until `stop`, then drains it: peers and callers are told, requests are served
/// for as long as callers may hold its address, answers in progress are finished.
///
/// # Errors
/// [`DaemonError`] if it cannot start, or if a part keeps failing.
pub async fn run(settings: Settings, stop: CancellationToken) -> Result<(), DaemonError> {
    let metrics = Metrics::new(settings.metrics).context(MetricsSnafu)?;
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: settings.kv_endpoints.clone(),
        timeout: settings.kv_timeout,
    });
    let parts = Arc::new(Parts::new(settings, kv.clone()));
    let settings = &parts.settings;
    let configuration = parts.follower.handle();
    let journal = Journal::new(RingLimits::default());
    let claims = Claims::new(kv.clone(), ClaimSettings::new(settings.instance.clone()));
    let peers = Peers::new(journal.clone());
    let serving = Serving::new(State {
        settings: ServingSettings::default()
            .instance(settings.instance.clone())
            .policy(settings.routing_policy)
            .service_bound(settings.service_timeout),
        configuration: configuration.clone(),
        fleet: parts.fleet.clone(),
        blocks: parts.blocks.clone(),
        journal,
        claims: claims.clone(),
        client: parts.client.clone(),
        peers: peers.clone(),
    });
    let service = Service {
        serving,
        operator: Operator::new(Writer::new(kv, settings.kv_timeout), configuration.clone()),
        configuration: configuration.clone(),
        members: parts.members.clone(),
        peers,
        operator_key_digests: settings.operator_key_digests.clone().into(),
        entries_max_age: settings.entries_max_age,
        metrics,
    };
    let control_token = CancellationToken::new();
    let control = tokio::spawn(run_on_thread(control_tree(&parts), control_token.clone()));
    configuration.peers_asked();
    tokio::select! {
        () = configuration.ready() => {}
        () = stop.cancelled() => return Ok(()),
    }
    let gateway = Gateway::bind(gateway_settings(settings), service)
        .await
        .context(ListenSnafu {
            address: settings.listen,
        })?;
    announce(&gateway);
    serve(&parts, &gateway, &stop).await;
    claims.idle().await;
    control_token.cancel();
    match control.await {
        Ok(result) => result.context(TreeSnafu),
        Err(error) => {
            log::error!("control thread: {error}");
            Ok(())
        }
    }
}

/// Serves until `stop`, then drains.
async fn serve<Kv, Backend>(
    parts: &Shared<Kv>,
    gateway: &Gateway<Backend>,
    stop: &CancellationToken,
) where
    Backend: gateway::Backend,
{
    let signal = DrainSignal::default();
    let drain = async {
        stop.cancelled().await;
        log::info!("draining: new callers are led elsewhere");
        lock(&parts.membership).leave();
        signal.drain.cancel();
        tokio::time::sleep(parts.settings.entries_max_age + DRAIN_MARGIN).await;
        log::info!("stopping: answers in progress are finished");
        signal.stop.cancel();
        tokio::time::sleep(FINISH_BOUND).await;
    };
    tokio::select! {
        () = gateway.run(signal.clone()) => {}
        () = drain => log::error!("answers in progress took too long; stopping without them"),
    }
}

/// The children of the control thread.
fn control_tree<Kv>(parts: &Shared<Kv>) -> Supervisor
where
    Kv: platform::KeyValue,
{
    let settings = &parts.settings;
    let follower = parts.follower.clone();
    let targets = TargetWatches {
        configuration: follower.handle(),
        client: parts.client.clone(),
        fleet: parts.fleet.clone(),
        blocks: parts.blocks.clone(),
        load_interval: settings.load_interval,
    };
    let instances = InstanceWatch {
        list: HttpInstanceList::new(settings.instance_list, settings.kv_timeout),
        fleet: parts.fleet.clone(),
        instances: parts.instances.clone(),
    };
    let membership = MembershipWatch {
        membership: parts.membership.clone(),
        instances: parts.instances.clone(),
        members: parts.members.clone(),
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
        .child(until_cancelled("targets", move || targets.clone().run()))
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
    Kv: platform::KeyValue,
{
    fn new(settings: Settings, kv: Kv) -> Self {
        let own = Member {
            instance: settings.instance.clone(),
            address: settings.listen,
            peer_address: settings.peer_listen,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            state: MemberState::Live,
            incarnation: incarnation(),
        };
        Self {
            fleet: Arc::default(),
            blocks: Blocks::default(),
            client: Client::new(ClientSettings::default()),
            members: Arc::default(),
            instances: Arc::default(),
            membership: Arc::new(Mutex::new(Membership::new(own))),
            follower: Follower::new(kv, FollowerSettings::default()),
            settings,
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

/// Tells on standard output that callers are served.
fn announce<Backend>(gateway: &Gateway<Backend>)
where
    Backend: gateway::Backend,
{
    println!("listening on {}", gateway.address());
}

pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> std::sync::MutexGuard<'_, Value> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
