//! What a call fetches and saves.

use {
    crate::{PartKey, part_key},
    std::{net::SocketAddr, time::Duration},
};

/// A part that a call has and others may share, under the salt of the weights that run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// The part.
    pub part: PartKey,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// The part `id` of `tokens` tokens under `salt`.
    #[must_use]
    pub fn new(salt: &str, id: &str, tokens: u32) -> Self {
        Self {
            part: part_key(salt, id),
            tokens,
        }
    }
}

/// What a call fetches and saves, part by part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Where each part is fetched from if the engine lacks it.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Where each part is saved to once it is read.
    pub save: Vec<Option<SocketAddr>>,
    /// Transfers that the engine needs, as far as known.
    pub transfers: Vec<Transfer>,
}

/// A transfer from a store that a call waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// The store.
    pub store: SocketAddr,
    /// Time until it has ended, as reckoned.
    pub expected_wait: Duration,
}

impl Plan {
    /// Time until all parts are there, as reckoned.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let expected = self.transfers.iter().map(|transfer| transfer.expected_wait);
        expected.max().unwrap_or_default()
    }
}
