//! Follows the load and the cache events of one engine.

use {
    directory::{ApplyOutcome, CacheEvent, CacheEventKind},
    fleet::TargetView,
    prefix::BlockKey,
    serving::SharedDirectory,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    target::{Client, EngineClient, SendError},
    tokio::time::sleep,
};

/// Delay before events are read again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Follows the load and the cache events of one engine until dropped.
#[derive(Clone)]
pub(crate) struct EngineWatch {
    pub(crate) client: Client,
    pub(crate) view: Arc<TargetView>,
    pub(crate) directory: SharedDirectory,
    pub(crate) load_interval: Duration,
}

impl EngineWatch {
    /// Reads load reports and cache events concurrently.
    pub(crate) async fn run(self) {
        tokio::join!(self.follow_load(), self.follow_events());
    }

    async fn follow_load(&self) {
        let engine = self.engine();
        loop {
            match engine.load().await {
                Ok(report) => self.view.set_report(report, Instant::now()),
                Err(error) => {
                    if matches!(error, SendError::NotSent { .. }) {
                        self.view.avoid(Instant::now());
                    }
                    log::debug!("load of {} cannot be read: {error}", self.view.name());
                }
            }
            sleep(self.load_interval).await;
        }
    }

    async fn follow_events(&self) {
        let engine = self.engine();
        let mut after = self.resync(&engine).await.unwrap_or_default();
        loop {
            match self.read_events(&engine, after).await {
                Ok(last_seq) => after = last_seq,
                Err(error) => {
                    log::debug!("events of {} cannot be read: {error}", self.view.name());
                    self.directory.lock().mark_uncertain(self.view.name());
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Applies the events after number `after`; returns the number of the last one applied.
    async fn read_events(&self, engine: &EngineClient, after: u64) -> Result<u64, SendError> {
        let events = engine.cache_events(after).await?;
        let parsed: Vec<CacheEvent> = events.events.iter().filter_map(parse_event).collect();
        let has_unreadable = events.unreadable_count > 0 || parsed.len() < events.events.len();
        let lacks_events = has_unreadable || events.oldest_seq > after + 1;
        let was_restarted = events.last_seq < after;
        if !was_restarted && self.apply(&parsed, after, lacks_events) {
            let last_event = events.events.last();
            return Ok(last_event.map_or(after, |event| event.seq.max(after)));
        }
        if has_unreadable {
            // The engine answers with the same events at once until its content includes them.
            self.directory.lock().mark_uncertain(self.view.name());
            sleep(RETRY_DELAY).await;
        }
        self.resync(engine).await
    }

    /// Applies the events; returns whether they follow `after` without a gap. Lacking events, also those that
    /// can't be read, are a gap, since each may have removed a block.
    fn apply(&self, events: &[CacheEvent], after: u64, lacks_events: bool) -> bool {
        let now = self.directory.now();
        let mut directory = self.directory.lock();
        let applied = directory.apply_events(self.view.name(), after, events, now);
        drop(directory);
        let has_gap = lacks_events || matches!(applied, ApplyOutcome::Gap { .. });
        if has_gap {
            log::info!(
                "cache events of {} have a gap after {after}; reading its whole cache again",
                self.view.name()
            );
        }
        !has_gap
    }

    /// Reads the whole cache of the engine; returns the number of the last event included.
    async fn resync(&self, engine: &EngineClient) -> Result<u64, SendError> {
        let content = engine.cache_blocks().await?;
        let keys: Vec<BlockKey> = content
            .blocks
            .iter()
            .filter_map(|block| parse_key(&block.key))
            .collect();
        let now = self.directory.now();
        let mut directory = self.directory.lock();
        directory.resync(self.view.name(), content.last_seq, &keys, now);
        Ok(content.last_seq)
    }

    fn engine(&self) -> EngineClient {
        EngineClient::new(self.client.clone(), self.view.address())
    }
}

fn parse_event(event: &target::CacheEvent) -> Option<CacheEvent> {
    Some(CacheEvent {
        seq: event.seq,
        kind: match event.kind {
            target::CacheEventKind::Stored => CacheEventKind::Stored,
            target::CacheEventKind::Removed => CacheEventKind::Removed,
        },
        key: parse_key(&event.key)?,
    })
}

fn parse_key(text: &str) -> Option<BlockKey> {
    let mut key = BlockKey::default();
    hex::decode_to_slice(text, &mut key).ok()?;
    Some(key)
}
