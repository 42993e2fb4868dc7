//! Every kind of event in the log.

use serde::Serialize;

/// One attempt to run a call at a target.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AttemptLine {
    /// Chosen target.
    pub target: String,
    /// Time from the arrival of the call to the choice of the target, in milliseconds.
    pub at_ms: u64,
    /// Calls in flight at the target, as assumed when it was chosen.
    pub in_flight_count: f64,
    /// Calls that this instance had in flight there itself.
    pub own_in_flight_count: u32,
    /// Refusals per second that the target was taken to bear when it was chosen; `None` if no bound
    /// was known.
    pub max_refusals_per_s: Option<f64>,
    /// Number of calls that this instance might have in flight there for that reason; `None` if no
    /// bound was known.
    pub places_count: Option<u32>,
    /// Whether the target was or might be cold, so that its calls were bounded.
    pub is_cold: bool,
    /// Number of targets that could have been chosen.
    pub candidates_count: usize,
    /// Version of the target's software, as registered when it was chosen.
    pub software_version: String,
    /// Start of the target's process, as registered when it was chosen, in milliseconds since the Unix epoch by its
    /// own clock; 0 if it is not known.
    pub started_unix_ms: u64,
    /// Version of the model weights that the target was assumed to have; 0 if the call needs none
    /// or none was named.
    pub version: u64,
    /// Newest wanted version of the weights; 0 if none was named.
    pub wanted_version: u64,
    /// Upper bound on how long that version has been wanted, in milliseconds; `None` if it was
    /// wanted before this process started.
    pub wanted_age_ms: Option<u64>,
    /// Time within which the call had to start at the target, in milliseconds.
    pub start_delay_ms: u64,
    /// Tokens of shared prompt parts that the engine may fetch from stores.
    pub fetch_tokens: u64,
    /// Tokens of shared prompt parts that the engine saves to stores.
    pub save_tokens: u64,
    /// Tokens of shared prompt parts that are neither fetched nor saved.
    pub read_tokens: u64,
    /// Calls per second that the target's answer allows from all instances together; `None` if it
    /// states no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the target's answer states that it is about to exit.
    pub is_leaving: bool,
    /// Time for which the target's answer asks for no calls, in milliseconds; `None` if it asks for
    /// none.
    pub retry_after_ms: Option<u64>,
    /// Request id that the answer names; empty without one, or without an answer.
    pub answer_id: String,
    /// Target that the answer names; empty without one, or without an answer.
    pub answered_by: String,
    /// Age of the connection when the answer began, in milliseconds; `None` without an answer.
    pub connection_age_ms: Option<u64>,
    /// Calls that the connection carried before this one; `None` without an answer.
    pub earlier_calls_count: Option<u32>,
    /// Whether the answer has neither a length nor chunks, so that only the end of its connection ends
    /// it.
    pub is_unframed: bool,
    /// Result of the attempt.
    pub outcome: String,
}

/// A call: its answer, its timing and its attempts.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallLine {
    /// Id that the caller assigned to the call.
    pub request_id: String,
    /// Id of the caller's attempt whose stream the call resumes; empty if it resumes none.
    pub resumes: String,
    /// Software version at which that stream began; empty if it is not known or needs not be.
    pub origin_version: String,
    /// How that is known: `kept` (by this instance), `told` (by another one) or `only_version` (nobody knows the stream,
    /// and this instance knows no other version); empty if it is not known or needs not be.
    pub origin_source: &'static str,
    /// Whether another instance passed the call on.
    pub is_forwarded: bool,
    /// Instance to which the call was passed on last; empty if to none.
    pub forwarded_to: String,
    /// Why it was passed on: `no_target_reached`, or `no_place` if targets bear few refusals and this
    /// instance may use no free place there, or only cold targets are left of which other instances use
    /// all that they bear; empty if it was not.
    pub forward_reason: &'static str,
    /// Route; empty if none matched.
    pub route: String,
    /// Client account; empty if none was identified.
    pub account: String,
    /// HTTP status of the answer; 0 if the caller disconnected before it.
    pub status: u16,
    /// `answered`, `refused`, `failed`, `torn`, `cut` or `caller_left`.
    pub outcome: &'static str,
    /// Why the call was not answered.
    pub reason: String,
    /// What shows that the answer is complete: `framing`, or if it ended with its connection `answered before` or
    /// `answered beside`, which prove it, `opened before`, `opened beside` or `opened after`; empty if it is not
    /// complete.
    pub end_evidence: &'static str,
    /// Time from the arrival of the request head to the end of the answer, in milliseconds.
    pub took_ms: u64,
    /// Time from the arrival of the request head to the first byte of the answer, in milliseconds.
    pub first_byte_ms: u64,
    /// Number of stream events that were passed on to the caller.
    pub events_count: u64,
    /// Time from the arrival of the request head until the last of them was passed on, in
    /// milliseconds.
    pub last_event_ms: u64,
    /// Time limit that the caller and the route set for the call, in milliseconds.
    pub time_limit_ms: u64,
    /// Expected duration of the call if its instance was shutting down, in milliseconds; otherwise
    /// 0.
    pub expected_ms: u64,
    /// Version of the configuration that was in force for the call.
    pub configuration: u64,
    /// Time since the key-value service last confirmed the state of the instance, in milliseconds.
    pub view_age_ms: u64,
    /// Number of instances known to share the retry budget.
    pub instances_count: u32,
    /// Number of targets that were passed over since they were or might be cold and this instance might
    /// send them no call, in the choice that found no target; otherwise 0.
    pub cold_targets_count: u32,
    /// Predicted start delay of a call at the mean target of the pool, relative to the latency
    /// objective, averaged over the priorities; `None` if it was not predicted.
    pub pressure: Option<f64>,
    /// Predicted start delay of the call at the target with the least work in flight, in milliseconds;
    /// `None` if it was not predicted.
    pub predicted_start_ms: Option<u64>,
    /// Id of the part because of which the call was refused, since it crashed targets; otherwise
    /// empty.
    pub quarantined_part: String,
    /// Ids of the prompt's parts, in order; empty unless an attempt ended without a complete answer
    /// or the call was refused because of a part.
    pub prompt_parts: Vec<String>,
    /// Key of the call, in hexadecimal; the same for a call that comes again, at any instance. Empty
    /// unless an attempt ended without a complete answer or the call was refused because of it.
    pub call_key: String,
    /// Attempts, in order.
    pub attempts: Vec<AttemptLine>,
}

