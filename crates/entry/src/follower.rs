//! Follows the key-value service: one listing, then one watch for everything. Whether the watch still
//! answers shows whether all that is known is current.

use {
    crate::{
        Item, ItemError, ItemName, NewsClock, Platform,
        item::{own_item, own_name},
        shared::Shared,
    },
    catalog::Revision,
    eventlog::Event as Line,
    futures::StreamExt,
    keyvalue::{Event, KeyValue, KvError, KvPair},
    relay::boot_time,
    std::{collections::HashSet, pin::pin, sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::time::{interval, sleep},
    tokio_util::sync::CancellationToken,
};

/// Pause after the first failed call; doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_millis(700);
/// How often lapsed entries are looked for.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// Pause after changes, so that those that come in quick succession cost one answer together.
const BATCH_PAUSE: Duration = Duration::from_millis(50);

/// Follows the service until `token` is cancelled.
pub(crate) async fn follow<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Platform,
{
    let mut follower = Follower {
        shared,
        clock: NewsClock::new(boot_time()),
        position: None,
        seen: HashSet::new(),
        available: true,
    };
    let mut pause = FIRST_PAUSE;
    loop {
        let before = follower.position;
        let error = tokio::select! {
            () = token.cancelled() => return Ok(()),
            error = follower.run() => error,
        };
        if matches!(error, KvError::Compacted { .. }) {
            follower.position = None;
        } else {
            follower.lost(&error);
        }
        pause = if before == follower.position {
            (pause * 2).min(MAX_PAUSE)
        } else {
            FIRST_PAUSE
        };
        sleep(pause).await;
    }
}

struct Follower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    clock: NewsClock,
    /// All changes up to this revision are known; none before the first listing.
    position: Option<Revision>,
    /// Names that were there at the last listing or written since.
    seen: HashSet<ItemName>,
    available: bool,
}

impl<Kv, Format> Follower<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Follows until a call fails.
    async fn run(&mut self) -> KvError {
        let position = match self.position {
            Some(position) => position,
            None => match self.list().await {
                Ok(position) => position,
                Err(error) => return error,
            },
        };
        let shared = self.shared.clone();
        let prefix = shared.format.watched_prefix();
        let mut events = pin!(shared.kv.watch(prefix, position + 1));
        let mut has_changes = false;
        let mut expiry = interval(EXPIRY_PERIOD);
        loop {
            let event = tokio::select! {
                event = events.next() => event,
                _ = expiry.tick() => {
                    self.tick();
                    self.expire();
                    continue;
                }
            };
            match event {
                Some(Ok(event)) => {
                    let is_end = matches!(event, Event::Progress(_));
                    self.apply(event);
                    if is_end && has_changes {
                        sleep(BATCH_PAUSE).await;
                    }
                    has_changes = !is_end;
                }
                Some(Err(error)) => return error,
                None => {
                    let reason = "the watch ended".to_owned();
                    return KvError::Unknown { reason };
                }
            }
        }
    }

    async fn list(&mut self) -> Result<Revision, KvError> {
        let asked_at = boot_time();
        let range = self
            .shared
            .kv
            .range(self.shared.format.watched_prefix())
            .await?;
        self.back();
        let before = std::mem::take(&mut self.seen);
        for pair in &range.pairs {
            self.put(pair);
        }
        for name in before.difference(&self.seen) {
            self.delete(name, range.revision);
        }
        self.position = Some(range.revision);
        self.clock = NewsClock::new(boot_time());
        self.confirm(asked_at);
        Ok(range.revision)
    }

    fn tick(&mut self) {
        if self.clock.tick(boot_time()) {
            self.shared.known().suspended();
        }
    }

    fn apply(&mut self, event: Event) {
        self.back();
        self.tick();
        match event {
            Event::Put(pair) => self.put(&pair),
            Event::Delete(key, revision) => {
                if let Some(name) = self.name(&key) {
                    self.seen.remove(&name);
                    self.delete(&name, revision);
                }
            }
            Event::Progress(revision) => {
                self.position = self.position.max(Some(revision));
                let answered_at = self.clock.answered(boot_time());
                self.confirm(answered_at);
            }
        }
    }

    fn put(&mut self, pair: &KvPair) {
        let Some(name) = self.name(&pair.key) else {
            return;
        };
        match self.item(&name, pair) {
            Ok(item) => {
                self.say(&name, &item, pair.mod_revision);
                let id = id(&name);
                let mut known = self.shared.known();
                known.put(id, item, pair.mod_revision, boot_time());
            }
            Err(error) => {
                log::warn!("{error}");
                self.delete(&name, pair.mod_revision);
            }
        }
        self.seen.insert(name);
    }

    fn delete(&self, name: &ItemName, revision: Revision) {
        if let ItemName::Target(target) = name {
            self.shared.log.emit(&Line::Target {
                target: target.clone(),
                state: "gone",
                pool: String::new(),
                address: String::new(),
                revision,
            });
        }
        self.shared.known().delete(name, boot_time());
    }

    fn confirm(&self, at: Duration) {
        self.shared.known().confirm(at);
        self.shared.publish();
    }

    fn expire(&self) {
        let expired = self.shared.known().expire(boot_time());
        if expired {
            self.shared.publish();
        }
    }

    fn name(&self, key: &str) -> Option<ItemName> {
        self.shared.format.parse_key(key).or_else(|| own_name(key))
    }

    fn item(&self, name: &ItemName, pair: &KvPair) -> Result<Item, ItemError> {
        match name {
            ItemName::Member(_) | ItemName::Holder | ItemName::Loading | ItemName::Recent(..) => {
                own_item(name, &pair.key, &pair.value)
            }
            _ => self.shared.format.parse_item(name, &pair.key, &pair.value),
        }
    }

    fn back(&mut self) {
        if self.available {
            return;
        }
        self.available = true;
        self.shared.known().returned(boot_time());
        let reason = "the service is followed again".to_owned();
        self.shared.dependency("key-value service", true, reason);
    }

    fn lost(&mut self, error: &KvError) {
        if self.available {
            let reason = error.to_string();
            self.shared.dependency("key-value service", false, reason);
        }
        self.available = false;
    }

    fn say(&self, name: &ItemName, item: &Item, revision: Revision) {
        let line = match (name, item) {
            (_, Item::Configuration(accepted)) => Line::Configuration {
                version: accepted.version,
                revision,
                routes_count: accepted.routes.len(),
                accounts_count: accepted.accounts.len(),
            },
            (ItemName::Version(model), Item::Version(version)) => Line::Version {
                model: model.clone(),
                version: *version,
                revision,
            },
            (ItemName::Target(target), Item::Target(entry)) => Line::Target {
                target: target.clone(),
                state: if entry.leaving { "leaving" } else { "ready" },
                pool: entry.pool.clone(),
                address: entry.address.to_string(),
                revision,
            },
            _ => return,
        };
        self.shared.log.emit(&line);
    }
}

/// Name of what an item belongs to, without its kind.
fn id(name: &ItemName) -> &str {
    match name {
        ItemName::Configuration | ItemName::Holder | ItemName::Loading => "",
        ItemName::Version(id)
        | ItemName::Target(id)
        | ItemName::Member(id)
        | ItemName::Recent(id, _) => id,
    }
}
