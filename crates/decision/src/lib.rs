//! Records why each request was routed, refused or exported as it was.
//!
//! A [`Record`] holds the [`Step`]s of one request: every decision and observation. [`log_line`]
//! formats the latest decision as one log line and [`explain`] the whole record as text. A
//! [`RecordBuffer`] keeps recent records within limits and hands out unsent steps as
//! [`RecordPart`]s for replication to another instance, so that a record survives the instance that
//! wrote it.
//!
//! ```
//! use {
//!     decision::{Record, RecordBuffer, RecordBufferLimits, Step, explain, log_line},
//!     std::time::{Duration, Instant},
//! };
//!
//! let refused = Step::Refused {
//!     reason: "account \"a\" is at its limit; come back later".to_owned(),
//!     retry_after_ms: 250,
//!     rejected: Vec::new(),
//! };
//! let record = Record {
//!     request: "r1".to_owned(),
//!     client_account: "a".to_owned(),
//!     instance: "entry-1".to_owned(),
//!     model_version: "m-1".to_owned(),
//!     revision: 7,
//!     arrived: Duration::ZERO,
//!     steps: vec![refused],
//! };
//! assert!(log_line(&record).unwrap().contains("request=r1"));
//! assert!(explain(&record).contains("come back in 250 ms"));
//!
//! let mut buffer = RecordBuffer::new(RecordBufferLimits::default());
//! buffer.insert(record, Instant::now());
//! assert!(buffer.get("r1").unwrap().visible_to("a"));
//! ```

mod explain;
mod log_line;
mod record;
mod record_buffer;
mod record_part;
mod size;

pub use {
    explain::explain,
    log_line::{log_decision, log_line},
    record::{Outcome, Record, Step},
    record_buffer::{RecordBuffer, RecordBufferLimits},
    record_part::RecordPart,
    size::size_bytes,
};
