//! Calls in flight from other instances.

use {
    catalog::InstanceId,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, time::Duration},
};

/// Calls that instances have in flight at a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Rendezvous seed of the target.
    pub target_seed: u64,
    /// Number of calls.
    pub calls_count: u32,
    /// Prompt tokens and expected output tokens of these calls.
    pub tokens_count: u64,
    /// Prompt tokens that the target has still to read for these calls.
    pub unread_tokens_count: u64,
}

/// Sum of the reported loads of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct LoadSum {
    calls: u64,
    tokens: u64,
    unread_tokens: u64,
}

/// The last report of one source.
#[derive(Clone, Debug, Default)]
struct LoadReport {
    loads: Vec<TargetLoad>,
    /// Number of instances whose loads the report adds up.
    instances_count: u32,
    /// When the loads were reported.
    at: Duration,
}

/// Calls in flight from the other instances to each target, as they last reported.
///
/// An instance's own calls say little about the load of a target when thirty other instances send
/// calls there too. Targets are identified by their rendezvous seeds. A source is another instance
/// that reports its own loads, or an aggregator that reports those of many instances. Times are by one
/// clock.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    report_by_source: HashMap<InstanceId, LoadReport>,
    sums: HashMap<u64, LoadSum>,
    covered_count: u32,
}

impl PeerLoads {
    /// Replaces the loads reported by `source` at `now`, which are those of `instances_count`
    /// instances together.
    pub fn set(
        &mut self,
        source: &str,
        loads: Vec<TargetLoad>,
        instances_count: u32,
        now: Duration,
    ) {
        self.remove(source);
        for load in &loads {
            let sum = self.sums.entry(load.target_seed).or_default();
            sum.calls += u64::from(load.calls_count);
            sum.tokens = sum.tokens.saturating_add(load.tokens_count);
            let unread_count = load.unread_tokens_count;
            sum.unread_tokens = sum.unread_tokens.saturating_add(unread_count);
        }
        self.covered_count = self.covered_count.saturating_add(instances_count);
        let report = LoadReport {
            loads,
            instances_count,
            at: now,
        };
        self.report_by_source.insert(source.to_owned(), report);
    }

    /// Removes the loads of a source that has gone or stopped reporting.
    pub fn remove(&mut self, source: &str) {
        let report = self.report_by_source.remove(source).unwrap_or_default();
        self.covered_count = self.covered_count.saturating_sub(report.instances_count);
        for load in report.loads {
            let Some(sum) = self.sums.get_mut(&load.target_seed) else {
                continue;
            };
            sum.calls = sum.calls.saturating_sub(u64::from(load.calls_count));
            sum.tokens = sum.tokens.saturating_sub(load.tokens_count);
            let unread_count = load.unread_tokens_count;
            sum.unread_tokens = sum.unread_tokens.saturating_sub(unread_count);
            if *sum == LoadSum::default() {
                self.sums.remove(&load.target_seed);
            }
        }
    }

    /// Number of other instances whose loads were reported within `max_age` before `now`.
    #[must_use]
    pub fn covered_count(&self, max_age: Duration, now: Duration) -> u32 {
        let reports = self.report_by_source.values();
        let recent = reports.filter(|report| now.saturating_sub(report.at) <= max_age);
        recent.map(|report| report.instances_count).sum()
    }

    /// Estimates the number of calls in flight to a target from all `instances_count` instances.
    ///
    /// `own_count` is this instance's own share. Instances without a report are assumed to have the
    /// mean of the others.
    #[must_use]
    pub fn estimate_in_flight(&self, target: u64, own_count: u32, instances_count: u32) -> f64 {
        let reported = self.sum(target).calls + u64::from(own_count);
        self.extrapolate(reported, instances_count)
    }

    /// Estimates the prompt tokens and expected output tokens of these calls, of which `own_count` are
    /// this instance's. Instances of builds that do not report tokens count as having none.
    #[must_use]
    pub fn estimate_tokens(&self, target: u64, own_count: u64, instances_count: u32) -> f64 {
        let reported = self.sum(target).tokens.saturating_add(own_count);
        self.extrapolate(reported, instances_count)
    }

    /// Estimates the prompt tokens that the target has still to read for these calls, of which
    /// `own_count` are this instance's.
    #[must_use]
    pub fn estimate_unread_tokens(&self, target: u64, own_count: u64, instances_count: u32) -> f64 {
        let reported = self.sum(target).unread_tokens;
        self.extrapolate(reported.saturating_add(own_count), instances_count)
    }

    fn sum(&self, target: u64) -> LoadSum {
        self.sums.get(&target).copied().unwrap_or_default()
    }

    /// Scales what this instance and those with a report have up to all `instances_count` instances.
    fn extrapolate(&self, reported: u64, instances_count: u32) -> f64 {
        let reporting_count = f64::from(self.covered_count) + 1.0;
        let extrapolation_factor = f64::from(instances_count) / reporting_count;
        #[allow(clippy::cast_precision_loss)]
        let reported = reported as f64;
        reported * extrapolation_factor.max(1.0)
    }
}
