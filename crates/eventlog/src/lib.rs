//! Structured event log: one JSON object per line, for every finished call and every change of the
//! state that the process bases its decisions on.
//!
//! [`Event`] lists every kind of line. [`EventLog::emit`] never blocks: lines go through a bounded
//! queue to a writer thread. If the queue is full, lines are dropped, counted and reported later by
//! [`Event::Dropped`]. No event contains secrets.
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
