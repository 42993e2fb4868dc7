//! The origin of a stream, and the key under which it is kept.

use {
    catalog::SoftwareVersion,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Key of a stream: the first 8 bytes of a digest over the client account and the request id of the
/// attempt that brought the stream's first event, or over the whole call, for callers that do not name that
/// attempt. All instances derive the same key.
pub type StreamKey = u64;

/// Derives the key of a stream. `account` is empty if the call needs no client account.
#[must_use]
pub fn stream_key(account: &str, request_id: &str) -> StreamKey {
    let mut hasher = blake3::Hasher::new();
    // The length keeps pairs apart that differ only in where the account ends.
    hasher.update(&(account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(request_id.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    StreamKey::from_le_bytes(bytes)
}

/// Software version of a process that its target's registration does not name. No registration states it.
const UNREGISTERED_VERSION: &str = "\0unregistered";

/// Where a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// Pool of the target that wrote the first event.
    pub pool: String,
    /// Version of that target's software.
    pub software_version: SoftwareVersion,
}

impl Origin {
    /// The origin of a stream that a process of `pool` began which no registration names. The stream goes on nowhere,
    /// also if another version is told for it.
    #[must_use]
    pub fn unregistered(pool: &str) -> Self {
        Self {
            pool: pool.to_owned(),
            software_version: UNREGISTERED_VERSION.to_owned(),
        }
    }

    /// Whether a process began the stream that no registration names.
    #[must_use]
    pub fn is_unregistered(&self) -> bool {
        self.software_version == UNREGISTERED_VERSION
    }
}

/// The origin of one stream, as instances tell it each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// Key of the stream.
    pub key: StreamKey,
    /// Where it began.
    pub origin: Origin,
    /// Time for which the caller may still take the stream up.
    pub lifetime: Duration,
}

/// What is known of the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OriginKnowledge {
    /// Nothing.
    Unknown,
    /// The stream began here.
    Known(Origin),
    /// Two streams with this key began at different origins.
    Conflicting,
}
