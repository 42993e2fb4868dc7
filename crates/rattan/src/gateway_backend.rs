//! Connects the gateway to the rest of the daemon.

use {
    crate::{Metrics, status::add_system_status},
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
    percent_encoding::percent_decode_str,
    serde_json::json,
    serving::{PeerDirectory, RequestHandler},
    std::{
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Path prefix of operators' requests for a decision record.
const DECISION_PREFIX: &str = "/decisions/";

/// Path of operators' requests for the state of the system.
const STATUS_PATH: &str = "/status";

/// Access to decision records that other instances keep.
pub(crate) trait PeerRecords: Clone + Send + Sync + 'static {
    /// Record of a request, if a peer that answers in time has it.
    fn record(&self, request: &RequestId) -> impl Future<Output = Option<Record>> + Send;
}

/// Handles the calls that the gateway receives from callers and operators.
#[derive(Clone)]
pub(crate) struct GatewayBackend<Kv, Peers> {
    pub(crate) request_handler: RequestHandler<Kv, Peers>,
    pub(crate) operator: OperatorApi<Kv>,
    pub(crate) configuration: FollowerHandle,
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) peers: Peers,
    pub(crate) operator_key_digests: Arc<[String]>,
    pub(crate) entries_max_age: Duration,
    pub(crate) metrics: Metrics,
}

impl<Kv, Peers> Backend for GatewayBackend<Kv, Peers>
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
        let started_at = Instant::now();
        let result = self.request_handler.complete(job).await;
        self.metrics.count(match &result {
            Ok(_) => "completion.started",
            Err(_) => "completion.refused",
        });
        self.metrics
            .time("completion.first_token", started_at.elapsed());
        result
    }

    async fn call_service(&self, job: ServiceJob) -> Result<ServiceResponse, Refusal> {
        let started_at = Instant::now();
        let result = self.request_handler.call_service(job).await;
        self.metrics.count(match &result {
            Ok(_) => "service.answered",
            Err(_) => "service.refused",
        });
        self.metrics.time("service.answer", started_at.elapsed());
        result
    }

    fn entries(&self, account: &ClientAccountId) -> Entries {
        let members = self.cluster.members();
        Entries {
            entries: members
                .entry_instances_for(account)
                .into_iter()
                .map(member_entry)
                .collect(),
            max_age_ms: u64::try_from(self.entries_max_age.as_millis()).unwrap_or(u64::MAX),
        }
    }

    async fn decision(&self, request: &RequestId) -> Option<Record> {
        match self.request_handler.records().get(request) {
            Some(record) => Some(record),
            None => self.peers.record(request).await,
        }
    }

    async fn handle_operator_request(&self, call: OperatorRequest) -> OperatorResponse {
        if let Some(request) = call.path.strip_prefix(DECISION_PREFIX) {
            let request = percent_decode_str(request).decode_utf8_lossy();
            return self.explain_request(&request.into_owned()).await;
        }
        let mut answer = self.operator.handle(&call).await;
        if call.path == STATUS_PATH && answer.status == 200 {
            let (members, catalog) = (self.cluster.members(), self.configuration.catalog());
            add_system_status(
                &mut answer.body,
                &members,
                &catalog,
                self.request_handler.fleet(),
            );
        }
        answer
    }
}

impl<Kv, Peers> GatewayBackend<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory + PeerRecords,
{
    async fn explain_request(&self, request: &RequestId) -> OperatorResponse {
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

fn member_entry(member: &Member) -> Entry {
    Entry {
        address: member.address,
        instance: member.instance.clone(),
        failure_domain: member.failure_domain.clone(),
    }
}
