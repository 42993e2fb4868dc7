//! Crashes that wait until calls which were merely beside the one at fault have been answered.

use {
    crate::{AnsweredParts, CrashId},
    parts::PartKey,
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time for which a crash waits. Calls that were sent to another target are mostly answered by
/// then, which clears their parts.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Several crashes within this time count once for a part: targets that share a power supply or a
/// switch are lost together, whatever they run.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(200);
/// Number of waiting crashes beyond which further ones are dropped.
const MAX_PENDING_COUNT: usize = 256;
/// Number of parts whose last crash is remembered.
const MAX_COUNTED_PARTS_COUNT: usize = 1_024;

/// A part of a call that a crashed target had not begun to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportedPart {
    /// Key of the part.
    pub part: PartKey,
    /// Id of the part as the caller sent it.
    pub id: String,
}

/// A crash under one call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// When the call's connection broke, by the clock of the owner.
    pub at: Duration,
    /// Parts of the call that other calls may share.
    pub parts: Vec<ReportedPart>,
}

/// Crash reports that are not counted yet.
#[derive(Clone, Debug, Default)]
pub struct PendingCrashes {
    reports: VecDeque<CrashReport>,
    /// The last crash that was counted for each part.
    counted: HashMap<PartKey, (CrashId, Duration)>,
}

impl PendingCrashes {
    /// Adds a report; drops it if too many are waiting.
    pub fn push(&mut self, report: CrashReport) {
        if self.reports.len() < MAX_PENDING_COUNT {
            self.reports.push_back(report);
        }
    }

    /// Time until the oldest report is due; `None` if there is none.
    #[must_use]
    pub fn time_until_due(&self, now: Duration) -> Option<Duration> {
        let oldest = self.reports.front()?;
        Some((oldest.at + HOLD_TIME).saturating_sub(now))
    }

    /// Takes the reports that are due at `now`, without parts that were answered or that had
    /// another crash just before.
    pub fn take_due(&mut self, answered: &AnsweredParts, now: Duration) -> Vec<CrashReport> {
        let mut due = Vec::new();
        while self.time_until_due(now).is_some_and(|time| time.is_zero()) {
            let Some(mut report) = self.reports.pop_front() else {
                break;
            };
            report.parts.retain(|it| {
                !answered.contains(it.part) && self.counts(it.part, &report.crash, report.at)
            });
            if !report.parts.is_empty() {
                due.push(report);
            }
        }
        due
    }

    /// Whether the crash counts for the part, and remembers it if so.
    fn counts(&mut self, part: PartKey, crash: &str, at: Duration) -> bool {
        if let Some((counted, counted_at)) = self.counted.get(&part) {
            let has_common_cause = at.saturating_sub(*counted_at) < COMMON_CAUSE_TIME;
            if counted == crash || has_common_cause {
                return counted == crash;
            }
        }
        if self.counted.len() >= MAX_COUNTED_PARTS_COUNT {
            self.counted.clear();
        }
        self.counted.insert(part, (crash.to_owned(), at));
        true
    }
}
