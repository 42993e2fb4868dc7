//! Decision records, their log line, their retention and look-up.

mod record;

pub use record::{Outcome, Record, Step};
