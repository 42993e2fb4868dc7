//! Passes calls to targets and their answers back, unchanged and streamed.
//!
//! [`Relay::serve`] takes one call: it finds route and account in the [`View`] in force, chooses a
//! target, sends the call there and passes the answer on. What a call says in its head is read and
//! written by a [`HeaderFormat`], so that the relay knows no header by name.
//!
//! What a refusal promises is kept by construction: an attempt ends as [`AttemptOutcome::NotRun`] only if no
//! byte of the call was written or the target itself said that it did not run it. Everything else
//! that is no answer is [`AttemptOutcome::Unknown`], and a call that may not be repeated is then given up.
//!
//! ```
//! use relay::{Refusal, Reason};
//! use std::time::Duration;
//!
//! let refusal = Refusal::new(Reason::NoTarget).retry_after(Duration::from_millis(300));
//! assert!(refusal.reason.promises_not_run());
//! ```

mod active_call;
mod admit;
mod answer;
mod answer_times;
mod attempt;
mod boot_clock;
mod call;
mod call_recorder;
mod event_stream;
mod header_format;
mod outbound_metadata;
mod pick;
mod refusal;
mod relay;
mod retry_budgets;
mod salt;
mod shutdown;
mod stream_forwarder;
mod target_feedback;
mod view;

pub use {
    answer::{Answer, TruncatedAnswer},
    attempt::AttemptOutcome,
    boot_clock::boot_time,
    call::{BadCall, Call, Part, PartId, Prompt},
    header_format::{HeaderFormat, OutboundMetadata, ReplyMetadata},
    refusal::{Reason, Refusal},
    relay::{Relay, RelaySettings, RelayState},
    salt::salt_version,
    shutdown::{AnswerCutoff, Shutdown},
    view::{LoadedModel, TargetState, TargetStats, View, WantedVersion, WantedVersions},
};
