//! Reads what the other instances have learned of the stores and engines that they follow.

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

/// How long an instance holds a question for news.
const WAIT: Duration = Duration::from_secs(1);
/// Pause after a failed question.
const PAUSE: Duration = Duration::from_millis(300);
/// Pause between questions for each instance there is, so that the questions that an instance gets
/// do not grow with their number.
const BATCH_PAUSE_PER_INSTANCE: Duration = Duration::from_millis(12);
/// Least pause between questions, so that changes come in batches.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(60);

/// Reads every other instance's feed until `token` is cancelled.
pub(crate) async fn watch<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    let mut read: HashMap<(InstanceId, SocketAddr), CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let changed = shared.changed.notified();
        let mut instances = shared.known().feeding_instances();
        instances.remove(&shared.settings.instance);
        read.retain(|(name, address), stop| {
            let stays = instances.get(name) == Some(address);
            if !stays {
                stop.cancel();
                shared.forget_peer(name);
            }
            stays
        });
        let pause = MIN_BATCH_PAUSE.max(BATCH_PAUSE_PER_INSTANCE * count(instances.len()));
        for (name, address) in instances {
            if read.contains_key(&(name.clone(), address)) {
                continue;
            }
            let stop = CancellationToken::new();
            read.insert((name.clone(), address), stop.clone());
            shared.heard(&name, boot_time());
            let peer = Peer {
                shared: shared.clone(),
                name,
                reader: FeedReader::new(address),
                pause,
                link_use: HashMap::new(),
            };
            tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = peer.follow() => {}
                }
            });
        }
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

struct Peer<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    name: InstanceId,
    reader: FeedReader,
    /// Pause between questions.
    pause: Duration,
    /// Use of each store's link that the instance told of last.
    link_use: HashMap<SocketAddr, Duration>,
}

impl<Kv, Format> Peer<Kv, Format>
where
    Format: Platform,
{
    async fn follow(mut self) {
        let mut position = None;
        let mut places = HashSet::new();
        let mut available = true;
        loop {
            let owned = self.shared.ownership.load().places_of(&self.name);
            if !owned.is_subset(&places) {
                // What the instance learned of these before was left out.
                position = None;
            }
            places = owned;
            let answer = self.reader.read(position, WAIT).await;
            if answer.is_ok() != available {
                available = answer.is_ok();
                let reason = answer.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{} answers", self.name));
                self.shared.dependency("instance", available, reason);
            }
            let Ok(batch) = answer else {
                self.shared.followed.peer_loads().remove(&self.name);
                sleep(PAUSE).await;
                continue;
            };
            position = Some(batch.position);
            self.take(batch, &places);
            sleep(self.pause).await;
        }
    }

    /// Takes in what the instance says of the places that it follows for all.
    fn take(&mut self, batch: Batch, places: &HashSet<SocketAddr>) {
        let now = boot_time();
        self.shared.heard(&self.name, now);
        let mut peer_loads = self.shared.followed.peer_loads();
        peer_loads.set(&self.name, batch.loads);
        drop(peer_loads);
        let mut keeping = self.shared.followed.cache_index();
        if let Some(clock) = batch.clock {
            keeping.set_clock(clock, now);
        }
        for (store, time) in batch.link_use {
            let before = self.link_use.insert(store, time);
            // Of what an instance planned before it was first heard of, most is over.
            let more = before.map_or(Duration::ZERO, |before| time.saturating_sub(before));
            keeping.add_peer_link_use(store, more, now);
        }
        let own = batch.changes.iter();
        for change in own.filter(|change| places.contains(&change.place())) {
            keeping.apply(change, now);
        }
    }
}
