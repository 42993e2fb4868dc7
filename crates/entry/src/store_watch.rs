//! Follows what the stores of prompt state hold.

use {
    crate::{PartEvents, Platform, shared::Shared},
    catalog::TargetId,
    eventlog::Event,
    parts::Store,
    relay::{View, boot_time},
    routes::{PoolKind, RouteTable, StoreTraits},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
    supervisor::ChildResult,
    target::{Client, Reuse, SendError},
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// How long a store holds a question for changes.
const WAIT: Duration = Duration::from_secs(1);
/// Longest time for an answer besides.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Pause after a failed question.
const PAUSE: Duration = Duration::from_millis(300);
/// Pause between questions to a store.
const STORE_BATCH_PAUSE: Duration = Duration::from_millis(60);
/// Pause between questions to an engine.
const ENGINE_BATCH_PAUSE: Duration = Duration::from_millis(120);

/// A store or an engine that is followed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Place {
    address: SocketAddr,
    /// Name of the engine; none for a store.
    engine: Option<TargetId>,
}

/// Follows every store of the configuration in force, and every engine, until `token` is cancelled.
pub(crate) async fn watch<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    let mut followed: HashMap<Place, CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let changed = shared.changed.notified();
        let view = shared.view.load_full();
        let stores = view.table.as_deref().map(stores).unwrap_or_default();
        let mut places = engines(&view);
        places.extend(stores.iter().map(|store| Place {
            address: store.address,
            engine: None,
        }));
        followed.retain(|place, stop| {
            let stays = places.contains(place);
            if !stays {
                stop.cancel();
                shared.keeping().cleared(place.address);
                shared.keeping().set_available(place.address, false);
            }
            stays
        });
        shared.keeping().set_instances(view.instances_count);
        for store in stores {
            let is_new = !followed.keys().any(|place| place.address == store.address);
            if is_new {
                shared.keeping().set_store(store);
            }
        }
        for place in places {
            if followed.contains_key(&place) {
                continue;
            }
            let stop = token.child_token();
            followed.insert(place.clone(), stop.clone());
            let task = PlaceFollower {
                shared: shared.clone(),
                client: client.clone(),
                address: place.address,
                is_store: place.engine.is_none(),
                position: None,
            };
            tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = task.run() => {}
                }
            });
        }
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
        }
    }
}

/// The engines that are there.
fn engines(view: &View) -> Vec<Place> {
    let Some(table) = &view.table else {
        return Vec::new();
    };
    let pools = table.accepted().pools.values();
    let pools = pools.filter(|pool| matches!(pool.kind, PoolKind::Engine(_)));
    let targets = pools
        .filter_map(|pool| view.pools.get(&pool.name))
        .flatten();
    let places = targets.map(|target| Place {
        address: target.address,
        engine: Some(target.id.clone()),
    });
    places.collect()
}

/// The stores of a configuration.
fn stores(table: &RouteTable) -> Vec<Store> {
    let pools = table.accepted().pools.values();
    let token_bytes = pools.clone().find_map(|pool| match &pool.kind {
        PoolKind::Engine(engine) => Some(engine.token_bytes),
        _ => None,
    });
    let stores = pools.filter_map(|pool| match &pool.kind {
        PoolKind::Store(traits) => Some(store(traits, token_bytes.unwrap_or_default())),
        _ => None,
    });
    stores.collect()
}

fn store(traits: &StoreTraits, token_bytes: u64) -> Store {
    #[allow(clippy::cast_precision_loss)]
    let token_s = token_bytes as f64 * 8.0 / traits.link_bits_per_s.max(1.0);
    let mut store = Store::new(traits.address, traits.room_tokens);
    store.failure_domain.clone_from(&traits.failure_domain);
    store.token_time = Duration::try_from_secs_f64(token_s).unwrap_or_default();
    store.first_time = traits.first_time;
    store.available = false;
    store
}

