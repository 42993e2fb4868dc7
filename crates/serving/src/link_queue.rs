//! Bytes that wait for links.

use {
    crate::{PeerDirectory, RequestHandler},
    catalog::TargetId,
    fleet::TargetView,
    keyvalue::KeyValue,
    std::sync::Arc,
};

/// Bytes counted as waiting for the links of two targets, until dropped.
pub(crate) struct LinkQueue {
    views: Vec<Arc<TargetView>>,
    bytes: u64,
}

impl LinkQueue {
    pub(crate) fn new<Kv, Peers>(
        serving: &RequestHandler<Kv, Peers>,
        targets: [&TargetId; 2],
        bytes: u64,
    ) -> Self
    where
        Kv: KeyValue,
        Peers: PeerDirectory,
    {
        let views: Vec<_> = targets
            .iter()
            .filter_map(|name| serving.fleet().view(name))
            .collect();
        for view in &views {
            view.queue_link_bytes(bytes);
        }
        Self { views, bytes }
    }
}

impl Drop for LinkQueue {
    fn drop(&mut self) {
        for view in &self.views {
            view.dequeue_link_bytes(self.bytes);
        }
    }
}
