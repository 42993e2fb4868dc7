//! What a call says of itself.

use {catalog::RequestId, snafu::Snafu, std::time::Duration};

/// Id of a part of a prompt, as the caller wrote it.
pub type PartId = String;

/// One part of a prompt. Calls share parts; a part can be reused only after all parts before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt of a call, as far as the relay needs to know it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Model that shall run it.
    pub model: String,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Most tokens that are generated.
    pub max_output_tokens: u32,
    /// Its parts in order; the last one belongs to this call or to its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The part that calls of the same session share: the last but one, or the only one.
    #[must_use]
    pub fn session_part(&self) -> Option<&Part> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(only),
            [.., session, _] => Some(session),
        }
    }
}

/// What a call says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Call {
    /// Id of this attempt of the caller.
    pub id: RequestId,
    /// How long the caller will wait.
    pub time_limit: Option<Duration>,
    /// Key of the client account.
    pub key: Option<String>,
    /// The prompt, for calls of engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller has, if it continues a stream.
    pub last_event_id: Option<u64>,
}

/// The head of a call can't be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(
    visibility(pub),
    display("{field} is {problem}; send it as documented")
)]
pub struct BadCall {
    /// What of the head.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}
