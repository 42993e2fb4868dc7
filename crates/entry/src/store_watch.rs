//! Follows what the stores of prompt state hold.

use {
    crate::{PartEvents, Platform, shared::Shared},
    eventlog::Event,
    parts::Store,
    routes::{PoolKind, RouteTable, StoreTraits},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    supervisor::ChildResult,
    target::{Client, Reuse, SendError},
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// How long a store holds a question for changes.
const WAIT: Duration = Duration::from_millis(1_000);
/// Longest time for an answer besides.
const ANSWER_TIME: Duration = Duration::from_millis(700);
/// Pause after a failed question.
const PAUSE: Duration = Duration::from_millis(300);
/// Pause between questions, so that changes come in batches.
const BATCH_PAUSE: Duration = Duration::from_millis(60);

/// Follows every store of the configuration in force until `token` is cancelled.
pub(crate) async fn watch<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    let mut followed: HashMap<SocketAddr, CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let changed = shared.changed.notified();
        let table = shared.view.load().table.clone();
        let stores = table.as_deref().map(stores).unwrap_or_default();
        followed.retain(|address, stop| {
            let stays = stores.iter().any(|store| store.address == *address);
            if !stays {
                stop.cancel();
                shared.keeping().cleared(*address);
                shared.keeping().set_available(*address, false);
            }
            stays
        });
        let instances_count = shared.view.load().instances_count;
        shared.keeping().set_instances(instances_count);
        for store in stores {
            if followed.contains_key(&store.address) {
                continue;
            }
            let stop = token.child_token();
            followed.insert(store.address, stop.clone());
            let follower = StoreFollower {
                shared: shared.clone(),
                client: client.clone(),
                address: store.address,
                position: None,
            };
            shared.keeping().set_store(store);
            tasks.spawn(async move {
                tokio::select! {
                    () = stop.cancelled() => {}
                    () = follower.run() => {}
                }
            });
        }
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
        }
    }
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

struct StoreFollower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    address: SocketAddr,
    position: Option<Position>,
}

impl<Kv, Format> StoreFollower<Kv, Format>
where
    Format: Platform,
{
    async fn run(mut self) {
        let mut available = false;
        loop {
            let outcome = self.ask().await;
            let answers = outcome.is_ok();
            if answers != available {
                available = answers;
                self.shared.keeping().set_available(self.address, answers);
                let reason = outcome.as_ref().err().map(ToString::to_string);
                let reason = reason.unwrap_or_else(|| format!("{} answers", self.address));
                self.shared.dependency("store", answers, reason);
            }
            sleep(if answers { BATCH_PAUSE } else { PAUSE }).await;
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
        if events.lost {
            return self.list().await;
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
        for change in &events.changes {
            let part = &change.part;
            if change.added {
                keeping.added(self.address, &part.salt, &part.id, part.tokens);
            } else {
                keeping.removed(self.address, &part.salt, &part.id);
            }
        }
        drop(keeping);
        let added_count = events.changes.iter().filter(|it| it.added).count();
        if !events.changes.is_empty() {
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
            keeping.added(self.address, &part.salt, &part.id, part.tokens);
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
        let mut reply = self.client.send(self.address, call, Reuse::Allowed, limit).await?;
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