/// Where in a store's changes a follower is.
#[derive(Clone, Copy, Debug)]
struct Position {
    /// Number of the store's start.
    start: u64,
    /// Number to ask for next.
    next: u64,
}

struct PlaceFollower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    address: SocketAddr,
    is_store: bool,
    position: Option<Position>,
}

impl<Kv, Format> PlaceFollower<Kv, Format>
where
    Format: Platform,
{
    async fn run(mut self) {
        let mut available = false;
        loop {
            let outcome = self.ask().await;
            let answers = outcome.is_ok();
            if self.is_store && answers != available {
                available = answers;
                self.shared.keeping().set_available(self.address, answers);
                let reason = outcome.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{} answers", self.address));
                self.shared.dependency("store", answers, reason);
            }
            sleep(if answers { self.batch_pause() } else { PAUSE }).await;
        }
    }

    /// Pause between questions, so that changes come in batches.
    fn batch_pause(&self) -> Duration {
        if self.is_store {
            STORE_BATCH_PAUSE
        } else {
            ENGINE_BATCH_PAUSE
        }
    }

    async fn ask(&mut self) -> Result<(), SendError> {
        let since = self.position.map_or(0, |position| position.next);
        let call = self.shared.format.events_call(since, WAIT);
        let Some(events) = self.shared.format.events(&self.body(call, WAIT).await?) else {
            return Err(self.unreadable());
        };
        let restarted = self.position.is_some_and(|it| it.start != events.start);
        if restarted {
            self.shared.keeping().cleared(self.address);
            self.position = None;
            return Ok(());
        }
        if events.lost && self.is_store {
            return self.list().await;
        }
        if events.lost {
            // A list would stall the engine; what it holds shows again with later changes.
            self.shared.keeping().cleared(self.address);
        }
        self.take(&events);
        self.position = Some(Position {
            start: events.start,
            next: events.next,
        });
        Ok(())
    }

    fn take(&self, events: &PartEvents) {
        let mut keeping = self.shared.keeping();
        if let Some(clock) = events.clock {
            keeping.set_clock(clock, boot_time());
        }
        for change in &events.changes {
            let part = &change.part;
            keeping.holds(self.address, &part.salt, &part.id, part.tokens);
        }
        drop(keeping);
        let added_count = events.changes.iter().filter(|it| it.added).count();
        if self.is_store && !events.changes.is_empty() {
            self.say(added_count, events.changes.len() - added_count, false);
        }
    }

    async fn list(&mut self) -> Result<(), SendError> {
        let call = self.shared.format.list_call();
        let Some(list) = self.shared.format.list(&self.body(call, WAIT).await?) else {
            return Err(self.unreadable());
        };
        let mut keeping = self.shared.keeping();
        keeping.cleared(self.address);
        for part in &list.held {
            keeping.holds(self.address, &part.salt, &part.id, part.tokens);
        }
        drop(keeping);
        self.say(list.held.len(), 0, true);
        self.position = Some(Position {
            start: list.start,
            next: list.next,
        });
        Ok(())
    }

    async fn body(
        &self,
        call: hyper::Request<http_body_util::Full<bytes::Bytes>>,
        wait: Duration,
    ) -> Result<bytes::Bytes, SendError> {
        let limit = wait + ANSWER_TIME;
        let mut reply = self
            .client
            .send(self.address, call, Reuse::Allowed, limit)
            .await?;
        if !reply.status().is_success() {
            return Err(reply.into_error(ANSWER_TIME).await);
        }
        reply.body(ANSWER_TIME).await
    }

    fn unreadable(&self) -> SendError {
        SendError::Failed {
            address: self.address,
            status: 200,
            reason: "unreadable answer".to_owned(),
        }
    }

    fn say(&self, added_count: usize, removed_count: usize, listed: bool) {
        self.shared.log.emit(&Event::Parts {
            place: self.address.to_string(),
            added_count,
            removed_count,
            listed,
        });
    }
}
