//! The interface between the gateway and the system behind it.

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

/// Sender of a request, identified by its bearer key.
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
    /// Client account that the bearer key belongs to.
    pub client_account: ClientAccountId,
    /// Model name as the caller sent it.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed to the caller as it is generated. If not, the backend may
    /// send [`CompletionEvent::Restart`] and generate the answer again.
    pub stream: bool,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
}

/// One event of a completion.
#[derive(Clone, Debug, PartialEq)]
pub enum CompletionEvent {
    /// Next piece of the answer's text.
    Text(String),
    /// The answer starts again; discard the text received so far. Only sent for jobs that don't
    /// stream.
    Restart,
    /// The answer is complete.
    End {
        /// `length` or `stop`.
        finish_reason: String,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Prompt tokens that came from the cache.
        cached_tokens: u64,
        /// Generated tokens.
        completion_tokens: u64,
    },
    /// The completion failed; no further event follows.
    Failed(Refusal),
}

/// Events of a completion that has started. If the events end without [`CompletionEvent::End`] or
/// [`CompletionEvent::Failed`], the gateway reports the completion as failed. Dropping the stream
/// cancels the run.
#[derive(Debug)]
pub struct CompletionStream {
    first: Option<CompletionEvent>,
    events: mpsc::Receiver<CompletionEvent>,
}

impl CompletionStream {
    /// Creates the stream once the first event has arrived.
    ///
    /// # Errors
    /// Returns the [`Refusal`] if the first event is [`CompletionEvent::Failed`], so that the
    /// gateway can still send it with its own HTTP status.
    pub async fn start(mut events: mpsc::Receiver<CompletionEvent>) -> Result<Self, Refusal> {
        match events.recv().await {
            Some(CompletionEvent::Failed(refusal)) => Err(refusal),
            first => Ok(Self { first, events }),
        }
    }

    /// Returns the next event; `None` if the sender was dropped.
    pub async fn next(&mut self) -> Option<CompletionEvent> {
        match self.first.take() {
            Some(event) => Some(event),
            None => self.events.recv().await,
        }
    }
}

/// A call to a plain service for a client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceJob {
    /// Id of the request.
    pub request: RequestId,
    /// Client account that the bearer key belongs to.
    pub client_account: ClientAccountId,
    /// Name of the plain service.
    pub service: String,
    /// Path of the call at the service, with a leading slash, and its query if it has one. Both are as the
    /// caller escaped them.
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
    /// Whether this is the stored response to an earlier request with the same idempotency key.
    pub replayed: bool,
}

/// One address that a caller may connect to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// IP address and port.
    pub address: SocketAddr,
    /// Instance that listens there.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub failure_domain: FailureDomainId,
}

/// Addresses for a client account, best first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Entries {
    /// Addresses, best first.
    pub entries: Vec<Entry>,
    /// How long a caller may cache this list, in milliseconds.
    pub max_age_ms: u64,
}

/// Request of an operator.
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

/// Response to an operator's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// Carries out the requests that a gateway accepts.
pub trait Backend: Clone + Send + Sync + 'static {
    /// Returns the caller whose key has this BLAKE3 digest in hex; `None` if the key is unknown.
    fn caller(&self, key_digest: &str) -> Option<Caller>;

    /// Starts a completion. Resolves once the first event of the answer has arrived.
    fn start_completion(
        &self,
        job: CompletionJob,
    ) -> impl Future<Output = Result<CompletionStream, Refusal>> + Send;

    /// Calls a plain service.
    fn call_service(
        &self,
        job: ServiceJob,
    ) -> impl Future<Output = Result<ServiceResponse, Refusal>> + Send;

    /// Returns the addresses that the client account should connect to.
    fn entries(&self, account: &ClientAccountId) -> Entries;

    /// Returns the decision record of a request, from this instance or another one.
    fn decision(&self, request: &RequestId) -> impl Future<Output = Option<Record>> + Send;

    /// Carries out an operator's request.
    fn handle_operator_request(
        &self,
        request: OperatorRequest,
    ) -> impl Future<Output = OperatorResponse> + Send;
}
