//! The parts that a call fetches and saves.

use {
    crate::{PartKey, part_key},
    std::{net::SocketAddr, time::Duration},
};

/// A part of a call's prompt that other calls may share. Its key depends on the salt of the weights
/// that run the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Key of the part.
    pub part: PartKey,
    /// Length of the part in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Creates the part `id` with a length of `tokens` under `salt`.
    #[must_use]
    pub fn new(salt: &str, id: &str, tokens: u32) -> Self {
        Self {
            part: part_key(salt, id),
            tokens,
        }
    }
}

/// The places from which a call fetches its parts and to which it saves them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// For each part, the place from which the engine fetches it if it does not have it.
    pub fetch: Vec<Option<SocketAddr>>,
    /// For each part, the store to which it is saved after the engine has computed it.
    pub save: Vec<Option<SocketAddr>>,
    /// Transfers over the links of stores that the call is expected to wait for.
    pub transfers: Vec<Transfer>,
}

/// A transfer from a store that a call waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Transfer {
    /// Address of the store.
    pub store: SocketAddr,
    /// Expected time until the transfer is complete.
    pub expected_wait: Duration,
}

impl Plan {
    /// Expected time until all transfers are complete.
    #[must_use]
    pub fn expected_wait(&self) -> Duration {
        let waits = self.transfers.iter().map(|transfer| transfer.expected_wait);
        waits.max().unwrap_or_default()
    }
}
