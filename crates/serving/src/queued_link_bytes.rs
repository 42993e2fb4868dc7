//! Counts bytes that wait for the links of targets.

use {
    crate::{PeerDirectory, RequestHandler},
    catalog::TargetId,
    fleet::TargetView,
    keyvalue::KeyValue,
    std::sync::Arc,
};

/// Bytes that count as waiting for the links of two targets until this value is dropped.
pub(crate) struct QueuedLinkBytes {
    views: Vec<Arc<TargetView>>,
    bytes: u64,
}

impl QueuedLinkBytes {
    pub(crate) fn new<Kv, Peers>(
        handler: &RequestHandler<Kv, Peers>,
        targets: [&TargetId; 2],
        bytes: u64,
    ) -> Self
    where
        Kv: KeyValue,
        Peers: PeerDirectory,
    {
        let views: Vec<_> = targets
            .iter()
            .filter_map(|name| handler.fleet().view(name))
            .collect();
        for view in &views {
            view.queue_link_bytes(bytes);
        }
        Self { views, bytes }
    }
}

impl Drop for QueuedLinkBytes {
    fn drop(&mut self) {
        for view in &self.views {
            view.dequeue_link_bytes(self.bytes);
        }
    }
}
