//! What the parts of a process count with.

use {
    crate::Registry,
    cadence::{Counted, Gauged, StatsdClient, Timed},
    std::{sync::Arc, time::Duration},
};

/// Prefix of every name.
const PREFIX: &str = "rattan";
/// The only tag.
const KIND: &str = "kind";

/// Counts and times. Clones share the registry.
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
    /// Meters that have counted nothing.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::default();
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, registry.clone())),
            registry,
        }
    }

    /// Counts one event of a kind.
    pub fn count(&self, name: &str, kind: &str) {
        self.client
            .count_with_tags(name, 1_i64)
            .with_tag(KIND, kind)
            .send();
    }

    /// Notes how long something took.
    pub fn time(&self, name: &str, took: Duration) {
        self.client.time_with_tags(name, took).send();
    }

    /// Notes a current value.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// All values, in the usual text form.
    #[must_use]
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
