//! Ways to choose among the candidates.

use {crate::Candidate, snafu::Snafu, std::str::FromStr};

/// How a target is chosen among those that are not left out.
///
/// All but [`Policy::Cost`] are there to be measured against. They do not import: what an engine
/// has in its memory by chance is all that they reuse.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Lowest cost under the placement rule's objective.
    #[default]
    Cost,
    /// Each target in turn.
    RoundRobin,
    /// Shortest expected queue.
    LeastLoaded,
    /// Most leading blocks in engine memory; the shortest queue among equals.
    LongestPrefix,
}

/// Names of the policies, as in settings.
const NAMES: [(&str, Policy); 4] = [
    ("cost", Policy::Cost),
    ("round_robin", Policy::RoundRobin),
    ("least_loaded", Policy::LeastLoaded),
    ("longest_prefix", Policy::LongestPrefix),
];

/// The name is that of no policy.
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
        let found = NAMES.iter().find(|(known, _)| *known == name);
        found
            .map(|(_, policy)| *policy)
            .ok_or_else(|| UnknownPolicy { name: name.into() })
    }
}

impl Policy {
    /// Whether the policy uses blocks that are in stores.
    #[must_use]
    pub fn allows_import(self) -> bool {
        self == Self::Cost
    }

    /// What the policy puts first: lower is better, equal scores are ties.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn score(self, candidate: &Candidate<'_>, cost: f64) -> (f64, f64) {
        match self {
            Self::Cost => (cost, 0.0),
            Self::RoundRobin => (0.0, 0.0),
            Self::LeastLoaded => (load(candidate), 0.0),
            Self::LongestPrefix => (-(candidate.memory_blocks as f64), load(candidate)),
        }
    }
}

/// Requests at the engine for each that it can run at once, then its queue.
fn load(candidate: &Candidate<'_>) -> f64 {
    let load = &candidate.load;
    let requests_count = load.running_count.saturating_add(load.queued_count);
    let slots_count = candidate.target.max_running_count.max(1);
    f64::from(requests_count) / f64::from(slots_count) + candidate.queue_wait_s()
}
