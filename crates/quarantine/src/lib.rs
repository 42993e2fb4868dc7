//! Which prompt parts and calls crash targets, as far as crashes and answers tell.
//!
//! A part of a prompt can crash every target that begins to answer it, and so can a call as a whole,
//! which then comes again as it was. A crash alone does not tell which one did it: the target had
//! several calls, and these share parts with sound ones. Two facts narrow it down: a part or call
//! on which any target began an answer is not at fault, and the one at fault is there at every
//! crash. [`AnsweredKeys`] remembers the former, [`PendingCrashes`] waits until calls that were
//! merely beside it have been answered elsewhere, and [`Quarantine`] counts the crashes of those that
//! remain and says which calls to refuse. [`CallIdentity`] derives the key of a call.
//!
//! ```
//! use quarantine::{CallIdentity, Quarantine, SuspectKey};
//!
//! let identity = CallIdentity {
//!     method: "GET",
//!     path: "/history/7",
//!     ..CallIdentity::default()
//! };
//! let call = SuspectKey::Call(identity.key());
//! let (template, deadly) = (SuspectKey::Part(1), SuspectKey::Part(2));
//! let mut quarantine = Quarantine::default();
//! for crash in ["engine-1@10", "engine-2@10", "engine-3@20"] {
//!     quarantine.add_crash(deadly, "id", crash);
//! }
//! assert_eq!(quarantine.blocking_suspect(&[template, deadly, call]), Some(deadly));
//! assert_eq!(quarantine.blocking_suspect(&[template, call]), None);
//! ```

mod answered_keys;
mod call_identity;
mod pending_crashes;
mod quarantine;
mod suspect;

pub use {
    answered_keys::AnsweredKeys,
    call_identity::{CallIdentity, CallKey},
    pending_crashes::{CrashReport, PendingCrashes, ReportedSuspect},
    quarantine::{QUARANTINE_CRASHES_COUNT, Quarantine},
    suspect::{CrashId, Suspect, SuspectKey},
};
