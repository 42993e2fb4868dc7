//! Keeps an instance's copy of the configuration up to date.

use {
    crate::{
        FollowerHandle, Snapshot,
        keys::{CONFIG_PREFIX, LAST_CHANGE_KEY},
        staleness_warning::StalenessWarning,
        writer::timeout_error,
    },
    catalog::Revision,
    futures::StreamExt,
    keyvalue::{Event, KeyValue, KvError, Range},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{pin::pin, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// Timeouts and intervals of a [`Follower`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerSettings {
    /// Maximum wait for one answer of the service.
    pub call_timeout: Duration,
    /// Time without an event from the watch after which one small read checks whether anything
    /// changed. This detects a watch whose connection no longer delivers events.
    pub check_interval: Duration,
    /// Minimum delay before a retry. A random jitter of up to the same length is added, so that
    /// instances do not all reconnect at once.
    pub retry_delay: Duration,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            check_interval: Duration::from_secs(3),
            retry_delay: Duration::from_millis(250),
        }
    }
}

/// Reads the configuration, watches it for changes, and publishes it through a [`FollowerHandle`].
///
/// While the service is down, the last configuration stays in force; [`FollowerHandle::status`]
/// returns its age.
#[derive(Clone, Debug)]
pub struct Follower<Kv> {
    kv: Kv,
    settings: FollowerSettings,
    handle: FollowerHandle,
    seed: Option<u64>,
}

/// Why a watch ended.
enum WatchEnd {
    /// The watch can be resumed after the last revision that it delivered.
    Disconnected,
    /// Changes may have been missed, so the whole configuration must be read again.
    ChangesMissed,
}

impl<Kv> Follower<Kv>
where
    Kv: KeyValue,
{
    /// Creates a follower without a configuration. It does no I/O until [`Follower::run`].
    pub fn new(kv: Kv, settings: FollowerSettings) -> Self {
        Self {
            kv,
            settings,
            handle: FollowerHandle::default(),
            seed: None,
        }
    }

    /// Makes the retry delays depend on `seed` alone, for reproducible tests.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = Some(seed);
        self
    }

    /// The handle that gives access to the configuration and accepts peers' snapshots.
    #[must_use]
    pub fn handle(&self) -> FollowerHandle {
        self.handle.clone()
    }

    /// Keeps the configuration up to date until the future is dropped.
    pub async fn run(self) {
        let mut rng = StdRng::seed_from_u64(self.seed.unwrap_or_else(rand::random));
        let mut staleness_warning = StalenessWarning::new();
        loop {
            self.read_all(&mut rng, &mut staleness_warning).await;
            while let WatchEnd::Disconnected = self.watch(&mut staleness_warning).await {
                staleness_warning.log_if_stale(&self.handle);
                self.sleep_before_retry(&mut rng).await;
            }
        }
    }

    /// Reads the whole configuration, retrying until it succeeds.
    async fn read_all(&self, rng: &mut StdRng, staleness_warning: &mut StalenessWarning) {
        loop {
            let requested_at = Instant::now();
            match self.read_range(CONFIG_PREFIX).await {
                Ok(range)
                    if self
                        .handle
                        .apply_read(Snapshot::from_range(&range), requested_at) =>
                {
                    return;
                }
                Ok(range) => log::error!(
                    "key-value service answers with revision {}, {} is in force; kept the newer; \
                     check whether the service was restored from a copy",
                    range.revision,
                    self.handle.as_of()
                ),
                Err(error) => log::info!("configuration cannot be read: {error}; trying again"),
            }
            staleness_warning.log_if_stale(&self.handle);
            self.sleep_before_retry(rng).await;
        }
    }

    /// Watches the configuration and applies its changes until the watch ends.
    async fn watch(&self, staleness_warning: &mut StalenessWarning) -> WatchEnd {
        let start_revision = self.handle.as_of() + 1;
        let mut events = pin!(self.kv.watch(CONFIG_PREFIX, start_revision));
        let mut batch = Batch::default();
        loop {
            let event = match timeout(self.settings.check_interval, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(KvError::Compacted { .. }))) => return WatchEnd::ChangesMissed,
                Ok(Some(Err(error))) => {
                    log::debug!("watch of the configuration ended: {error}");
                    return WatchEnd::Disconnected;
                }
                Ok(None) => return WatchEnd::Disconnected,
                Err(_) => {
                    if let Some(end) = self.check_for_missed_changes().await {
                        return end;
                    }
                    staleness_warning.log_if_stale(&self.handle);
                    continue;
                }
            };
            self.process_event(&mut batch, event);
        }
    }

    /// Adds an event to the batch and applies the changes of a revision once they are complete.
    fn process_event(&self, batch: &mut Batch, event: Event) {
        let progress_revision = match event {
            Event::Progress(revision) => Some(revision),
            _ => None,
        };
        if let Some((revision, events)) = batch.push(event) {
            self.handle.apply_changes(revision, &events, Instant::now());
        }
        if let Some(revision) = progress_revision {
            self.handle.confirm_unchanged(revision, Instant::now());
        }
    }

    /// Checks whether a change was committed that the watch did not deliver. Returns how to go on
    /// if so.
    async fn check_for_missed_changes(&self) -> Option<WatchEnd> {
        let requested_at = Instant::now();
        let range = match self.read_range(LAST_CHANGE_KEY).await {
            Ok(range) => range,
            Err(error) => {
                log::info!("configuration cannot be confirmed: {error}");
                return None;
            }
        };
        let last_change = range.pairs.iter().map(|pair| pair.mod_revision).max();
        let last_change = last_change.unwrap_or_default();
        let in_force = self.handle.revision();
        if last_change > in_force {
            log::warn!("watch missed revision {last_change}; reading the configuration again");
            return Some(WatchEnd::ChangesMissed);
        }
        if last_change == in_force {
            self.handle.confirm_unchanged(range.revision, requested_at);
        }
        None
    }

    /// Reads all keys with a prefix, within the call timeout.
    async fn read_range(&self, prefix: &str) -> Result<Range, KvError> {
        let call_timeout = self.settings.call_timeout;
        timeout(call_timeout, self.kv.range(prefix))
            .await
            .unwrap_or_else(|_| Err(timeout_error(call_timeout)))
    }

    /// Waits for the retry delay plus jitter.
    async fn sleep_before_retry(&self, rng: &mut StdRng) {
        let jitter = rng.random_range(0.0..1.0);
        sleep(self.settings.retry_delay.mul_f64(1.0 + jitter)).await;
    }
}

/// Collects the changes of one revision, which must be applied together.
#[derive(Debug, Default)]
struct Batch {
    revision: Revision,
    events: Vec<Event>,
}

impl Batch {
    /// Adds an event. Returns the changes of the previous revision if the event shows that it is
    /// complete: a progress event of at least that revision, or a change of another revision.
    fn push(&mut self, event: Event) -> Option<(Revision, Vec<Event>)> {
        let revision = match &event {
            Event::Progress(revision) => {
                return (*revision >= self.revision).then(|| self.take()).flatten();
            }
            Event::Put(pair) => pair.mod_revision,
            Event::Delete(_, revision) => *revision,
        };
        let completed = (revision != self.revision).then(|| self.take()).flatten();
        self.revision = revision;
        self.events.push(event);
        completed
    }

    fn take(&mut self) -> Option<(Revision, Vec<Event>)> {
        if self.events.is_empty() {
            return None;
        }
        Some((self.revision, std::mem::take(&mut self.events)))
    }
}
