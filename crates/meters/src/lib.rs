//! In-process counters, gauges and duration histograms, exported in the Prometheus text format.
//!
//! [`Meters`] records through a `cadence` `StatsD` client, which sends each metric to a [`Registry`] in
//! the same process instead of a server. [`Meters::prometheus_text`] renders all values. Metric names
//! and tags come from a fixed set, so the number of series is bounded.
//!
//! ```
//! use {meters::Meters, std::time::Duration};
//!
//! let meters = Meters::new();
//! meters.count("calls", "answered");
//! meters.time("first_byte", Duration::from_millis(80));
//! let text = meters.prometheus_text();
//! assert!(text.contains("rattan_calls_total{kind=\"answered\"} 1"));
//! assert!(text.contains("rattan_first_byte_ms_count 1"));
//! ```

mod meters;
mod registry;

pub use {meters::Meters, registry::Registry};
