//! The origins of streams that an instance knows.

use {
    crate::{Origin, OriginKnowledge, OriginRecord, StreamKey},
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// Largest number of origins that are kept. Beyond it, those that would expire first are dropped.
pub const MAX_ORIGINS_COUNT: usize = 32_768;

/// Origins of streams, each kept until its caller cannot take the stream up any more. Times are by
/// one clock of the caller's choice.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// The keys of `entries` in the order in which they expire.
    expiries: BTreeSet<(Duration, StreamKey)>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// `None` if streams with this key began at different origins.
    origin: Option<Origin>,
    expires_at: Duration,
    /// Whether this instance passed on the stream's first event.
    is_own: bool,
}

impl OriginTable {
    /// Keeps a record. `is_own` tells whether this instance passed on the stream's first event.
    pub fn record(&mut self, record: &OriginRecord, is_own: bool, now: Duration) {
        self.expire(now);
        let expires_at = now + record.lifetime;
        let entry = self.entries.entry(record.key).or_insert_with(|| Entry {
            origin: Some(record.origin.clone()),
            expires_at,
            is_own,
        });
        if entry.origin.as_ref() != Some(&record.origin) {
            entry.origin = None;
        }
        self.expiries.remove(&(entry.expires_at, record.key));
        entry.expires_at = entry.expires_at.max(expires_at);
        entry.is_own |= is_own;
        self.expiries.insert((entry.expires_at, record.key));
        if self.entries.len() > MAX_ORIGINS_COUNT {
            self.remove_first();
        }
    }

    /// What is known of the origin of a stream.
    #[must_use]
    pub fn origin(&self, key: StreamKey, now: Duration) -> OriginKnowledge {
        let entry = self.entries.get(&key);
        match entry.filter(|entry| now < entry.expires_at) {
            None => OriginKnowledge::Unknown,
            Some(Entry {
                origin: Some(origin),
                ..
            }) => OriginKnowledge::Known(origin.clone()),
            Some(_) => OriginKnowledge::Conflicting,
        }
    }

    /// Records of the streams that this instance began in `pool`.
    #[must_use]
    pub fn own_records(&self, pool: &str, now: Duration) -> Vec<OriginRecord> {
        let own = self.entries.iter().filter(|(_, entry)| entry.is_own);
        let records = own.filter_map(|(key, entry)| {
            let origin = entry.origin.as_ref()?;
            let lifetime = entry.expires_at.saturating_sub(now);
            let is_needed = origin.pool == pool && !lifetime.is_zero();
            is_needed.then(|| OriginRecord {
                key: *key,
                origin: origin.clone(),
                lifetime,
            })
        });
        records.collect()
    }

    /// Number of origins that are kept, including those that have expired since the last record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no origin is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        let has_expired = |(expires_at, _): &(Duration, StreamKey)| *expires_at <= now;
        while self.expiries.first().is_some_and(has_expired) {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.expiries.pop_first() {
            self.entries.remove(&key);
        }
    }
}
