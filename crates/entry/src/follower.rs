//! Follows the key-value service with one listing and then the changes of all keys, by a watch or
//! through another instance that has one. Progress events confirm that the whole known state is current.

mod history;
mod sources;

use {
    self::history::HistoryChecks,
    crate::{
        Item, ItemError, ItemName, Platform, SourceChoice, SuspensionDetector, TargetRegistration,
        outage_check,
        own_keys::{parse_own_item, parse_own_key},
        shared::Shared,
    },
    catalog::{InstanceId, Revision, TargetId},
    eventlog::Event as LogEvent,
    keyvalue::{Event, Incarnation, KeyValue, KvError, KvPair},
    rand::RngExt,
    relay::boot_time,
    routes::RouteConfig,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    supervisor::ChildResult,
    tokio::{task::JoinSet, time::sleep},
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
    let mut follower = Follower::new(shared);
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
                follower.leave_history();
                sleep(follower.shared.return_pace().read_delay()).await;
                continue;
            }
            error => {
                follower.note_unavailable(&error);
                follower.note_source_reason(&error.to_string());
                follower.choice.service_failed(boot_time());
            }
        }
        retry_delay = if before == follower.applied_revision {
            (retry_delay * 2).min(MAX_RETRY_DELAY)
        } else {
            FIRST_RETRY_DELAY
        };
        sleep(follower.spread(retry_delay)).await;
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
    /// Latest registration of each target, with its revision.
    registrations: HashMap<TargetId, (TargetRegistration, Revision)>,
    /// When the known state was last confirmed.
    confirmed_at: Duration,
    choice: SourceChoice,
    /// Whether instances have changed since the choice was last updated.
    has_new_members: bool,
    /// Aggregator that was last logged as the source; empty for the service.
    logged_source: InstanceId,
    /// Why the source changes.
    source_reason: String,
    /// Asks aggregators whether they serve this instance, beside its own watch.
    trials: JoinSet<(InstanceId, bool)>,
    available: bool,
    /// Whether changes may have been missed since the last listing.
    is_doubtful: bool,
    history: HistoryChecks,
    /// Finds out whether the last outage concerned this instance only.
    outage_checks: JoinSet<()>,
}

