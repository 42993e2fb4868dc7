//! Reads the merged feed of an aggregator, and changes to another one if it does not answer.

use {
    crate::{
        Aggregator, AggregatorChoice, PlaceGroup, Platform, ReadPlaces,
        link_use_reports::LinkUseReports, peer_follower::AGGREGATOR_POLL_DELAY, shared::Shared,
    },
    catalog::{FailureDomainId, InstanceId},
    feed::{FeedReader, MergedBatch, MergedRequest, PlaceReport, Scope, SourceReport},
    parts::Position,
    relay::boot_time,
    std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Delay between requests.
const POLL_DELAY: Duration = AGGREGATOR_POLL_DELAY;
/// Delay while there is no aggregator to read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The aggregator that is read. What it reported is forgotten when this is dropped.
struct ReadAggregator<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    name: InstanceId,
    feed: SocketAddr,
    reader: FeedReader,
    /// Position of the last batch; `None` before the first one.
    position: Option<Position>,
    /// Places that are read here.
    places: ReadPlaces,
    link_use: LinkUseReports,
}

impl<Kv, Format> Drop for ReadAggregator<Kv, Format> {
    fn drop(&mut self) {
        self.shared.forget_peer(&self.name);
    }
}

/// Reads the merged feed of an aggregator of one failure domain.
pub(crate) struct MergedFollower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    failure_domain: FailureDomainId,
    scope: Scope,
    choice: AggregatorChoice,
    read: Option<ReadAggregator<Kv, Format>>,
}

impl<Kv, Format> MergedFollower<Kv, Format>
where
    Format: Platform,
{
    /// Creates a follower of the aggregators of `failure_domain`. With [`Scope::All`] it reads
    /// everything there, otherwise only what concerns the instances of that domain.
    pub(crate) fn new(
        shared: Arc<Shared<Kv, Format>>,
        failure_domain: FailureDomainId,
        scope: Scope,
    ) -> Self {
        Self {
            shared,
            failure_domain,
            scope,
            choice: AggregatorChoice::default(),
            read: None,
        }
    }

    /// Reads until dropped.
    pub(crate) async fn run(mut self) {
        let mut available = true;
        loop {
            self.choose();
            let Some(read) = &mut self.read else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let wanted = read.wanted_places(&self.failure_domain, self.scope);
            let group = read.places.next_group(&wanted);
            let request = MergedRequest {
                reader: self.shared.settings.instance.clone(),
                scope: self.scope,
                since: read.position,
                added_places: group.added.clone(),
            };
            let requested_at = boot_time();
            let answer = read.reader.read_merged(&request).await;
            if answer.is_ok() != available {
                available = answer.is_ok();
                let reason = answer.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{} answers", read.name));
                self.shared.report_dependency("instance", available, reason);
            }
            match answer {
                Ok(Some(batch)) => {
                    self.shared.feed.count_merged_read(&batch);
                    let has_more = group.has_more || batch.is_reset && !group.known.is_empty();
                    read.apply_batch(batch, &group, self.scope, requested_at);
                    if !has_more {
                        sleep(POLL_DELAY).await;
                    }
                }
                Ok(None) => {
                    self.choice.record_refusal(&read.name, boot_time());
                    self.read = None;
                    sleep(RETRY_DELAY).await;
                }
                Err(_) => {
                    self.choice.record_failure(&read.name, boot_time());
                    self.read = None;
                }
            }
        }
    }

    /// Chooses the aggregator to read next.
    fn choose(&mut self) {
        let aggregators = self.shared.aggregators.load();
        let own = &self.shared.settings.instance;
        let candidates = aggregators.for_reader(&self.failure_domain, own);
        let chosen = self.choice.choose(&candidates, boot_time());
        let is_read = |read: &ReadAggregator<Kv, Format>, chosen: &Aggregator| {
            read.name == chosen.name && read.feed == chosen.feed
        };
        match (&self.read, chosen) {
            (Some(read), Some(chosen)) if is_read(read, chosen) => {}
            (_, chosen) => {
                // The former one is forgotten before anything of the new one is recorded.
                self.read = None;
                self.read = chosen.map(|chosen| self.begin(chosen));
            }
        }
    }

    fn begin(&self, aggregator: &Aggregator) -> ReadAggregator<Kv, Format> {
        let shared = self.shared.clone();
        ReadAggregator {
            shared,
            name: aggregator.name.clone(),
            feed: aggregator.feed,
            reader: FeedReader::new(aggregator.feed),
            position: None,
            places: ReadPlaces::default(),
            link_use: LinkUseReports::default(),
        }
    }
}

impl<Kv, Format> ReadAggregator<Kv, Format>
where
    Format: Platform,
{
    /// Places that this instance reads here.
    fn wanted_places(&self, failure_domain: &str, scope: Scope) -> HashSet<SocketAddr> {
        let ownership = self.shared.ownership.load();
        let mut places = match scope {
            Scope::All => ownership.places(),
            Scope::Own | Scope::Domain => ownership.places_in(failure_domain),
        };
        let followed = self.shared.feed.followed_places();
        places.retain(|place| !followed.contains(place));
        places
    }

    /// Applies what the aggregator reported after `requested_at`.
    fn apply_batch(
        &mut self,
        batch: MergedBatch,
        group: &PlaceGroup,
        scope: Scope,
        requested_at: Duration,
    ) {
        let now = boot_time();
        self.position = Some(batch.position);
        self.places.complete(group, batch.is_reset);
        let shared = &self.shared;
        let silent = batch.silent_instances.iter();
        let silent = silent.map(|(name, time)| (name.clone(), now.saturating_sub(*time)));
        shared.silences().set_reported(&self.name, silent);
        let report = SourceReport {
            loads: batch.loads,
            instances_count: batch.instances_count,
            link_use: batch.link_use,
            silent_instances: batch.silent_instances,
        };
        shared.apply_source_report(&self.name, &report, batch.clock, &mut self.link_use, now);
        if scope == Scope::Domain {
            shared.feed.set_source(&self.name, Scope::All, report, now);
        }
        let mut changes = batch.changes;
        changes.retain(|change| self.places.contains(change.place()));
        let ages = batch.report_ages.into_iter();
        let ages = ages.filter(|(place, _)| self.places.contains(*place));
        let times = ages.map(|(place, age)| (place, requested_at.saturating_sub(age)));
        let (reported_times, replaced_times) =
            times.partition(|(place, _)| group.known.contains(place));
        let report = PlaceReport {
            scope: Scope::All,
            changes,
            reported_times,
            replaced_times,
            keeps_followed: true,
        };
        shared.feed.apply(report, now);
    }
}
