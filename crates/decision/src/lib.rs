//! Decision records, their log line, their retention and look-up.
//!
//! A [`Record`] holds every [`Step`] decided or observed for one request. [`log_line`] gives the
//! log's line of its latest decision and [`explain`] the whole story in words. A [`RecordBuffer`] keeps
//! records for a while inside bounds, and hands out their unsent steps as [`RecordPart`]s for
//! another instance, so that explanations outlive the one that decided.
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
//! let mut ring = RecordBuffer::new(RecordBufferLimits::default());
//! ring.insert(record, Instant::now());
//! assert!(ring.get("r1").unwrap().visible_to("a"));
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
