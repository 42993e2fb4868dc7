//! Structured log lines: one JSON object a line, for each decision that touches a call or changes
//! what the process believes.
//!
//! [`Event`] lists every kind of line. [`EventLog::emit`] never blocks: lines go through a bounded
//! queue to a writer thread, and lines that find it full are counted and said later. Secrets are in
//! no event.
//!
//! ```
//! use eventlog::{Event, EventLog};
//!
//! let log = EventLog::start(Vec::new());
//! log.emit(&Event::Draining { grace_ms: 8_000 });
//! ```

mod event;
mod event_log;
mod trace;

pub use {
    event::{AttemptLine, CallLine, Event},
    event_log::{EventLog, log_dispatch},
    trace::{CallTrace, TraceReader},
};
