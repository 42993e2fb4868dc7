//! Reports the state of this instance as gauge metrics.

use {
    crate::Metrics,
    cluster::Cluster,
    configuration::FollowerHandle,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Reports the state of this instance until dropped.
#[derive(Clone)]
pub(crate) struct StatusGauges {
    pub(crate) metrics: Metrics,
    pub(crate) configuration: FollowerHandle,
    pub(crate) cluster: Arc<Cluster>,
}

impl StatusGauges {
    /// Reports at a fixed interval.
    pub(crate) async fn run(self) {
        loop {
            self.report();
            sleep(REPORT_INTERVAL).await;
        }
    }

    fn report(&self) {
        let status = self.configuration.status();
        let live = self.cluster.members();
        let live_count = live.iter().filter(|member| member.is_live()).count();
        self.metrics
            .gauge("configuration.revision", status.revision);
        if let Some(age) = status.confirmed_age {
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            self.metrics.gauge("configuration.confirmed_age_ms", age_ms);
        }
        self.metrics.gauge("members.live", live_count as u64);
    }
}
