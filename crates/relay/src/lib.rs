//! Reverse proxy: forwards calls to targets and streams their answers back unchanged.
//!
//! [`Relay::serve`] handles one call: it looks up the route and the client account in the current
//! [`View`], chooses a target, forwards the call and returns the answer. A [`HeaderFormat`] parses
//! and writes the headers, so the relay depends on no header names.
//!
//! A refusal that promises that the call has not run is always true, since it is made from evidence:
//! a [`NotRun`]. An attempt gives one only if no byte of the call was written
//! ([`AttemptOutcome::NotSent`]) or if the target said so ([`AttemptOutcome::NotRun`]). Any other
//! attempt without a usable answer is [`AttemptOutcome::Unknown`], after which a call that may run at
//! most once is not retried.
//!
//! ```
//! use relay::{Declined, NotSent, Reason, Refusal};
//! use std::time::Duration;
//!
//! fn refuse_early(not_sent: NotSent) -> Refusal {
//!     let declined = Declined::new(Reason::NoTarget).retry_after(Duration::from_millis(300));
//!     Refusal::not_run(declined, not_sent.into())
//! }
//! ```

mod accept;
mod active_call;
mod admit;
mod answer;
mod answer_times;
mod attempt;
mod boot_clock;
mod call;
mod call_attempts;
mod call_holder;
mod call_origin;
mod call_recorder;
mod call_tokens;
mod choose_target;
mod cold_pool;
mod cold_state;
mod crash_check;
mod discard_body;
mod ending_calls;
mod event_forwarding;
mod event_hold;
mod event_stream;
mod forwarded_stream;
mod header_format;
mod held_bytes;
mod limit_observation;
mod not_run;
mod observations;
mod observed_answer;
mod outbound_metadata;
mod overload_check;
mod overload_controls;
mod pass_on;
mod peer_caller;
mod pick;
mod pick_context;
mod picked_target;
mod pool_bounds;
mod pool_probe;
mod quarantined_calls;
mod reach;
mod refusal;
mod refusal_bound;
mod registered_process;
mod relay;
mod requested_backoff;
mod resumed_streams;
mod retry_budgets;
mod route_pools;
mod salt;
mod sent_attempt;
mod shared_parts;
mod shutdown;
mod silent_target;
mod start_observation;
mod statement_log;
mod stream_forwarder;
mod stream_origins;
mod suspect_reports;
mod target_conditions;
mod target_feedback;
mod target_limit;
mod target_reachability;
mod target_statements;
mod target_stats;
mod turned_away;
mod unframed_pools;
mod unproven_body;
mod unread_answers;
mod view;
mod wait_timer;
mod wanted_versions;

use target_statements::NewStatement;

pub use {
    answer::{Answer, TruncatedAnswer},
    attempt::AttemptOutcome,
    boot_clock::boot_time,
    call::{BadCall, Call, Part, PartId, Prompt},
    cold_pool::{ColdPool, update_cold_shares},
    cold_state::RegisteredCold,
    header_format::{HeaderFormat, OutboundMetadata, ReplyMetadata},
    limit_observation::LimitObservation,
    not_run::{NotRun, NotSent},
    refusal::{Declined, LostAnswer, Reason, Refusal},
    relay::{CallSource, Relay, RelaySettings, RelayState},
    salt::salt_version,
    shutdown::{AnswerCutoff, KnownDuration, Shutdown},
    statement_log::record_report,
    stream_origins::{OriginQuestion, OriginRequests, StreamOrigins, ToldOrigin},
    suspect_reports::SuspectReports,
    target_reachability::TargetReachability,
    target_statements::{MalformedHeader, RetryAfter, Stated, TargetStatements},
    target_stats::{InFlightGuard, TargetStats},
    turned_away::TurnedAway,
    unread_answers::Eviction,
    view::{Absence, LoadedModel, Named, Peer, TargetState, View},
    wanted_versions::{WantedVersion, WantedVersions},
};