/// One event, written as one line of the log.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process has started.
    Started {
        /// Name of the instance.
        instance: String,
        /// Its failure domain.
        failure_domain: String,
        /// Version of the program.
        version: &'static str,
    },
    /// The process was asked to stop and directs callers to other instances.
    Draining {
        /// Time in which the process may finish its calls, in milliseconds.
        grace_ms: u64,
    },
    /// The process is about to exit.
    Stopped {
        /// Why.
        reason: String,
        /// Time since the request to stop, in milliseconds.
        took_ms: u64,
        /// Number of calls whose answers were cut off because they did not end in time. Each has
        /// its own [`Event::Call`].
        cut_count: u64,
    },
    /// The settings were reloaded.
    Reloaded,
    /// A stream has been in progress for a while. Logged before the call ends, so that the call can
    /// be found in the log even if the process crashes.
    UnderWay(CallLine),
    /// A call has ended.
    Call(CallLine),
    /// A new configuration took effect.
    Configuration {
        /// Its version.
        version: u64,
        /// Revision of the key-value service at which it was written.
        revision: u64,
        /// Number of routes.
        routes_count: usize,
        /// Number of client accounts.
        accounts_count: usize,
        /// Number of their keys; `None` if calls need no key.
        keys_count: Option<usize>,
        /// What operators should look at; empty if nothing.
        warning: &'static str,
    },
    /// The known state of a target changed.
    Target {
        /// Target.
        target: String,
        /// `ready`, `leaving`, `gone`, `lapsed` or `unreadable`.
        state: &'static str,
        /// Pool.
        pool: String,
        /// Address.
        address: String,
        /// Version of its software; empty if it is gone.
        software_version: String,
        /// Start of its process, in milliseconds since the Unix epoch by its own clock; 0 if it is gone, or the start is
        /// not known.
        started_unix_ms: u64,
        /// Revision of the key-value service at which this was read.
        revision: u64,
    },
    /// A target stated something of itself in an answer that it had not stated before.
    TargetStatement {
        /// Target.
        target: String,
        /// `leaving` (it is about to exit), `backoff` (it wants no calls for a while), `limit` (calls
        /// per second that it takes from all instances), `max_refusals` (refusals per second that
        /// it bears) or `malformed` (a header cannot be read or is sent more than once).
        statement: &'static str,
        /// The rate, or the malformed header; empty otherwise, and if the rate is not stated any more.
        value: String,
        /// Length of the backoff in milliseconds.
        for_ms: Option<u64>,
    },
    /// This instance excludes a target from new calls for a while, because earlier calls failed
    /// there.
    LeftOut {
        /// Target.
        target: String,
        /// The outcome that caused the exclusion.
        reason: String,
    },
    /// What is known of a prompt part that may crash targets changed.
    SuspectPart {
        /// Id of the part as callers send it, shortened if it is long; empty if it is not known.
        part: String,
        /// `suspected`, `quarantined`, `answered` (not at fault) or `released` (the records have
        /// expired).
        state: &'static str,
        /// Crashes of targets that had calls with the part: target and its start.
        crashes: Vec<String>,
    },
    /// What is known of a call that may crash targets whenever it comes again changed.
    SuspectCall {
        /// Method and path of the call, shortened if they are long; empty if they are not known.
        call: String,
        /// Key of the call, in hexadecimal.
        call_key: String,
        /// As for [`Event::SuspectPart`].
        state: &'static str,
        /// Crashes of targets that had the call: target and its start.
        crashes: Vec<String>,
    },
    /// The set of instances that share the work changed.
    Instances {
        /// Names of the instances that accept callers.
        ready: Vec<String>,
    },
    /// The evacuation of a failure domain has begun or ended.
    Evacuation {
        /// Failure domain whose targets get no calls while it is evacuated.
        failure_domain: String,
        /// `begun` or `ended`.
        state: &'static str,
        /// Number of registered targets there.
        targets_count: usize,
        /// Something wrong with the evacuation; empty if nothing is.
        warning: &'static str,
    },
    /// A newer version of a model's weights is wanted.
    Version {
        /// Model.
        model: String,
        /// Version that is wanted.
        version: u64,
        /// Revision of the key-value service at which this was read.
        revision: u64,
    },
    /// This instance acquired or lost the lease that permits it to send orders to targets.
    Holder {
        /// Whether this instance holds the lease.
        held: bool,
        /// Fencing token of the lease.
        fencing: u64,
        /// Why the lease was acquired or lost.
        reason: String,
    },
    /// An order was sent to a target.
    Order {
        /// Target.
        target: String,
        /// Model.
        model: String,
        /// Version that is wanted.
        version: u64,
        /// Fencing token of the lease.
        fencing: u64,
        /// Number of orders that the target had accepted before this one.
        accepted_before: u64,
        /// Response of the target.
        outcome: String,
    },
    /// The set of prompt parts that a store or an engine keeps changed.
    Parts {
        /// Store or engine that keeps the parts.
        place: String,
        /// Number of parts added.
        added_count: usize,
        /// Number of parts removed.
        removed_count: usize,
        /// Whether the whole list was read because events were missed.
        listed: bool,
    },
    /// Calls no longer fetch parts that replaced weights have computed; the store frees them later.
    PartsWithdrawn {
        /// Store that keeps the parts.
        place: String,
        /// Number of the parts.
        count: usize,
    },
    /// A service that the process depends on became unavailable or available again.
    Dependency {
        /// Name of the service.
        name: &'static str,
        /// Whether the service is available.
        available: bool,
        /// What the process observed.
        reason: String,
    },
    /// This instance reads changes in the key-value service from another source.
    ServiceSource {
        /// Instance through which it follows the service; empty if it watches the service itself.
        through: String,
        /// Whether other instances follow the service through this one.
        aggregator: bool,
        /// Why the source has changed.
        reason: String,
    },
    /// This instance follows the stores and engines of an instance that does not answer, or no longer
    /// does.
    Takeover {
        /// Instance that they are assigned to.
        instance: String,
        /// `begun` or `ended`.
        state: &'static str,
        /// Number of these stores and engines.
        places_count: usize,
    },
    /// An outage of the key-value service has ended that may have let registrations expire.
    Outage {
        /// Time for which this instance had no word from the service, in milliseconds.
        silence_ms: u64,
        /// Number of instances that were asked whether the service was there.
        asked_count: usize,
        /// Instance that had word from the service throughout, so that no registration has expired;
        /// empty if none says so.
        witness: String,
    },
    /// The key-value service came back from an older copy, and this instance has read everything again
    /// and is registered again.
    Restored {
        /// Number of the incarnation before; 0 if the service named none.
        incarnation_before: u64,
        /// Number of the present incarnation.
        incarnation: u64,
        /// Highest revision that was known before, if the service named no other incarnation; otherwise 0.
        revision_before: u64,
        /// Lower revision with which the service answered then.
        revision: u64,
        /// Whether this instance held a lease, which it dropped.
        lease_dropped: bool,
        /// Number of items that were read again.
        items_count: usize,
        /// Number of known items that the copy lacks.
        missing_count: usize,
        /// Time from the news until everything was read again, in milliseconds.
        read_ms: u64,
        /// Time from the news until this instance was registered again, in milliseconds.
        registered_ms: u64,
    },
    /// Lines were dropped because the queue of the log was full.
    Dropped {
        /// Number of dropped lines.
        count: u64,
    },
    /// A text message of the `log` crate.
    Note {
        /// `error`, `warn`, `info` or `debug`.
        level: String,
        /// Log target: the module that logged the message.
        part: String,
        /// Message text.
        message: String,
    },
}
