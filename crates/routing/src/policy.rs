//! Policies for choosing among the candidates.

use {crate::Candidate, snafu::Snafu, std::str::FromStr};

/// How a target is chosen among the candidates that were not rejected.
///
/// All policies except [`Policy::Cost`] are baselines for benchmarks. They never import: they reuse
/// only blocks that happen to be in engine memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Lowest cost under the placement rule's objective.
    #[default]
    Cost,
    /// The targets in turn, as the tie breaker counts up.
    RoundRobin,
    /// Lowest load: requests per slot plus the expected queue wait.
    LeastLoaded,
    /// Most leading prompt blocks in engine memory; among equals, the lowest load.
    LongestPrefix,
}

/// Names of the policies in settings.
const POLICY_NAMES: [(&str, Policy); 4] = [
    ("cost", Policy::Cost),
    ("round_robin", Policy::RoundRobin),
    ("least_loaded", Policy::LeastLoaded),
    ("longest_prefix", Policy::LongestPrefix),
];

/// Error: no policy has this name.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "there is no routing policy {name:?}; use one of cost, round_robin, least_loaded, \
     longest_prefix"
))]
pub struct UnknownPolicy {
    /// The name that was given.
    pub name: String,
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let found = POLICY_NAMES.iter().find(|(known, _)| *known == name);
        found
            .map(|(_, policy)| *policy)
            .ok_or_else(|| UnknownPolicy { name: name.into() })
    }
}

impl Policy {
    /// Returns whether the policy may import blocks from stores.
    #[must_use]
    pub fn allows_import(self) -> bool {
        self == Self::Cost
    }

    /// Returns a score that is compared element by element: lower is better. Scores that are about
    /// equal are ties.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn score(self, candidate: &Candidate<'_>, cost: f64) -> (f64, f64) {
        match self {
            Self::Cost => (cost, 0.0),
            Self::RoundRobin => (0.0, 0.0),
            Self::LeastLoaded => (load_score(candidate), 0.0),
            Self::LongestPrefix => (-(candidate.memory_blocks as f64), load_score(candidate)),
        }
    }
}

/// Returns the running and queued requests per slot plus the expected queue wait in seconds.
fn load_score(candidate: &Candidate<'_>) -> f64 {
    let load = &candidate.load;
    let requests_count = load.running_count.saturating_add(load.queued_count);
    let slots_count = candidate.target.max_running_count.max(1);
    f64::from(requests_count) / f64::from(slots_count) + candidate.queue_wait_s()
}
