//! In-memory storage of metric values.

use {
    cadence::MetricSink,
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        fmt::Write,
        io,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Upper bound of the histograms; longer durations are recorded as this value.
const MAX_DURATION_MS: u64 = 120_000;
/// Number of significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Maximum number of series. New ones beyond it are dropped, and the drops counted.
const MAX_SERIES_COUNT: usize = 200;
/// Quantiles exported for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug, Default)]
struct MetricValues {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    durations: BTreeMap<String, DurationSeries>,
    dropped_count: u64,
}

#[derive(Debug)]
struct DurationSeries {
    histogram: Histogram<u64>,
    sum_ms: u64,
}

/// Metric sink that parses the `StatsD` lines of `cadence` and stores their values. Clones share the
/// values.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    values: Arc<Mutex<MetricValues>>,
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut values = self.lock();
        if values.record(metric).is_none() {
            values.dropped_count += 1;
        }
        Ok(metric.len())
    }
}

impl Registry {
    /// Returns all values in the Prometheus text format.
    #[must_use]
    pub fn prometheus_text(&self) -> String {
        let values = self.lock();
        let mut text = String::new();
        for (name, value) in &values.counters {
            write_line(&mut text, name, *value);
        }
        for (name, value) in &values.gauges {
            write_line(&mut text, name, *value);
        }
        for (name, series) in &values.durations {
            for quantile in QUANTILES {
                let value = series.histogram.value_at_quantile(quantile);
                write_line(
                    &mut text,
                    &format!("{name}_ms{{quantile=\"{quantile}\"}}"),
                    value,
                );
            }
            write_line(&mut text, &format!("{name}_ms_sum"), series.sum_ms);
            write_line(
                &mut text,
                &format!("{name}_ms_count"),
                series.histogram.len(),
            );
        }
        write_line(
            &mut text,
            "rattan_meters_dropped_total",
            values.dropped_count,
        );
        text
    }

    fn lock(&self) -> MutexGuard<'_, MetricValues> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MetricValues {
    /// Records one `StatsD` line, `name:value|type|#kind:tag`. Returns `None` if the line can't be
    /// parsed or the limit on series is reached.
    fn record(&mut self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut fields = rest.split('|');
        let value: u64 = fields.next()?.parse().ok()?;
        let metric_type = fields.next()?;
        let kind = fields.find_map(|field| field.strip_prefix("#kind:"));
        let name = name.replace('.', "_");
        let is_full =
            self.counters.len() + self.gauges.len() + self.durations.len() >= MAX_SERIES_COUNT;
        match metric_type {
            "c" => {
                let name = match kind {
                    Some(kind) => format!("{name}_total{{kind=\"{kind}\"}}"),
                    None => format!("{name}_total"),
                };
                if is_full && !self.counters.contains_key(&name) {
                    return None;
                }
                *self.counters.entry(name).or_default() += value;
            }
            "g" => {
                if is_full && !self.gauges.contains_key(&name) {
                    return None;
                }
                self.gauges.insert(name, value);
            }
            "ms" => {
                if !self.durations.contains_key(&name) {
                    if is_full {
                        return None;
                    }
                    let empty_histogram =
                        Histogram::new_with_max(MAX_DURATION_MS, SIGNIFICANT_DIGITS).ok()?;
                    let series = DurationSeries {
                        histogram: empty_histogram,
                        sum_ms: 0,
                    };
                    self.durations.insert(name.clone(), series);
                }
                let series = self.durations.get_mut(&name)?;
                series.histogram.saturating_record(value);
                series.sum_ms += value;
            }
            _ => return None,
        }
        Some(())
    }
}

/// Appends one sample in the Prometheus text format.
fn write_line(text: &mut String, name: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{name} {value}");
}
