//! Parsing and writing of the headers of calls and answers.

use {
    crate::{BadCall, Call, TargetState, TargetStatements},
    hyper::{HeaderMap, http::request},
    std::time::Duration,
    target::IncarnationProbe,
};

/// Metadata that the relay adds to a call that it sends to a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutboundMetadata {
    /// Id of the intended target; any other refuses the call.
    pub target: String,
    /// Name of the client account, for calls that need a key.
    pub account: Option<String>,
    /// Time left until the call's time limit.
    pub time_left: Duration,
    /// Expected version of the model weights; a target with another one refuses the call.
    pub version: Option<u64>,
    /// Salt of the keys under which the target caches prompt parts.
    pub salt: Option<String>,
    /// Priority among the target's requests, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
    /// Id of the last event that the caller was sent, if a stream is resumed.
    pub last_event_id: Option<u64>,
    /// For each part of the prompt, the address to fetch its cached state from if the target lacks
    /// it.
    pub fetch_from: Vec<Option<std::net::SocketAddr>>,
    /// Time on the engines' clock after which parts that have not been fetched are computed instead.
    pub fetch_deadline: Option<Duration>,
    /// For each part of the prompt, the store to save its state to once it is computed.
    pub save_to: Vec<Option<std::net::SocketAddr>>,
}

/// Metadata of a target's answer, parsed from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMetadata {
    /// Id of the request that is answered.
    pub id: Option<String>,
    /// Whether the answer carries proof that the target itself produced it.
    pub has_proof: bool,
    /// Whether the target states that it did not run the call.
    pub not_run: bool,
    /// Id of the target that answered, if it says so.
    pub target: Option<String>,
    /// Version of the model weights that ran the call.
    pub version: Option<u64>,
    /// What the target states of itself.
    pub statements: TargetStatements,
}

/// Parses and writes the headers of calls and answers. Implementations are stateless.
pub trait HeaderFormat: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// [`BadCall`] if a header is missing or invalid.
    fn parse_call(&self, head: &request::Parts) -> Result<Call, BadCall>;

    /// Headers of the request to the target: the caller's headers without connection headers and
    /// without those that only the system may set, plus those for `metadata`.
    fn target_headers(&self, headers: &HeaderMap, metadata: &OutboundMetadata) -> HeaderMap;

    /// Headers of the same call to another instance, which handles it as its own caller's: the
    /// caller's headers without connection headers, and with the time left.
    fn peer_headers(&self, headers: &HeaderMap, time_left: Duration) -> HeaderMap;

    /// Parses the headers of a target's answer.
    fn parse_reply(&self, headers: &HeaderMap) -> ReplyMetadata;

    /// Asks `target` whether the process that its registration names still runs. `health_path` is the path
    /// of the health check of its pool; empty if there is none. `None` if the target cannot be asked.
    fn incarnation_probe(
        &self,
        target: &TargetState,
        health_path: &str,
    ) -> Option<IncarnationProbe>;

    /// Headers of a target's answer that are passed on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
