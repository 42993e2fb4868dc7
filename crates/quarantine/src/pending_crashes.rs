//! Crashes that wait until calls which were merely beside the one at fault have been answered.

use {
    crate::{AnsweredKeys, CrashId, SuspectKey},
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
};

/// Time for which a crash waits. Calls that were sent to another target are mostly answered by
/// then, which clears them and their parts.
const HOLD_TIME: Duration = Duration::from_millis(300);
/// Several crashes within this time count once, unless the call was sent to the later target after
/// the earlier crash: targets that share a power supply or a switch are lost together, whatever they
/// run.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(200);
/// Number of waiting crashes beyond which further ones are dropped.
const MAX_PENDING_COUNT: usize = 256;
/// Number of parts and calls whose last crash is remembered.
const MAX_COUNTED_COUNT: usize = 1_024;

/// A part or call that a crashed target had not begun to answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportedSuspect {
    /// Key of the part or call.
    pub key: SuspectKey,
    /// Id of the part as the caller sent it, or method and path of the call.
    pub label: String,
}

/// A crash under one call. Times are by the clock of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// When the call was sent to the target.
    pub sent_at: Duration,
    /// When the call's connection broke.
    pub at: Duration,
    /// The call, and its parts that other calls may share.
    pub suspects: Vec<ReportedSuspect>,
}

impl CrashReport {
    /// Whether the part or call is among the suspects.
    #[must_use]
    pub fn names(&self, key: SuspectKey) -> bool {
        self.suspects.iter().any(|suspect| suspect.key == key)
    }
}

/// Crash reports that are not counted yet.
#[derive(Clone, Debug, Default)]
pub struct PendingCrashes {
    reports: VecDeque<CrashReport>,
    /// The last crash that was counted for each part and call.
    counted: HashMap<SuspectKey, CountedCrash>,
}

/// A crash that was counted for a part or call, and the call under which it was.
#[derive(Clone, Debug)]
struct CountedCrash {
    crash: CrashId,
    sent_at: Duration,
    at: Duration,
}

impl CountedCrash {
    fn new(report: &CrashReport) -> Self {
        Self {
            crash: report.crash.clone(),
            sent_at: report.sent_at,
            at: report.at,
        }
    }

    /// Whether both crashes may have one cause other than the call. Either may be the earlier one, since the
    /// checks of targets take different times.
    fn may_have_common_cause(&self, other: &Self) -> bool {
        let (earlier, later) = if self.at <= other.at {
            (self, other)
        } else {
            (other, self)
        };
        later.sent_at < earlier.at && self.at.abs_diff(other.at) < COMMON_CAUSE_TIME
    }
}

impl PendingCrashes {
    /// Adds a report; drops it if too many are waiting.
    pub fn push(&mut self, report: CrashReport) {
        if self.reports.len() < MAX_PENDING_COUNT {
            self.reports.push_back(report);
        }
    }

    /// Whether no report is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Whether a report that names the part or call is waiting.
    #[must_use]
    pub fn contains(&self, key: SuspectKey) -> bool {
        self.reports.iter().any(|report| report.names(key))
    }

    /// Time until the oldest report is due; `None` if there is none.
    #[must_use]
    pub fn time_until_due(&self, now: Duration) -> Option<Duration> {
        let oldest = self.reports.front()?;
        Some((oldest.at + HOLD_TIME).saturating_sub(now))
    }

    /// Takes the reports that are due at `now`, without suspects that were answered or that had
    /// another crash just before.
    pub fn take_due(&mut self, answered: &AnsweredKeys, now: Duration) -> Vec<CrashReport> {
        let mut due = Vec::new();
        while self.time_until_due(now).is_some_and(|time| time.is_zero()) {
            let Some(mut report) = self.reports.pop_front() else {
                break;
            };
            let mut suspects = std::mem::take(&mut report.suspects);
            suspects.retain(|it| !answered.contains(it.key) && self.counts(it.key, &report));
            if !suspects.is_empty() {
                due.push(CrashReport { suspects, ..report });
            }
        }
        due
    }

    /// Whether the crash counts for the part or call, and remembers it if so.
    fn counts(&mut self, key: SuspectKey, report: &CrashReport) -> bool {
        let crash = CountedCrash::new(report);
        if let Some(counted) = self.counted.get(&key) {
            let is_same = counted.crash == crash.crash;
            if is_same || counted.may_have_common_cause(&crash) {
                return is_same;
            }
        }
        if self.counted.len() >= MAX_COUNTED_COUNT {
            self.counted.clear();
        }
        self.counted.insert(key, crash);
        true
    }
}
