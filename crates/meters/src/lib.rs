//! Counters and latency histograms of a process, kept in it and read as text.
//!
//! [`Meters`] counts through `cadence`, whose lines go to a [`Registry`] in the same process.
//! [`Registry::text`] gives all values in the usual text form. Names and tags are a fixed set, so
//! that the number of series is bounded.
//!
//! ```
//! use {meters::Meters, std::time::Duration};
//!
//! let meters = Meters::new();
//! meters.count("calls", "answered");
//! meters.time("first_byte", Duration::from_millis(80));
//! let text = meters.text();
//! assert!(text.contains("rattan_calls_total{kind=\"answered\"} 1"));
//! assert!(text.contains("rattan_first_byte_ms_count 1"));
//! ```

mod meters;
mod registry;

pub use {meters::Meters, registry::Registry};
