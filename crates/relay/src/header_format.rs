//! How heads of calls and answers are read and written.

use {
    crate::{BadCall, Call},
    hyper::{HeaderMap, http::request},
    std::time::Duration,
};

/// What the relay adds to a call that it sends to a target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OutboundMetadata {
    /// Target that is meant; any other refuses.
    pub target: String,
    /// Client account, for calls that need a key.
    pub account: Option<String>,
    /// Time that is left for the call.
    pub time_left: Duration,
    /// Version of the weights that is meant; a target with another one refuses.
    pub version: Option<u64>,
    /// Text under which the target keeps and finds computed parts.
    pub salt: Option<String>,
    /// Rank among the target's requests, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// Id of the last event that has been passed on, if a stream is continued.
    pub last_event_id: Option<u64>,
    /// For each part of the prompt, the address that it is fetched from if the target lacks it.
    pub fetch_from: Vec<Option<std::net::SocketAddr>>,
    /// Parts that have not come by then, on the clock of the engines, are read instead.
    pub fetch_deadline: Option<Duration>,
    /// For each part of the prompt, the store that it is saved to once it is read.
    pub save_to: Vec<Option<std::net::SocketAddr>>,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplyMetadata {
    /// Id of the call that it answers.
    pub id: Option<String>,
    /// Whether it carries the target's proof that it made this answer.
    pub has_proof: bool,
    /// Whether the target states that it did not run the call.
    pub not_run: bool,
    /// Target that answered, if it says so.
    pub target: Option<String>,
    /// Version of the weights that ran.
    pub version: Option<u64>,
}

/// Reads and writes heads. Total functions without state.
pub trait HeaderFormat: Clone + Send + Sync + 'static {
    /// Reads the head of a call.
    ///
    /// # Errors
    /// [`BadCall`] if something of it can't be used.
    fn parse_call(&self, head: &request::Parts) -> Result<Call, BadCall>;

    /// Headers for the target: the caller's own, without those that concern the connection or are
    /// the system's to set, and those that `sending` asks for.
    fn target_headers(&self, headers: &HeaderMap, sending: &OutboundMetadata) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn parse_reply(&self, headers: &HeaderMap) -> ReplyMetadata;

    /// Headers of a target's answer that the caller gets.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
