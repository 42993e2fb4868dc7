//! Follows the key-value service with one listing and then one watch over all keys. The watch's
//! progress events confirm that the whole known state is current.

use {
    crate::{
        Item, ItemError, ItemName, Platform, SuspensionDetector, outage_check,
        own_keys::{parse_own_item, parse_own_key},
        shared::Shared,
    },
    catalog::Revision,
    eventlog::Event as LogEvent,
    futures::StreamExt,
    keyvalue::{Event, Incarnation, KeyValue, KvError, KvPair},
    relay::boot_time,
    routes::RouteConfig,
    std::{collections::HashSet, pin::pin, sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::{
        task::JoinSet,
        time::{interval, sleep},
    },
    tokio_util::sync::CancellationToken,
};

/// Delay after the first failed request; doubles up to `MAX_RETRY_DELAY`.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay after a failed request.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(700);
/// Interval between checks for expired targets and instances.
const EXPIRY_PERIOD: Duration = Duration::from_millis(250);

/// Warning in the log about a configuration without any key.
const NO_KEYS_WARNING: &str =
    "no client account has a key, so only public routes can be called; add a key to one";

/// Delay after a batch of changes, so that changes in quick succession arrive in one response.
const BATCH_DELAY: Duration = Duration::from_millis(50);

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
        suspension: SuspensionDetector::new(boot_time()),
        incarnation: Incarnation::default(),
        applied_revision: None,
        known_names: HashSet::new(),
        available: true,
        outage_checks: JoinSet::new(),
    };
    let mut retry_delay = FIRST_RETRY_DELAY;
    loop {
        let before = follower.applied_revision;
        let error = tokio::select! {
            () = token.cancelled() => return Ok(()),
            error = follower.run() => error,
        };
        match error {
            KvError::Compacted { .. } => follower.applied_revision = None,
            KvError::Restored { .. } => {
                sleep(follower.shared.return_pace().read_delay()).await;
                continue;
            }
            error => follower.note_unavailable(&error),
        }
        retry_delay = if before == follower.applied_revision {
            (retry_delay * 2).min(MAX_RETRY_DELAY)
        } else {
            FIRST_RETRY_DELAY
        };
        sleep(retry_delay).await;
    }
}

struct Follower<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    suspension: SuspensionDetector,
    /// Incarnation of the service that `applied_revision` belongs to.
    incarnation: Incarnation,
    /// All changes up to this revision have been applied; `None` before the first listing.
    applied_revision: Option<Revision>,
    /// Items that existed at the last listing or were written since.
    known_names: HashSet<ItemName>,
    available: bool,
    /// Finds out whether the last outage concerned this instance only.
    outage_checks: JoinSet<()>,
}

