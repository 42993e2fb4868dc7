//! A part or call that may crash targets.

use {
    crate::CallKey,
    parts::PartKey,
    std::{collections::BTreeSet, time::Duration},
};

/// Names one crash of a target: the target and its start.
pub type CrashId = String;

/// What can be at fault for a crash.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspectKey {
    /// A part of prompts, whatever else the calls contain.
    Part(PartKey),
    /// A call that comes again as it was.
    Call(CallKey),
}

/// A part or call that targets had not begun to answer when they crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Suspect {
    /// Id of the part as callers send it, or method and path of the call; possibly shortened.
    pub label: String,
    /// Crashes of targets that had calls with the part, or the call.
    pub crashes: BTreeSet<CrashId>,
    /// Whether a target began an answer on the part or to the call, so that it is not at fault.
    pub is_answered: bool,
    /// When the newest of its records was written, by the clock of the owner.
    pub written_at: Duration,
}
