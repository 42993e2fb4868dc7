//! Chooses the target of a request and reports why.
//!
//! The crate reads no clock and does no I/O. [`choose_by_cost`] rejects the candidates that cannot
//! take the request and estimates, for each of the others, the cheapest way to run it: the prompt's
//! prefix may be in engine memory, be imported over a link, be computed, or be split among these.
//! It then chooses the candidate with the lowest cost under the placement rule's objective.
//! [`choose()`] can use another [`Policy`], as a baseline for benchmarks.
//!
//! ```
//! use {
//!     catalog::{PlacementRule, Target, TargetKind},
//!     routing::{Candidate, PrefixSource, PromptProfile, choose_by_cost},
//! };
//!
//! # let rule = PlacementRule {
//! #     name: "any".into(),
//! #     labels: Default::default(),
//! #     precedence: 0,
//! #     client_accounts: Default::default(),
//! #     model_versions: Default::default(),
//! #     targets: Default::default(),
//! #     stores: Default::default(),
//! #     priority: 0,
//! #     objective: Default::default(),
//! # };
//! # let target = |name: &str| Target {
//! #     name: name.into(),
//! #     kind: TargetKind::Engine,
//! #     address: ([127, 0, 0, 1], 1).into(),
//! #     region: "almaty".into(),
//! #     failure_domain: "almaty-a".into(),
//! #     labels: Default::default(),
//! #     leaving: false,
//! #     checks_fencing: true,
//! #     max_running_count: 8,
//! #     link_bytes_per_s: 0,
//! #     capacity_bytes: 0,
//! #     service: String::new(),
//! #     calls: vec![],
//! # };
//! let (busy, idle) = (target("engine-a"), target("engine-b"));
//! let prompt = PromptProfile {
//!     prompt_tokens: 8_000,
//!     block_tokens: 2_000,
//!     block_bytes: 1 << 20,
//!     seen_blocks: 4,
//! };
//! let mut with_blocks = Candidate::new(&busy, 10_000.0);
//! with_blocks.memory_blocks = 4;
//! with_blocks.load.queued_tokens = 2_000;
//! let choice = choose_by_cost(&prompt, &rule, &[Candidate::new(&idle, 10_000.0), with_blocks])?;
//! assert_eq!(choice.chosen.target, "engine-a");
//! assert_eq!(choice.chosen.source, PrefixSource::Memory);
//! # Ok::<(), routing::NoTargetAvailable>(())
//! ```

mod candidate;
mod choice;
mod choose;
mod deadlines;
mod estimate;
mod policy;
mod prompt_profile;
mod retry_budget;
mod service;

pub use {
    candidate::{Candidate, EngineLoad},
    choice::{Choice, Estimate, FilterReason, NoTargetAvailable, PrefixSource, RejectedCandidate},
    choose::{choose, choose_by_cost},
    deadlines::{first_token_deadline, import_deadline, import_hedge_delay},
    policy::{Policy, UnknownPolicy},
    prompt_profile::PromptProfile,
    retry_budget::RetryBudget,
    service::{ServiceCandidate, choose_service_target},
};
