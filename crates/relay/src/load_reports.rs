//! How recently other instances have reported their calls in flight.

use {
    catalog::InstanceId,
    std::{
        collections::HashMap,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// A report of loads.
#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Number of instances whose calls it covers.
    instances_count: u32,
    /// When it was current, by [`crate::boot_time`].
    at: Duration,
}

/// Times of the latest reports of loads, by the instance that sent them.
#[derive(Debug, Default)]
pub struct LoadReports {
    reports: Mutex<HashMap<InstanceId, LoadReport>>,
}

impl LoadReports {
    /// Records that `reporter` has reported the loads of `instances_count` instances, as they were at
    /// `at` by [`crate::boot_time`].
    pub fn record(&self, reporter: &str, instances_count: u32, at: Duration) {
        let report = LoadReport {
            instances_count,
            at,
        };
        let mut reports = self.lock();
        if let Some(known) = reports.get_mut(reporter) {
            *known = report;
        } else {
            reports.insert(reporter.to_owned(), report);
        }
    }

    /// Removes the report of an instance that has gone or stopped reporting.
    pub fn remove(&self, reporter: &str) {
        self.lock().remove(reporter);
    }

    /// Number of other instances whose loads were reported within `max_age` before `now`.
    #[must_use]
    pub fn covered_count(&self, max_age: Duration, now: Duration) -> u32 {
        let reports = self.lock();
        let recent = reports
            .values()
            .filter(|report| now.saturating_sub(report.at) <= max_age);
        recent.map(|report| report.instances_count).sum()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<InstanceId, LoadReport>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
