//! Passes calls to targets and their answers back, unchanged and streamed.
//!
//! [`Relay::serve`] takes one call: it finds route and account in the [`View`] in force, chooses a
//! target, sends the call there and passes the answer on. What a call says in its head is read and
//! written by a [`Wire`], so that the relay knows no header by name.
//!
//! What a refusal promises is kept by construction: an attempt ends as [`Tried::NotRun`] only if no
//! byte of the call was written or the target itself said that it did not run it. Everything else
//! that is no answer is [`Tried::Unknown`], and a call that may not be repeated is then given up.
//!
//! ```
//! use relay::{Refusal, Reason};
//! use std::time::Duration;
//!
//! let refusal = Refusal::new(Reason::NoTarget).retry_after(Duration::from_millis(300));
//! assert!(refusal.reason.promises_not_run());
//! ```

mod admit;
mod answer;
mod answer_times;
mod attempt;
mod boot_clock;
mod call;
mod leaving;
mod lessons;
mod passing;
mod pick;
mod refusal;
mod relay;
mod retries;
mod run;
mod salt;
mod sending_plan;
mod stream;
mod trail;
mod view;
mod wire;

pub use {
    answer::{Answer, TornAnswer},
    attempt::Tried,
    boot_clock::boot_time,
    call::{BadCall, Call, Part, PartId, Prompt},
    leaving::{Closing, Leaving},
    refusal::{Reason, Refusal},
    relay::{Followed, Relay, RelaySettings},
    salt::salt_version,
    view::{Live, ModelState, Named, TargetState, View, Wanted},
    wire::{ReplyNotes, Sending, Wire},
};
