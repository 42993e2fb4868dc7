//! What the gateway asks of the rest of the system.

use {
    crate::Refusal,
    bytes::Bytes,
    catalog::{ClientAccountId, FailureDomainId, InstanceId, RequestId},
    decision::Record,
    serde::Serialize,
    serde_json::Value,
    std::{future::Future, net::SocketAddr},
    tokio::sync::mpsc,
};

/// Who sent a request, by its bearer key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Caller {
    /// A client account.
    ClientAccount(ClientAccountId),
    /// An operator.
    Operator,
}

/// A completion to run for a client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompletionJob {
    /// Id of the request.
    pub request: RequestId,
    /// Client account, from the key.
    pub client_account: ClientAccountId,
    /// Model as the caller named it.
    pub model: String,
    /// Whole prompt.
    pub prompt: String,
    /// Answer tokens at most.
    pub max_tokens: u32,
    /// Whether the caller sees each part as it arrives. If not, the backend may send
    /// [`CompletionEvent::Restart`] and begin anew.
    pub stream: bool,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEvent {
    /// Text of the answer.
    Text(String),
    /// The answer begins anew; what came before is void. Only for jobs that do not stream.
    Restart,
    /// The answer is whole.
    End {
        /// `length` or `stop`.
        finish_reason: String,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Of these, tokens from cache.
        cached_tokens: u64,
        /// Answer tokens.
        completion_tokens: u64,
    },
    /// The answer breaks off.
    Failed(Refusal),
}

/// A completion that has started to answer. A stream that ends without [`CompletionEvent::End`] or
/// [`CompletionEvent::Failed`] is passed on as failed. Dropping it cancels the run.
#[derive(Debug)]
pub struct CompletionStream {
    first: Option<CompletionEvent>,
    events: mpsc::Receiver<CompletionEvent>,
}

impl CompletionStream {
    /// Waits for the first event of an answer.
    ///
    /// # Errors
    /// The [`Refusal`] if that event is a failure, so that it becomes an answer of its own.
    pub async fn first(mut events: mpsc::Receiver<CompletionEvent>) -> Result<Self, Refusal> {
        match events.recv().await {
            Some(CompletionEvent::Failed(refusal)) => Err(refusal),
            first => Ok(Self { first, events }),
        }
    }

    /// The next event; none if the sender is gone.
    pub async fn next(&mut self) -> Option<CompletionEvent> {
        match self.first.take() {
            Some(event) => Some(event),
            None => self.events.recv().await,
        }
    }
}

/// A call of a plain service for a client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceJob {
    /// Id of the request.
    pub request: RequestId,
    /// Client account, from the key.
    pub client_account: ClientAccountId,
    /// Name of the plain service.
    pub service: String,
    /// Path at the service, with a leading slash.
    pub path: String,
    /// Content type of the body; empty for none.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
}

/// Response of a plain service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty for none.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// Whether this is the stored answer of an earlier request with the same idempotency key.
    pub replayed: bool,
}

/// One address that a caller may use.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// IP address and port.
    pub address: SocketAddr,
    /// Instance behind it.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomainId,
}

/// Addresses for a client account, best first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// Addresses, best first.
    pub entries: Vec<Entry>,
    /// How long a caller may keep this answer, in milliseconds.
    pub max_age_ms: u64,
}

/// A request of an operator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OperatorRequest {
    /// HTTP method.
    pub method: String,
    /// Path after `/v1/operator`.
    pub path: String,
    /// Query string without the question mark.
    pub query: String,
    /// `If-Match` header.
    pub if_match: Option<String>,
    /// `If-None-Match` header.
    pub if_none_match: Option<String>,
    /// `x-change-id` header.
    pub change_id: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// Response to an operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// What the gateway asks of the rest of the system.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Whose key has this BLAKE3 digest in hex, if anybody's.
    fn caller(&self, key_digest: &str) -> Option<Caller>;

    /// Starts a completion; resolves once the first part of the answer is there.
    fn start_completion(
        &self,
        job: CompletionJob,
    ) -> impl Future<Output = Result<CompletionStream, Refusal>> + Send;

    /// Calls a plain service.
    fn call_service(
        &self,
        job: ServiceJob,
    ) -> impl Future<Output = Result<ServiceResponse, Refusal>> + Send;

    /// Addresses that the client account should use.
    fn entries(&self, account: &ClientAccountId) -> Entries;

    /// The record of a decision, from this instance or another one.
    fn decision(&self, request: &RequestId) -> impl Future<Output = Option<Record>> + Send;

    /// Carries out a request of an operator.
    fn handle_operator_request(
        &self,
        call: OperatorRequest,
    ) -> impl Future<Output = OperatorResponse> + Send;
}
