//! Keys with their revisions, and the history of changes.

use {
    super::{
        KvStats,
        lease::Leases,
        wire::{ByteString, DecimalU64, Header, KeyRange, KeyValue, Put, RpcError, decode},
    },
    serde::Serialize,
    serde_json::{Value, json},
    std::collections::{BTreeMap, VecDeque},
    tokio::sync::watch,
};

/// One change, as sent to watches.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    /// `DELETE`; absent for a put, because etcd omits the first value of an enumeration.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub(super) kind: Option<&'static str>,
    pub(super) kv: KeyValue,
}

/// All mutable state of the key-value service.
#[derive(Debug)]
pub(super) struct State {
    pub(super) revision: u64,
    /// Oldest revision that a watch may start from.
    pub(super) oldest_revision: u64,
    pub(super) leases: Leases,
    pub(super) stats: KvStats,
    /// Number of times that all open watches were cut.
    pub(super) watch_epoch: u64,
    /// Wakes watches; carries the current revision and watch epoch.
    pub(super) changed: watch::Sender<(u64, u64)>,
    keys: BTreeMap<ByteString, KeyValue>,
    history: VecDeque<(u64, Event)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            revision: 1,
            oldest_revision: 1,
            leases: Leases::default(),
            stats: KvStats::default(),
            watch_epoch: 0,
            changed: watch::Sender::new((1, 0)),
            keys: BTreeMap::new(),
            history: VecDeque::new(),
        }
    }
}

impl State {
    pub(super) fn header(&self) -> Header {
        Header {
            revision: DecimalU64(self.revision),
        }
    }

    pub(super) fn get(&self, key: &ByteString) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// Keys in `range`, in ascending order.
    pub(super) fn select(&self, range: &KeyRange) -> Vec<KeyValue> {
        self.keys
            .range(range.key.clone()..)
            .take_while(|(key, _)| range.covers(key))
            .map(|(_, pair)| pair.clone())
            .collect()
    }

    /// Writes a key at `revision`. The caller must [`publish`](Self::publish) the revision after
    /// all its changes.
    pub(super) fn put_at(&mut self, revision: u64, put: Put) {
        let before = self.keys.get(&put.key);
        let old_lease = before.map_or(0, |pair| pair.lease.0);
        let pair = KeyValue {
            create_revision: before.map_or(DecimalU64(revision), |pair| pair.create_revision),
            mod_revision: DecimalU64(revision),
            version: DecimalU64(before.map_or(1, |pair| pair.version.0 + 1)),
            key: put.key.clone(),
            value: put.value,
            lease: put.lease,
        };
        self.leases.detach(old_lease, &put.key);
        self.leases.attach(put.lease.0, put.key.clone());
        self.keys.insert(put.key, pair.clone());
        self.history.push_back((
            revision,
            Event {
                kind: None,
                kv: pair,
            },
        ));
    }

    /// Deletes a key at `revision` and returns whether it existed. The caller must
    /// [`publish`](Self::publish) the revision.
    pub(super) fn delete_at(&mut self, revision: u64, key: &ByteString) -> bool {
        let Some(pair) = self.keys.remove(key) else {
            return false;
        };
        self.leases.detach(pair.lease.0, key);
        let tombstone = KeyValue {
            key: key.clone(),
            create_revision: DecimalU64(0),
            mod_revision: DecimalU64(revision),
            version: DecimalU64(0),
            value: ByteString::default(),
            lease: DecimalU64(0),
        };
        let event = Event {
            kind: Some("DELETE"),
            kv: tombstone,
        };
        self.history.push_back((revision, event));
        true
    }

    /// Makes the changes at `revision` visible to watches.
    pub(super) fn publish(&mut self, revision: u64) {
        self.revision = revision;
        self.changed.send_replace((revision, self.watch_epoch));
    }

    /// Changes of keys in `range` since `revision` (inclusive).
    pub(super) fn events_since(&self, revision: u64, range: &KeyRange) -> Vec<Event> {
        let start = self
            .history
            .partition_point(|(changed, _)| *changed < revision);
        self.history
            .range(start..)
            .filter(|(_, event)| range.covers(&event.kv.key))
            .map(|(_, event)| event.clone())
            .collect()
    }

    /// Drops the history before the current revision.
    pub(super) fn compact(&mut self) {
        let current = self.revision;
        self.history.retain(|(revision, _)| *revision >= current);
        self.oldest_revision = current;
    }

    /// Breaks the connection of every open watch.
    pub(super) fn cut_watches(&mut self) {
        self.watch_epoch += 1;
        self.changed.send_replace((self.revision, self.watch_epoch));
    }

    pub(super) fn answer_range(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.range_count += 1;
        let range: KeyRange = decode(body)?;
        let pairs = self.select(&range);
        Ok(json!({
            "header": self.header(),
            "count": DecimalU64(pairs.len() as u64),
            "kvs": pairs,
        }))
    }
}
