//! Calls to other entry instances.

use {
    crate::backend::PeerRecords,
    catalog::{ClientAccountId, RequestId},
    decision::Record,
    prefix::BlockKey,
    serving::{Found, Journal, PeerBlocks, Update},
};

/// Calls to other entry instances.
#[derive(Clone)]
pub(crate) struct Peers {
    journal: Journal,
}

impl Peers {
    pub(crate) fn new(journal: Journal) -> Self {
        Self { journal }
    }
}

impl PeerBlocks for Peers {
    async fn lookup(&self, _account: &ClientAccountId, _keys: &[BlockKey]) -> Found {
        Found::default()
    }

    fn publish(&self, _root: &BlockKey, _updates: Vec<Update>) {}
}

impl PeerRecords for Peers {
    async fn record(&self, request: &RequestId) -> Option<Record> {
        self.journal.get(request)
    }
}
