//! A part that may crash targets.

use std::{collections::BTreeSet, time::Duration};

/// Names one crash of a target: the target and its start.
pub type CrashId = String;

/// A part of calls that targets had not begun to answer when they crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Suspect {
    /// Id of the part as callers send it, possibly shortened.
    pub part_id: String,
    /// Crashes of targets that had calls with the part.
    pub crashes: BTreeSet<CrashId>,
    /// Whether a target began an answer on the part, so that it is not at fault.
    pub is_answered: bool,
    /// When the newest of its records was written, by the clock of the owner.
    pub written_at: Duration,
}
