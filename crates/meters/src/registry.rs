//! Where the values are.

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

/// Longest time that a histogram tells apart, in milliseconds.
const MAX_TIME_MS: u64 = 120_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 2;
/// Most series; further ones are dropped and counted.
const MAX_SERIES_COUNT: usize = 200;
/// Quantiles that are told.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

#[derive(Debug, Default)]
struct Series {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    times: BTreeMap<String, Times>,
    dropped_count: u64,
}

#[derive(Debug)]
struct Times {
    histogram: Histogram<u64>,
    sum_ms: u64,
}

/// Takes the lines of `cadence` and keeps their values. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    series: Arc<Mutex<Series>>,
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut series = self.lock();
        if series.take(metric).is_none() {
            series.dropped_count += 1;
        }
        Ok(metric.len())
    }
}

impl Registry {
    /// All values, in the usual text form.
    #[must_use]
    pub fn text(&self) -> String {
        let series = self.lock();
        let mut text = String::new();
        for (name, value) in &series.counters {
            line(&mut text, name, *value);
        }
        for (name, value) in &series.gauges {
            line(&mut text, name, *value);
        }
        for (name, times) in &series.times {
            for quantile in QUANTILES {
                let value = times.histogram.value_at_quantile(quantile);
                line(
                    &mut text,
                    &format!("{name}_ms{{quantile=\"{quantile}\"}}"),
                    value,
                );
            }
            line(&mut text, &format!("{name}_ms_sum"), times.sum_ms);
            line(
                &mut text,
                &format!("{name}_ms_count"),
                times.histogram.len(),
            );
        }
        line(
            &mut text,
            "rattan_meters_dropped_total",
            series.dropped_count,
        );
        text
    }

    fn lock(&self) -> MutexGuard<'_, Series> {
        self.series.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Series {
    /// Takes `name:value|type|#kind:tag`; none if it can't be kept.
    fn take(&mut self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut fields = rest.split('|');
        let value: u64 = fields.next()?.parse().ok()?;
        let form = fields.next()?;
        let kind = fields.find_map(|field| field.strip_prefix("#kind:"));
        let name = name.replace('.', "_");
        let is_full =
            self.counters.len() + self.gauges.len() + self.times.len() >= MAX_SERIES_COUNT;
        match form {
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
                if !self.times.contains_key(&name) {
                    let bounds = Histogram::new_with_max(MAX_TIME_MS, DIGITS).ok()?;
                    let times = Times {
                        histogram: bounds,
                        sum_ms: 0,
                    };
                    self.times.insert(name.clone(), times);
                }
                let times = self.times.get_mut(&name)?;
                times.histogram.saturating_record(value);
                times.sum_ms += value;
            }
            _ => return None,
        }
        Some(())
    }
}

fn line(text: &mut String, name: &str, value: u64) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{name} {value}");
}
