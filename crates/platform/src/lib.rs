//! The platform's key-value service and instance list: traits, HTTP adapters and an in-memory fake.

mod instance;
mod kv;

pub use {
    instance::{Instance, InstanceList, InstanceListError, InstanceState},
    kv::{Compare, Event, KeyValue, KvError, KvPair, Lease, LeaseId, Op, Range, Txn, TxnOutcome},
};