impl<Kv, Format> Follower<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Follows the service until a request fails.
    async fn run(&mut self) -> KvError {
        let incarnation = self.shared.incarnation();
        let is_restored = !self.incarnation.is_same(&incarnation);
        if is_restored {
            self.applied_revision = None;
        }
        let applied_revision = match self.applied_revision {
            Some(applied_revision) => applied_revision,
            None => match self.list(incarnation).await {
                Ok(applied_revision) => applied_revision,
                Err(error) => return error,
            },
        };
        let shared = self.shared.clone();
        let prefix = shared.format.watched_prefix();
        let mut events = pin!(shared.kv.watch(prefix, applied_revision + 1));
        // A watch that was opened in a later incarnation than the listing ends here.
        let mut restored = pin!(shared.restored(incarnation));
        let mut has_pending_changes = false;
        let mut expiry = interval(EXPIRY_PERIOD);
        loop {
            let event = tokio::select! {
                biased;
                error = &mut restored => return error,
                event = events.next() => event,
                _ = expiry.tick() => {
                    self.check_suspension();
                    self.expire();
                    continue;
                }
            };
            match event {
                Some(Ok(event)) => {
                    let is_progress = matches!(event, Event::Progress(_));
                    self.apply(event);
                    if is_progress && has_pending_changes {
                        sleep(BATCH_DELAY).await;
                    }
                    has_pending_changes = !is_progress;
                }
                Some(Err(error)) => return error,
                None => {
                    let reason = "the watch ended".to_owned();
                    return KvError::Unknown { reason };
                }
            }
        }
    }

    /// Reads all items, in an `incarnation` that may be another than that of the last listing.
    async fn list(&mut self, incarnation: Incarnation) -> Result<Revision, KvError> {
        let is_restored = !self.incarnation.is_same(&incarnation);
        let asked_at = boot_time();
        let range = self
            .shared
            .kv
            .range(self.shared.format.watched_prefix())
            .await?;
        let latest = self.shared.incarnation();
        if !latest.is_same(&incarnation) {
            let number = latest.number;
            return Err(KvError::Restored { number });
        }
        self.note_available();
        if is_restored {
            self.shared.known().service_restored(boot_time());
        }
        let before = std::mem::take(&mut self.known_names);
        for pair in &range.pairs {
            self.put(pair);
        }
        let missing: Vec<ItemName> = before.difference(&self.known_names).cloned().collect();
        for name in &missing {
            if is_restored {
                self.lapse(name);
            } else {
                self.delete(name, range.revision);
            }
        }
        self.incarnation = incarnation;
        self.shared.known().set_incarnation(incarnation);
        self.shared
            .note_read(incarnation, range.pairs.len(), missing.len());
        self.applied_revision = Some(range.revision);
        self.suspension = SuspensionDetector::new(boot_time());
        self.confirm(asked_at);
        Ok(range.revision)
    }

    fn check_suspension(&mut self) {
        if self.suspension.tick(boot_time()) {
            self.shared.known().note_suspension();
        }
    }

    fn apply(&mut self, event: Event) {
        self.note_available();
        self.check_suspension();
        match event {
            Event::Put(pair) => self.put(&pair),
            Event::Delete(key, revision) => {
                if let Some(name) = self.parse_key(&key) {
                    self.known_names.remove(&name);
                    self.delete(&name, revision);
                }
            }
            Event::Progress(revision) => {
                self.applied_revision = self.applied_revision.max(Some(revision));
                let confirmed_at = self.suspension.answer_received(boot_time());
                self.confirm(confirmed_at);
            }
        }
    }

    fn put(&mut self, pair: &KvPair) {
        let Some(name) = self.parse_key(&pair.key) else {
            return;
        };
        match self.parse_item(&name, pair) {
            Ok(item) => {
                self.log_change(&name, &item, pair.mod_revision);
                self.shared.put(&name, item, pair.mod_revision);
            }
            Err(error) => {
                log::warn!("{error}");
                self.log_gone(&name, pair.mod_revision);
                self.shared.remove(&name);
            }
        }
        self.known_names.insert(name);
    }

    fn delete(&self, name: &ItemName, revision: Revision) {
        self.log_gone(name, revision);
        self.shared.delete(name);
    }

    /// Applies that an older copy of the service lacks an item.
    fn lapse(&self, name: &ItemName) {
        self.shared.known().lapse(name, boot_time());
    }

    fn log_gone(&self, name: &ItemName, revision: Revision) {
        if let ItemName::Target(target) = name {
            self.shared.log.emit(&LogEvent::Target {
                target: target.clone(),
                state: "gone",
                pool: String::new(),
                address: String::new(),
                software_version: String::new(),
                revision,
            });
        }
    }

    fn confirm(&self, current_at: Duration) {
        self.shared.feed.record_service_contact(current_at);
        self.shared.known().confirm(current_at);
        self.shared.publish();
    }

    fn expire(&self) {
        let expired = self.shared.known().expire(boot_time());
        if expired {
            self.shared.publish();
        }
    }

    fn parse_key(&self, key: &str) -> Option<ItemName> {
        self.shared
            .format
            .parse_key(key)
            .or_else(|| parse_own_key(key))
    }

    fn parse_item(&self, name: &ItemName, pair: &KvPair) -> Result<Item, ItemError> {
        if name.belongs_to_platform() {
            return self.shared.format.parse_item(name, &pair.key, &pair.value);
        }
        parse_own_item(name, &pair.key, &pair.value)
    }

    fn note_available(&mut self) {
        if self.available {
            return;
        }
        self.available = true;
        let silence = self.shared.known().service_recovered(boot_time());
        let reason = "the service is followed again".to_owned();
        self.shared
            .report_dependency("key-value service", true, reason);
        if let Some(silence) = silence {
            // Ends a check of an earlier outage.
            self.outage_checks = JoinSet::new();
            let check = outage_check::run(self.shared.clone(), silence);
            self.outage_checks.spawn(check);
        }
    }

    fn note_unavailable(&mut self, error: &KvError) {
        if self.available {
            let reason = error.to_string();
            self.shared
                .report_dependency("key-value service", false, reason);
        }
        self.available = false;
    }

    fn log_change(&self, name: &ItemName, item: &Item, revision: Revision) {
        let event = match (name, item) {
            (_, Item::Configuration(config)) => {
                if self.shared.known().has_newer(config) {
                    return;
                }
                let keys_count = config.keys_count().unwrap_or_default();
                self.shared.meters.gauge("account_keys", keys_count as u64);
                configuration_event(config, revision)
            }
            (ItemName::Version(model), Item::Version(version)) => LogEvent::Version {
                model: model.clone(),
                version: *version,
                revision,
            },
            (ItemName::Target(target), Item::Target(record)) => LogEvent::Target {
                target: target.clone(),
                state: if record.leaving { "leaving" } else { "ready" },
                pool: record.pool.clone(),
                address: record.address.to_string(),
                software_version: record.software_version.clone(),
                revision,
            },
            _ => return,
        };
        self.shared.log.emit(&event);
    }
}

fn configuration_event(config: &RouteConfig, revision: Revision) -> LogEvent {
    let keys_count = config.keys_count();
    let has_no_key = keys_count == Some(0);
    LogEvent::Configuration {
        version: config.version,
        revision,
        routes_count: config.routes.len(),
        accounts_count: config.accounts.as_ref().map_or(0, Vec::len),
        keys_count,
        warning: if has_no_key { NO_KEYS_WARNING } else { "" },
    }
}
