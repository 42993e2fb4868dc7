//! A chosen target.

use {
    crate::{TargetState, refusal_bound::KnownBound},
    std::{sync::Arc, time::Duration},
};

/// The chosen target, with the inputs of the choice. They are logged, and the weights version is
/// also needed if the target refuses the call because it has other weights.
#[derive(Clone, Debug)]
pub(crate) struct PickedTarget {
    /// The chosen target.
    pub(crate) target: Arc<TargetState>,
    /// Estimated number of calls that all instances have in flight at the target.
    pub(crate) in_flight_count: f64,
    /// Number of calls that this instance has in flight there itself.
    pub(crate) own_in_flight_count: u32,
    /// Bound on the target's refusals; `None` if none is known.
    pub(crate) refusal_bound: Option<KnownBound>,
    /// Whether the target was or might be cold.
    pub(crate) is_cold: bool,
    /// Number of targets that were eligible.
    pub(crate) candidates_count: usize,
    /// Weights that the call is expected to run on, and the wanted version.
    pub(crate) weights: PickedWeights,
    /// Prompt tokens that the target has to read for the call.
    pub(crate) unread_tokens_count: u64,
}

/// Weights of a chosen target, the wanted version, and the target's start delay. All fields have
/// their defaults if the call has no prompt or no version of its model is wanted.
#[derive(Clone, Debug, Default)]
pub(crate) struct PickedWeights {
    /// Version that the target is assumed to have; 0 if it is not known.
    pub(crate) version: u64,
    /// Newest version that the operators have requested; 0 if none.
    pub(crate) wanted_version: u64,
    /// Upper bound on the time since the operators requested that version; `None` if unknown.
    pub(crate) wanted_age: Option<Duration>,
    /// Recent peak of the target's time to first event, an estimate of the delay until the call
    /// starts to run. Zero if no version is wanted, since only the deadline for outdated weights
    /// depends on it.
    pub(crate) start_delay: Duration,
}
