//! Counts the calls to the key-value service by purpose.

use {
    catalog::Revision,
    futures::{Stream, StreamExt},
    keyvalue::{Event, Incarnation, KeyValue, KvError, Lease, LeaseId, Range, Txn, TxnOutcome},
    meters::Meters,
    std::{future::Future, time::Duration},
    tokio::sync::watch,
};

/// Metric that counts the calls by purpose.
const CALLS: &str = "service_calls";

/// A client of the key-value service that counts its calls.
#[derive(Clone, Debug)]
pub(crate) struct CountedKeyValue<Kv> {
    kv: Kv,
    meters: Meters,
}

impl<Kv> CountedKeyValue<Kv> {
    pub(crate) fn new(kv: Kv, meters: Meters) -> Self {
        Self { kv, meters }
    }
}

impl<Kv> KeyValue for CountedKeyValue<Kv>
where
    Kv: KeyValue,
{
    fn incarnation(&self) -> watch::Receiver<Incarnation> {
        self.kv.incarnation()
    }

    fn note_revision(&self, revision: Revision, incarnation: Incarnation) {
        self.kv.note_revision(revision, incarnation);
    }

    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, KvError>> + Send {
        self.meters.count(CALLS, "list");
        self.kv.range(prefix)
    }

    fn txn(&self, txn: Txn) -> impl Future<Output = Result<TxnOutcome, KvError>> + Send {
        self.meters.count(CALLS, "write");
        self.kv.txn(txn)
    }

    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>> + Send {
        self.meters.count(CALLS, "lease");
        self.kv.grant(ttl)
    }

    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<Lease, KvError>> + Send {
        self.meters.count(CALLS, "lease");
        self.kv.keep_alive(lease)
    }

    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), KvError>> + Send {
        self.meters.count(CALLS, "lease");
        self.kv.revoke(lease)
    }

    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Kv> {
        counted_watch(self.kv.watch(prefix, from), self.meters.clone())
    }

    fn watch_within(
        &self,
        prefix: &str,
        from: Revision,
        wait: Duration,
    ) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Kv> {
        let events = self.kv.watch_within(prefix, from, wait);
        counted_watch(events, self.meters.clone())
    }
}

/// Counts the answers of a watch. Each ends with progress or is an error.
fn counted_watch<Events>(
    events: Events,
    meters: Meters,
) -> impl Stream<Item = Result<Event, KvError>> + Send
where
    Events: Stream<Item = Result<Event, KvError>> + Send,
{
    events.inspect(move |event| {
        if matches!(event, Ok(Event::Progress(_)) | Err(_)) {
            meters.count(CALLS, "watch");
        }
    })
}
