//! Joins the gateway to the rest of the system.

use {
    crate::{Metrics, status::add_system},
    catalog::{ClientAccountId, RequestId},
    cluster::{Cluster, Member},
    configuration::FollowerHandle,
    decision::{Record, explain},
    gateway::{
        Backend, Caller, CompletionJob, CompletionStream, Entries, Entry, OperatorRequest,
        OperatorResponse, Refusal, RefusalKind, ServiceJob, ServiceResponse,
    },
    keyvalue::KeyValue,
    operator::OperatorApi,
    serde_json::json,
    serving::{PeerDirectory, RequestHandler},
    std::{
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Path prefix of operators' look-ups of decisions.
const DECISION_PREFIX: &str = "/decisions/";

/// Path of operators' call for the state of the system.
const STATUS_PATH: &str = "/status";

/// Records of decisions that other instances keep.
pub(crate) trait PeerRecords: Clone + Send + Sync + 'static {
    /// The record of a request, if a peer that answers in time has it.
    fn record(&self, request: &RequestId) -> impl Future<Output = Option<Record>> + Send;
}

/// What the daemon answers to callers and operators.
#[derive(Clone)]
pub(crate) struct Service<Kv, Peers> {
    pub(crate) serving: RequestHandler<Kv, Peers>,
    pub(crate) operator: OperatorApi<Kv>,
    pub(crate) configuration: FollowerHandle,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) peers: Peers,
    pub(crate) operator_key_digests: Arc<[String]>,
    pub(crate) entries_max_age: Duration,
    pub(crate) metrics: Metrics,
}

impl<Kv, Peers> Backend for Service<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory + PeerRecords,
{
    fn caller(&self, key_digest: &str) -> Option<Caller> {
        if self.operator_key_digests.iter().any(|it| it == key_digest) {
            return Some(Caller::Operator);
        }
        let catalog = self.configuration.catalog();
        let account = catalog.account_by_key_digest(key_digest)?;
        Some(Caller::ClientAccount(account.name.clone()))
    }

    async fn start_completion(&self, job: CompletionJob) -> Result<CompletionStream, Refusal> {
        let started = Instant::now();
        let result = self.serving.complete(job).await;
        self.metrics.count(match &result {
            Ok(_) => "completion.started",
            Err(_) => "completion.refused",
        });
        self.metrics
            .time("completion.first_token", started.elapsed());
        result
    }

    async fn call_service(&self, job: ServiceJob) -> Result<ServiceResponse, Refusal> {
        let started = Instant::now();
        let result = self.serving.call_service(job).await;
        self.metrics.count(match &result {
            Ok(_) => "service.answered",
            Err(_) => "service.refused",
        });
        self.metrics.time("service.answer", started.elapsed());
        result
    }

    fn entries(&self, account: &ClientAccountId) -> Entries {
        let members = self.cluster.members();
        Entries {
            entries: members
                .entry_instances_for(account)
                .into_iter()
                .map(entry)
                .collect(),
            max_age_ms: u64::try_from(self.entries_max_age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    async fn decision(&self, request: &RequestId) -> Option<Record> {
        match self.serving.records().get(request) {
            Some(record) => Some(record),
            None => self.peers.record(request).await,
        }
    }

    async fn handle_operator_request(&self, call: OperatorRequest) -> OperatorResponse {
        if let Some(request) = call.path.strip_prefix(DECISION_PREFIX) {
            return self.explain(&request.to_owned()).await;
        }
        let mut answer = self.operator.handle(&call).await;
        if call.path == STATUS_PATH && answer.status == 200 {
            let (members, catalog) = (self.cluster.members(), self.configuration.catalog());
            add_system(&mut answer.body, &members, &catalog, self.serving.fleet());
        }
        answer
    }
}

impl<Kv, Peers> Service<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory + PeerRecords,
{
    async fn explain(&self, request: &RequestId) -> OperatorResponse {
        if let Some(record) = self.decision(request).await {
            return OperatorResponse {
                status: 200,
                body: json!({"record": record, "explanation": explain(&record)}),
            };
        }
        let refusal = Refusal::not_run(
            RefusalKind::NotFound,
            "no such decision; records are kept for hours, check the request id",
        );
        OperatorResponse {
            status: refusal.kind.status(),
            body: refusal.json(),
        }
    }
}

fn entry(member: &Member) -> Entry {
    Entry {
        address: member.address,
        instance: member.instance.clone(),
        failure_domain: member.failure_domain.clone(),
    }
}
