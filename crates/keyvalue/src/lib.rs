//! Access to the platform's key-value service and instance list: traits, HTTP clients and
//! in-memory fakes.
//!
//! Code that needs the platform is generic over [`KeyValue`] or [`InstanceList`]. The daemon passes
//! [`EtcdKv`] and [`HttpInstanceList`], tests pass [`MemoryKv`] and [`MemoryInstances`].
//!
//! ```
//! use keyvalue::{Compare, KeyValue, MemoryKv, Op, Txn};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> Result<(), keyvalue::KvError> {
//! let kv = MemoryKv::new();
//! let create = Txn {
//!     compares: vec![Compare::Absent("/greeting".to_owned())],
//!     success: vec![Op::Put("/greeting".to_owned(), "hello".into(), None)],
//!     failure: vec![Op::Get("/greeting".to_owned())],
//! };
//! assert!(kv.txn(create.clone()).await?.succeeded);
//! let second = kv.txn(create).await?;
//! assert_eq!(second.pairs[0].value, "hello");
//! # Ok(())
//! # }
//! ```

mod etcd_kv;
mod etcd_requests;
mod etcd_responses;
mod etcd_watch;
mod http_instance_list;
mod http_pool;
mod incarnation;
mod instance;
mod kv;
mod kv_faults;
mod memory_copy;
mod memory_instances;
mod memory_kv;
mod memory_state;
mod memory_watch;

pub use {
    etcd_kv::{EtcdKv, EtcdSettings},
    http_instance_list::HttpInstanceList,
    http_pool::{CallError, Connection, HttpPool, HttpResponse},
    incarnation::{Incarnation, IncarnationTracker, NamedIncarnation, RevisionFall},
    instance::{Instance, InstanceList, InstanceListError, InstanceState},
    kv::{Compare, Event, KeyValue, KvError, KvPair, Lease, LeaseId, Op, Range, Txn, TxnOutcome},
    kv_faults::KvFaults,
    memory_copy::KvCopy,
    memory_instances::MemoryInstances,
    memory_kv::{KvCalls, MemoryKv},
};
