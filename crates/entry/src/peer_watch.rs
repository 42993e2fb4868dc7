//! Reads the feeds of the other instances: what they have learned of the stores and engines that
//! they follow.

use {
    crate::{Platform, shared::Shared},
    catalog::InstanceId,
    feed::{Batch, FeedReader},
    relay::boot_time,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    supervisor::ChildResult,
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// Longest time that an instance may hold a request while it has no changes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay between requests per known instance, so that the request rate at an instance does not grow
/// with the number of instances.
const POLL_DELAY_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Shortest delay between requests, so that changes arrive in batches.
const MIN_POLL_DELAY: Duration = Duration::from_millis(60);

/// Reads every other instance's feed until `token` is cancelled.
pub(crate) async fn watch<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    let mut followed: HashMap<(InstanceId, SocketAddr), CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let changed = shared.changed.notified();
        let instances = shared.other_feeds();
        followed.retain(|(name, address), stop| {
            let stays = instances.get(name) == Some(address);
            if !stays {
                stop.cancel();
                shared.forget_peer(name);
            }
            stays
        });
        let poll_delay = MIN_POLL_DELAY.max(POLL_DELAY_PER_INSTANCE * to_u32(instances.len()));
        for (name, address) in instances {
            if followed.contains_key(&(name.clone(), address)) {
                continue;
            }
            let stop = CancellationToken::new();
            followed.insert((name.clone(), address), stop.clone());
            shared.note_heard(&name, boot_time());
            let peer = PeerFollower {
                shared: shared.clone(),
                name,
                reader: FeedReader::new(address),
                poll_delay,
                link_use: HashMap::new(),
            };
            tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = peer.run() => {}
                }
            });
        }
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
        }
    }
}

fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

struct PeerFollower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    name: InstanceId,
    reader: FeedReader,
    /// Delay between requests.
    poll_delay: Duration,
    /// Use of each store's link that the instance reported last.
    link_use: HashMap<SocketAddr, Duration>,
}

impl<Kv, Format> PeerFollower<Kv, Format>
where
    Format: Platform,
{
    async fn run(mut self) {
        let mut position = None;
        let mut places = HashSet::new();
        let mut available = true;
        loop {
            let owned = self.shared.ownership.load().places_of(&self.name);
            if !owned.is_subset(&places) {
                // Earlier changes to the added places were skipped, so read the whole state again.
                position = None;
            }
            places = owned;
            let requested_at = boot_time();
            let answer = self.reader.read(position, LONG_POLL_WAIT).await;
            if answer.is_ok() != available {
                available = answer.is_ok();
                let reason = answer.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{} answers", self.name));
                self.shared.report_dependency("instance", available, reason);
            }
            let Ok(batch) = answer else {
                self.shared.relay_state.peer_loads().remove(&self.name);
                self.shared.relay_state.load_reports.remove(&self.name);
                sleep(RETRY_DELAY).await;
                continue;
            };
            position = Some(batch.position);
            self.apply_batch(batch, &places, requested_at);
            sleep(self.poll_delay).await;
        }
    }

    /// Applies what the instance reported after `requested_at`, but only the changes to places that it
    /// owns.
    fn apply_batch(&mut self, batch: Batch, places: &HashSet<SocketAddr>, requested_at: Duration) {
        let now = boot_time();
        self.shared.note_heard(&self.name, now);
        let mut peer_loads = self.shared.relay_state.peer_loads();
        peer_loads.set(&self.name, batch.loads);
        drop(peer_loads);
        self.shared
            .relay_state
            .load_reports
            .record(&self.name, 1, now);
        let mut cache_index = self.shared.relay_state.cache_index();
        if let Some(clock) = batch.clock {
            cache_index.set_clock(clock, now);
        }
        for (store, time) in batch.link_use {
            let before = self.link_use.insert(store, time);
            // At the first report there is nothing to compare with, and most transfers planned
            // before it have ended.
            let added_time = before.map_or(Duration::ZERO, |before| time.saturating_sub(before));
            cache_index.add_peer_link_use(store, added_time, now);
        }
        let own = batch.changes.iter();
        for change in own.filter(|change| places.contains(&change.place())) {
            cache_index.apply(change, now);
        }
        for place in places {
            cache_index.set_reported(*place, requested_at);
        }
    }
}
