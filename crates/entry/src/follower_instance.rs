//! The parts of an instance that follow the key-value service, without those that serve calls.

use {
    crate::{Platform, Settings, follower, membership, shared::Shared},
    eventlog::EventLog,
    keyvalue::KeyValue,
    std::sync::Arc,
    tokio::{net::TcpListener, task::JoinSet},
    tokio_util::sync::CancellationToken,
};

/// An instance that registers, follows the key-value service and passes it on to others, but serves
/// no calls. Deployments with many of them fit into one process, so that the calls to the service
/// can be counted.
pub struct FollowerInstance<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
}

impl<Kv, Format> FollowerInstance<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Creates an instance that has not read anything yet.
    #[must_use]
    pub fn new(settings: Settings, kv: Kv, format: Format, log: EventLog) -> Self {
        Self {
            shared: Arc::new(Shared::new(settings, kv, format, log)),
        }
    }

    /// Follows the service, and answers other instances on `feed_listener`, until `token` is
    /// cancelled.
    pub async fn run(&self, feed_listener: TcpListener, token: CancellationToken) {
        let shared = &self.shared;
        let mut tasks = JoinSet::new();
        tasks.spawn(follower::follow(shared.clone(), token.clone()));
        tasks.spawn(membership::maintain(shared.clone(), token.clone()));
        let feed = shared.feed.clone();
        tasks.spawn(async move {
            feed::serve(Arc::new(feed_listener), feed, token).await;
            Ok(())
        });
        while tasks.join_next().await.is_some() {}
    }

    /// Begins to drain: other instances learn that this one takes no calls any more.
    pub fn drain(&self) {
        self.shared.draining.cancel();
        self.shared.publish();
    }

    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn configuration_version(&self) -> Option<u64> {
        let known = self.shared.known();
        known.table().map(|table| table.config().version)
    }

    /// Returns the ids of the known targets.
    #[must_use]
    pub fn targets(&self) -> Vec<String> {
        let known = self.shared.known();
        known.targets().map(|target| target.id.clone()).collect()
    }

    /// Returns the number of instances that this one knows to be ready.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.shared.known().ready_members().len()
    }

    /// Returns the metrics as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.shared.meters.prometheus_text()
    }
}
