//! The log of cache events; a fault switch delays or drops them.

use {
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Number of events kept; the oldest are dropped first.
const MAX_EVENTS_COUNT: usize = 100_000;

/// What happened to a block.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// It was added to the prefix cache.
    Stored,
    /// It was evicted from the prefix cache.
    Removed,
}

/// One cache event.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number, from 1.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// Block key in hex.
    pub key: String,
    /// Digest of the version that the engine reported.
    pub version: String,
}

/// The newest cache events, up to a fixed number.
#[derive(Clone, Debug, Default)]
pub struct EventLog {
    last_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Sequence number of the newest event, whether or not it is visible yet.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Records an event. A dropped event uses up a sequence number but is never visible.
    pub fn record(&mut self, kind: EventKind, key: String, version: String, dropped: bool) {
        self.last_seq += 1;
        if dropped {
            return;
        }
        let event = CacheEvent {
            seq: self.last_seq,
            kind,
            key,
            version,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS_COUNT {
            self.events.pop_front();
        }
    }

    /// Sequence number of the oldest event kept.
    #[must_use]
    pub fn oldest_seq(&self) -> u64 {
        self.events
            .front()
            .map_or(self.last_seq + 1, |(_, event)| event.seq)
    }

    /// Events after `seq` that are at least `delay` old.
    #[must_use]
    pub fn visible_after(&self, seq: u64, delay: Duration) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|(at, event)| event.seq > seq && *at + delay <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Time until the first event after `seq` is `delay` old; `None` if there is no such event.
    #[must_use]
    pub fn wait_for_next(&self, seq: u64, delay: Duration) -> Option<Duration> {
        let (at, _) = self.events.iter().find(|(_, event)| event.seq > seq)?;
        Some((*at + delay).saturating_duration_since(Instant::now()))
    }
}
