//! What a call fetches and saves.

use std::net::SocketAddr;

/// A part that a call has and others may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wish<'call> {
    /// Id of the part.
    pub id: &'call str,
    /// Its length in tokens.
    pub tokens: u32,
}

impl<'call> Wish<'call> {
    /// A part of `tokens` tokens.
    #[must_use]
    pub fn new(id: &'call str, tokens: u32) -> Self {
        Self { id, tokens }
    }
}

/// What a call fetches and saves, part by part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Plan {
    /// Where each part is fetched from if the engine lacks it.
    pub fetch: Vec<Option<SocketAddr>>,
    /// Where each part is saved to once it is read.
    pub save: Vec<Option<SocketAddr>>,
}
