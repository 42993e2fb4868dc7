//! State that the tasks of the daemon share.

use {
    crate::{
        Metrics, Settings,
        gateway_backend::GatewayBackend,
        peers::{OutgoingUpdates, Peers},
    },
    admission::Limits,
    cluster::{Cluster, Member, MemberState, TrafficCounters},
    configuration::{Follower, FollowerSettings, Writer},
    decision::RecordBufferLimits,
    fleet::Fleet,
    idempotency::{ClaimSettings, Claims},
    keyvalue::{Instance, KeyValue},
    operator::OperatorApi,
    serving::{
        AdmissionQueue, DecisionRecords, HandlerState, RequestHandler, ServingSettings,
        SharedDirectory,
    },
    std::{
        sync::Arc,
        time::{SystemTime, UNIX_EPOCH},
    },
    target::{Client, ClientSettings},
    tokio::sync::{Mutex, mpsc, watch},
};

/// State that the tasks of the daemon share: one instance of each component.
pub(crate) struct SharedState<Kv> {
    pub(crate) settings: Settings,
    pub(crate) metrics: Metrics,
    pub(crate) kv: Kv,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) directory: SharedDirectory,
    pub(crate) admission: AdmissionQueue,
    pub(crate) client: Client,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) instances: Arc<watch::Sender<Vec<Instance>>>,
    pub(crate) follower: Follower<Kv>,
    pub(crate) peers: Peers,
    pub(crate) outgoing: Arc<Mutex<mpsc::Receiver<OutgoingUpdates>>>,
    pub(crate) claims: Claims<Kv>,
}

impl<Kv> SharedState<Kv>
where
    Kv: KeyValue,
{
    pub(crate) fn new(
        settings: Settings,
        metrics: Metrics,
        kv: Kv,
        traffic: Arc<TrafficCounters>,
    ) -> Self {
        let own_member = Member {
            instance: settings.instance.clone(),
            address: settings.listen,
            peer_address: settings.peer_listen,
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            state: MemberState::Live,
            incarnation: incarnation(),
        };
        let pool = cluster::Peers::new(settings.peer_keys.clone(), traffic);
        let cluster = Arc::new(Cluster::new(own_member, pool));
        let follower = Follower::new(kv.clone(), FollowerSettings::default());
        let directory = SharedDirectory::default();
        let (peers, outgoing) = Peers::new(
            cluster.clone(),
            directory.clone(),
            DecisionRecords::new(RecordBufferLimits::default()),
            follower.handle(),
        );
        let claim_settings = ClaimSettings::new(settings.instance.clone());
        Self {
            fleet: Arc::default(),
            admission: AdmissionQueue::new(Limits::default()),
            client: Client::new(ClientSettings::default()),
            instances: Arc::new(watch::Sender::default()),
            outgoing: Arc::new(Mutex::new(outgoing)),
            claims: Claims::new(kv.clone(), claim_settings),
            settings,
            metrics,
            kv,
            directory,
            cluster,
            follower,
            peers,
        }
    }

    /// Builds the backend that answers the gateway's callers and operators.
    pub(crate) fn gateway_backend(&self) -> GatewayBackend<Kv, Peers> {
        let settings = &self.settings;
        let configuration = self.follower.handle();
        let request_handler = RequestHandler::new(HandlerState {
            settings: ServingSettings::default()
                .instance(settings.instance.clone())
                .policy(settings.routing_policy)
                .service_timeout(settings.service_timeout),
            configuration: configuration.clone(),
            fleet: self.fleet.clone(),
            directory: self.directory.clone(),
            records: self.peers.records.clone(),
            claims: self.claims.clone(),
            admission: self.admission.clone(),
            client: self.client.clone(),
            peers: self.peers.clone(),
        });
        let writer = Writer::new(self.kv.clone(), settings.kv_timeout);
        GatewayBackend {
            request_handler,
            operator: OperatorApi::new(writer, configuration.clone()),
            configuration,
            cluster: self.cluster.clone(),
            peers: self.peers.clone(),
            operator_key_digests: settings.operator_key_digests.clone().into(),
            entries_max_age: settings.entries_max_age,
            metrics: self.metrics.clone(),
        }
    }
}

/// Incarnation number of this process: the start time in milliseconds since the Unix epoch, so that
/// a later start of an instance of the same name has a higher number.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
