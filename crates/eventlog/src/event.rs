//! Every kind of line.

use serde::Serialize;

/// One try to have a call run by a target.
#[derive(Clone, Debug, Default, Serialize)]
pub struct AttemptLine {
    /// Target that was chosen.
    pub target: String,
    /// When it was chosen, in milliseconds after the call arrived.
    pub at_ms: u64,
    /// Calls under way there that the choice reckoned with.
    pub in_flight_count: f64,
    /// Targets that could have been chosen.
    pub candidates_count: usize,
    /// Version of the weights that the target was taken to have; 0 if the call needs none or none was named.
    pub version: u64,
    /// Newest version that was wanted; 0 if none was named.
    pub wanted_version: u64,
    /// Longest time for which that one can have been wanted; none if it was there before the process.
    pub wanted_age_ms: Option<u64>,
    /// Time that the call was given to begin at the target.
    pub start_delay_ms: u64,
    /// Tokens of shared parts that the engine may fetch from stores.
    pub fetch_tokens: u64,
    /// Tokens of shared parts that the engine saves to stores.
    pub save_tokens: u64,
    /// Tokens of shared parts that are neither fetched nor saved.
    pub read_tokens: u64,
    /// What came of it.
    pub outcome: String,
}

/// A call that has ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CallLine {
    /// Id that the caller gave the call.
    pub request_id: String,
    /// Route, if one was found.
    pub route: String,
    /// Client account, if one was found.
    pub account: String,
    /// Status of the answer; 0 if the caller left before.
    pub status: u16,
    /// `answered`, `refused`, `failed`, `torn`, `cut` or `caller_left`.
    pub outcome: &'static str,
    /// Why, where it was not answered.
    pub reason: String,
    /// From the arrival of the head to the end of the answer.
    pub took_ms: u64,
    /// From the arrival of the head to the answer's first byte.
    pub first_byte_ms: u64,
    /// Events of a stream that were passed on.
    pub events_count: u64,
    /// When the last of them was passed on, in milliseconds after the head arrived.
    pub last_event_ms: u64,
    /// Time that the caller and the route left for the call.
    pub time_limit_ms: u64,
    /// How long the call was expected to last when its instance was leaving; 0 if it was not.
    pub expected_ms: u64,
    /// Version of the configuration that decided.
    pub configuration: u64,
    /// Time since the key-value service last confirmed what the instance believed.
    pub view_age_ms: u64,
    /// Instances that were known to share the retry budget.
    pub instances_count: u32,
    /// Tries, in order.
    pub attempts: Vec<AttemptLine>,
}

/// One line of the log.
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
    /// The process was asked to stop and leads callers elsewhere.
    Draining {
        /// Time that it has.
        grace_ms: u64,
    },
    /// The process ends.
    Stopped {
        /// Why.
        reason: String,
        /// From the request to stop until now.
        took_ms: u64,
        /// Calls whose answers were cut, since they did not end in time. Each has a line of its own.
        cut_count: u64,
    },
    /// The settings were read again.
    Reloaded,
    /// A stream is still being passed on after a while, so that a process that dies leaves a trace
    /// of it.
    UnderWay(CallLine),
    /// A call has ended.
    Call(CallLine),
    /// A configuration is in force from now on.
    Configuration {
        /// Its version.
        version: u64,
        /// Revision of the key-value service at which it was written.
        revision: u64,
        /// Routes in it.
        routes_count: usize,
        /// Client accounts in it.
        accounts_count: usize,
    },
    /// What is known of a target has changed.
    Target {
        /// Target.
        target: String,
        /// `ready`, `leaving`, `gone`, `lapsed` or `unreadable`.
        state: &'static str,
        /// Pool.
        pool: String,
        /// Address.
        address: String,
        /// Revision of the key-value service that said so.
        revision: u64,
    },
    /// Calls of this instance leave a target out for a while, because it failed others.
    LeftOut {
        /// Target.
        target: String,
        /// The outcome that decided.
        reason: String,
    },
    /// The instances that share the work have changed.
    Instances {
        /// Names of those that take callers.
        ready: Vec<String>,
    },
    /// Newer weights were named.
    Version {
        /// Model.
        model: String,
        /// Version that is wanted.
        version: u64,
        /// Revision of the key-value service that said so.
        revision: u64,
    },
    /// The right to give orders was taken or lost.
    Holder {
        /// Whether this instance has it.
        held: bool,
        /// Fencing number.
        fencing: u64,
        /// Why.
        reason: String,
    },
    /// An order was given.
    Order {
        /// Target.
        target: String,
        /// Model.
        model: String,
        /// Version that is wanted.
        version: u64,
        /// Fencing number.
        fencing: u64,
        /// Number of orders that the target had accepted before.
        accepted_before: u64,
        /// What the target said.
        outcome: String,
    },
    /// Parts of prompts that a store or an engine keeps have changed.
    Parts {
        /// Where they are.
        place: String,
        /// Parts added.
        added_count: usize,
        /// Parts removed.
        removed_count: usize,
        /// Whether events were missed and the whole list was read.
        listed: bool,
    },
    /// Something that the process depends on was lost or is back.
    Dependency {
        /// Its name.
        name: &'static str,
        /// Whether it works.
        available: bool,
        /// What was seen.
        reason: String,
    },
    /// Lines that were dropped because the log was written too slowly.
    Dropped {
        /// How many.
        count: u64,
    },
    /// A line in words.
    Note {
        /// `error`, `warn`, `info` or `debug`.
        level: String,
        /// Part of the program.
        part: String,
        /// The words.
        message: String,
    },
}
