//! Which prompt parts crash targets, as far as crashes and answers tell.
//!
//! A part of a prompt can crash every target that begins to answer it. A crash alone does not tell
//! which part did it: the target had several calls, and these share parts with sound ones. Two
//! facts narrow it down: a part on which any target began an answer is not at fault, and the part
//! at fault is there at every crash. [`AnsweredParts`] remembers the former, [`PendingCrashes`]
//! waits until calls that were merely beside it have been answered elsewhere, and [`Quarantine`]
//! counts the crashes of the parts that remain and says which calls to refuse.
//!
//! ```
//! use quarantine::Quarantine;
//!
//! let (template, deadly) = (1, 2);
//! let mut quarantine = Quarantine::default();
//! for crash in ["engine-1@10", "engine-2@10", "engine-3@20"] {
//!     quarantine.add_crash(deadly, "id", crash);
//! }
//! assert_eq!(quarantine.blocking_part(&[template, deadly]), Some(deadly));
//! assert_eq!(quarantine.blocking_part(&[template]), None);
//! ```

mod answered_parts;
mod call_identity;
mod pending_crashes;
mod quarantine;
mod suspect;

pub use {
    answered_parts::AnsweredParts,
    call_identity::{CallIdentity, CallKey},
    pending_crashes::{CrashReport, PendingCrashes, ReportedPart},
    quarantine::{QUARANTINE_CRASHES_COUNT, Quarantine},
    suspect::{CrashId, Suspect},
};
