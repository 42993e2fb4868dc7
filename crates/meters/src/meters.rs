//! Recording of metrics.

use {
    crate::Registry,
    cadence::{Counted, Gauged, StatsdClient, Timed},
    std::{sync::Arc, time::Duration},
};

/// Prefix of every metric name.
const METRIC_PREFIX: &str = "rattan";
/// The only tag that metrics carry.
const KIND_TAG: &str = "kind";

/// Records counters, gauges and durations. Clones share one registry.
#[derive(Clone, Debug)]
pub struct Meters {
    client: Arc<StatsdClient>,
    registry: Registry,
}

impl Default for Meters {
    fn default() -> Self {
        Self::new()
    }
}

impl Meters {
    /// Creates an instance with an empty registry.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::default();
        Self {
            client: Arc::new(StatsdClient::from_sink(METRIC_PREFIX, registry.clone())),
            registry,
        }
    }

    /// Adds one to the counter `name` with the tag `kind`.
    pub fn count(&self, name: &str, kind: &str) {
        self.count_many(name, kind, 1);
    }

    /// Adds `count` to the counter `name` with the tag `kind`.
    pub fn count_many(&self, name: &str, kind: &str, count: u64) {
        self.client
            .count_with_tags(name, count)
            .with_tag(KIND_TAG, kind)
            .send();
    }

    /// Records a duration in the histogram `name`, in whole milliseconds.
    pub fn time(&self, name: &str, duration: Duration) {
        self.client.time_with_tags(name, duration).send();
    }

    /// Sets the gauge `name` to `value`.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Returns all values in the Prometheus text format.
    #[must_use]
    pub fn prometheus_text(&self) -> String {
        self.registry.prometheus_text()
    }
}
