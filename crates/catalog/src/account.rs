//! Client accounts.

use {
    crate::{ClientAccountId, Labels},
    serde::{Deserialize, Serialize},
};

/// One client account: who may call, and how much at once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// Name, unique among client accounts.
    pub name: ClientAccountId,
    /// Labels that placement rules select by.
    #[serde(default)]
    pub labels: Labels,
    /// BLAKE3 digests, in hex, of the account's bearer keys. Several are allowed during rotation.
    pub key_digests: Vec<String>,
    /// Requests that may run at once.
    pub max_running_count: u32,
    /// Prompt and answer tokens admitted a second, over a burst of ten seconds.
    pub tokens_per_s: u64,
    /// Share of a contended queue, store or link relative to other accounts; at least 1.
    pub weight: u32,
}