impl<Kv, Format> Follower<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Creates the follower of an instance that has not read anything from the service yet.
    fn new(shared: Arc<Shared<Kv, Format>>) -> Self {
        Self {
            shared,
            suspension: SuspensionDetector::new(boot_time()),
            incarnation: Incarnation::default(),
            applied_revision: None,
            known_names: HashSet::new(),
            registrations: HashMap::new(),
            confirmed_at: Duration::ZERO,
            choice: SourceChoice::default(),
            has_new_members: false,
            logged_source: InstanceId::new(),
            source_reason: String::new(),
            trials: JoinSet::new(),
            available: true,
            is_doubtful: false,
            history: HistoryChecks::default(),
            outage_checks: JoinSet::new(),
        }
    }

    /// Follows the service until a request fails.
    async fn run(&mut self) -> KvError {
        let incarnation = self.shared.incarnation();
        let is_restored = !self.incarnation.is_same(&incarnation);
        if is_restored {
            self.applied_revision = None;
        }
        if self.applied_revision.is_none()
            && let Err(error) = self.list(incarnation).await
        {
            return error;
        }
        loop {
            if let Err(error) = self.follow_source(incarnation).await {
                return error;
            }
        }
    }

    /// Reads all items, in an `incarnation` that may be another than that of the last listing.
    async fn list(&mut self, incarnation: Incarnation) -> Result<Revision, KvError> {
        let is_restored = !self.incarnation.is_same(&incarnation) || self.is_doubtful;
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
        self.is_doubtful = false;
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

    /// Applies an event of this instance's own watch, and keeps it for those that follow the service
    /// through this instance.
    fn apply_watched(&mut self, event: Event) {
        self.note_available();
        self.check_suspension();
        let log = &self.shared.feed.service_log;
        if let Event::Progress(revision) = event {
            self.applied_revision = self.applied_revision.max(Some(revision));
            let confirmed_at = self.suspension.answer_received(boot_time());
            log.confirm(revision, confirmed_at);
            self.confirm(confirmed_at);
            return;
        }
        let is_repetition = self.choice.is_aggregator() && self.repeats_registration(&event);
        if !is_repetition {
            log.push(&event);
        }
        self.apply_change(event);
    }

    fn apply_change(&mut self, event: Event) {
        match event {
            Event::Put(pair) => self.put(&pair),
            Event::Delete(key, revision) => {
                if let Some(name) = self.parse_key(&key) {
                    self.known_names.remove(&name);
                    self.delete(&name, revision);
                }
            }
            Event::Progress(_) => {}
        }
    }

    /// Whether an event only repeats an earlier registration of a target. Values are compared decoded,
    /// since one field counts how often the target has written. The remaining cold time counts from
    /// the writing, so a registration with one is never a repetition. Nor is one that the last listing
    /// has delivered before the watch did, since those that listed earlier don't know it.
    fn repeats_registration(&self, event: &Event) -> bool {
        let Event::Put(pair) = event else {
            return false;
        };
        let Some(name @ ItemName::Target(_)) = self.parse_key(&pair.key) else {
            return false;
        };
        let ItemName::Target(target) = &name else {
            return false;
        };
        let Ok(Item::Target(record)) = self.parse_item(&name, pair) else {
            return false;
        };
        let known = self.registrations.get(target);
        let is_known = known
            .is_some_and(|(known, revision)| *known == record && *revision < pair.mod_revision);
        is_known && record.cold_left.is_zero()
    }

    /// Keeps what the choice of a source and the comparison of registrations need of an item.
    fn note_item(&mut self, name: &ItemName, item: Option<&Item>, revision: Revision) {
        match (name, item) {
            (ItemName::Member(_), _) => self.has_new_members = true,
            (ItemName::Target(target), Some(Item::Target(record))) => {
                let registration = (record.clone(), revision);
                self.registrations.insert(target.clone(), registration);
            }
            (ItemName::Target(target), _) => {
                self.registrations.remove(target);
            }
            _ => {}
        }
    }

    fn put(&mut self, pair: &KvPair) {
        let Some(name) = self.parse_key(&pair.key) else {
            return;
        };
        match self.parse_item(&name, pair) {
            Ok(item) => {
                self.note_item(&name, Some(&item), pair.mod_revision);
                self.log_change(&name, &item, pair.mod_revision);
                self.shared.put(&name, item, pair.mod_revision);
            }
            Err(error) => {
                log::warn!("{error}");
                self.note_item(&name, None, pair.mod_revision);
                self.log_gone(&name, pair.mod_revision);
                self.shared.remove(&name);
            }
        }
        self.known_names.insert(name);
    }

    fn delete(&mut self, name: &ItemName, revision: Revision) {
        self.note_item(name, None, revision);
        self.log_gone(name, revision);
        self.shared.delete(name);
    }

    /// Applies that an older copy of the service lacks an item.
    fn lapse(&mut self, name: &ItemName) {
        self.note_item(name, None, 0);
        self.shared.known().lapse(name, boot_time());
    }

    /// Spreads a delay over the instances of a large deployment, all of which notice an outage at
    /// the same time.
    fn spread(&self, delay: Duration) -> Duration {
        if self.choice.has_aggregators() {
            delay.mul_f64(rand::rng().random_range(0.5..1.0))
        } else {
            delay
        }
    }

    fn log_gone(&self, name: &ItemName, revision: Revision) {
        if let ItemName::Target(target) = name {
            self.shared.log.emit(&LogEvent::Target {
                target: target.clone(),
                state: "gone",
                pool: String::new(),
                address: String::new(),
                software_version: String::new(),
                started_unix_ms: 0,
                revision,
            });
        }
    }

    fn confirm(&mut self, current_at: Duration) {
        self.confirmed_at = current_at;
        self.shared.feed.record_service_contact(current_at);
        self.shared.known().confirm(current_at);
        self.shared.publish();
    }

    fn expire(&mut self) {
        let expired = self.shared.known().expire(boot_time());
        if expired {
            self.has_new_members = true;
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
                started_unix_ms: record.started_unix_ms,
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
