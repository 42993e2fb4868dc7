//! Reads the own feed of one other instance.

use {
    crate::{PlaceGroup, Platform, ReadPlaces, link_use_reports::LinkUseReports, shared::Shared},
    catalog::InstanceId,
    feed::{Batch, FeedReader, PlaceReport, PlacesRequest, Scope, SourceReport},
    parts::Position,
    relay::boot_time,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Longest time that an instance may hold a request while it has no changes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay between requests per ready instance, so that the request rate at an instance does not grow
/// with the number of instances.
const POLL_DELAY_PER_INSTANCE: Duration = Duration::from_millis(6);
/// Shortest delay between requests, so that changes arrive in batches.
const MIN_POLL_DELAY: Duration = Duration::from_millis(60);
/// Delay between requests of an aggregator.
pub(crate) const AGGREGATOR_POLL_DELAY: Duration = Duration::from_millis(150);

/// Reads the own feed of one other instance.
pub(crate) struct PeerFollower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    name: InstanceId,
    reader: FeedReader,
    position: Option<Position>,
    /// Places that are read here.
    places: ReadPlaces,
    link_use: LinkUseReports,
}

impl<Kv, Format> PeerFollower<Kv, Format>
where
    Format: Platform,
{
    /// Creates a follower of the instance `name`, whose feed is at `address`.
    pub(crate) fn new(
        shared: Arc<Shared<Kv, Format>>,
        name: InstanceId,
        address: SocketAddr,
    ) -> Self {
        Self {
            shared,
            name,
            reader: FeedReader::new(address),
            position: None,
            places: ReadPlaces::default(),
            link_use: LinkUseReports::default(),
        }
    }

    /// Reads the feed until dropped.
    pub(crate) async fn run(mut self) {
        let now = boot_time();
        self.shared.note_heard(&self.name, now);
        self.shared.feed.add_source(&self.name, Scope::Domain, now);
        let mut available = true;
        loop {
            let wanted = self.shared.ownership.load().places_of(&self.name);
            let group = self.places.next_group(&wanted);
            let places = group.known.iter().chain(&group.added);
            let request = PlacesRequest {
                since: self.position,
                places: places.copied().collect(),
                added_places: group.added.clone(),
                wait: self.wait(&group),
            };
            let requested_at = boot_time();
            let answer = self.reader.read_places(&request).await;
            if answer.is_ok() != available {
                available = answer.is_ok();
                let reason = answer.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{} answers", self.name));
                self.shared.report_dependency("instance", available, reason);
            }
            let Ok(batch) = answer else {
                self.shared.relay_state.peer_loads().remove(&self.name);
                self.shared.feed.set_source_unread(&self.name);
                sleep(RETRY_DELAY).await;
                continue;
            };
            self.shared.feed.count_read(&batch);
            self.position = Some(batch.position);
            self.places.complete(&group, batch.is_reset);
            let has_more = group.has_more || batch.is_reset && !group.known.is_empty();
            self.apply_batch(batch, requested_at);
            if !has_more {
                sleep(self.poll_delay()).await;
            }
        }
    }

    /// Longest time that the instance may hold a request. An aggregator does not wait for a change,
    /// since loads change without one; nor does a reader with further places to read.
    fn wait(&self, group: &PlaceGroup) -> Duration {
        if group.has_more || self.shared.has_aggregators() {
            Duration::ZERO
        } else {
            LONG_POLL_WAIT
        }
    }

    fn poll_delay(&self) -> Duration {
        if self.shared.has_aggregators() {
            return AGGREGATOR_POLL_DELAY;
        }
        let instances_count = self.shared.relay_state.view().instances_count;
        MIN_POLL_DELAY.max(POLL_DELAY_PER_INSTANCE * instances_count.saturating_sub(1))
    }

    /// Applies what the instance reported after `requested_at`, but only the changes to places that it
    /// follows.
    fn apply_batch(&mut self, batch: Batch, requested_at: Duration) {
        let now = boot_time();
        let shared = &self.shared;
        shared.note_heard(&self.name, now);
        let report = SourceReport {
            loads: batch.loads,
            instances_count: 1,
            link_use: batch.link_use,
            silent_instances: Vec::new(),
        };
        shared.apply_source_report(&self.name, &report, batch.clock, &mut self.link_use, now);
        let scope = Scope::Domain;
        shared.feed.set_source(&self.name, scope, report, now);
        let mut changes = batch.changes;
        changes.retain(|change| self.places.contains(change.place()));
        let followed = batch.followed_places.into_iter();
        let followed = followed.filter(|place| self.places.contains(*place));
        let reported_times = followed.map(|place| (place, requested_at));
        let report = PlaceReport {
            scope,
            changes,
            reported_times: reported_times.collect(),
            replaced_times: Vec::new(),
            keeps_followed: shared.has_aggregators(),
        };
        shared.feed.apply(report, now);
    }
}
