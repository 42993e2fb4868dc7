//! Use of the stores' links, as one feed reports it.

use {
    parts::{LinkUse, PartDirectory},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Use of the stores' links, as one feed reported it last.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkUseReports {
    last: HashMap<SocketAddr, Duration>,
}

impl LinkUseReports {
    /// Reserves time on the stores' links for what was planned since the last report.
    pub(crate) fn apply(
        &mut self,
        reported: &[LinkUse],
        cache_index: &mut PartDirectory,
        now: Duration,
    ) {
        for (store, time) in reported {
            let before = self.last.insert(*store, *time);
            // At the first report there is nothing to compare with, and most transfers planned
            // before it have ended.
            let added_time = before.map_or(Duration::ZERO, |before| time.saturating_sub(before));
            cache_index.add_peer_link_use(*store, added_time, now);
        }
    }
}
