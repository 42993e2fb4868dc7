//! Metadata of a call, parsed from its headers.

use {catalog::RequestId, snafu::Snafu, std::time::Duration};

/// Id of a prompt part, as the caller sent it.
pub type PartId = String;

/// One part of a prompt. Calls can share parts; the cached state of a part can be reused only
/// together with that of all parts before it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt metadata that the relay needs to choose a target.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// Name of the requested model.
    pub model: String,
    /// Length of the prompt in tokens.
    pub input_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Parts of the prompt, in order. Other calls may share all parts but the last. The last part
    /// belongs to this call, except that the only part of a prompt identifies its session.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// The part that identifies the session: the last but one, or the only one.
    #[must_use]
    pub fn session_part(&self) -> Option<&Part> {
        match self.parts.as_slice() {
            [] => None,
            [only] => Some(only),
            [.., session, _] => Some(session),
        }
    }

    /// Tokens that the call is expected to hold at its target: the prompt and the output.
    #[must_use]
    pub fn expected_tokens(&self) -> u64 {
        u64::from(self.input_tokens) + u64::from(self.max_output_tokens)
    }
}

/// Metadata of a call, parsed from its headers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Call {
    /// Request id, unique to this attempt of the caller.
    pub id: RequestId,
    /// Time that the caller is willing to wait, if it says so.
    pub time_limit: Option<Duration>,
    /// Key of the client account, if the call carries one.
    pub key: Option<String>,
    /// The prompt, for calls to engines.
    pub prompt: Option<Prompt>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Request id of the caller's attempt that brought the first event of the stream that the call
    /// resumes.
    pub resumes: Option<RequestId>,
}

/// A header of a call is missing or invalid.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(
    visibility(pub),
    display("{field} is {problem}; send it as documented")
)]
pub struct BadCall {
    /// Name of the header or other part of the head.
    pub field: &'static str,
    /// What is wrong with it, such as "missing".
    pub problem: &'static str,
}
