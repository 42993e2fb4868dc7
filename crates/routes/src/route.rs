//! Routes and their retry policies.

use {
    crate::{Homes, PoolId},
    std::time::Duration,
};

/// Name of a route.
pub type RouteId = String;

/// Time limit for the calls of a route that sets none.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);

/// Whether calls of a route may be sent to another target after a failure.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A call may run more than once with the same result.
    Idempotent,
    /// A call may run at most once; it is sent again only if it certainly did not run.
    #[default]
    AtMostOnce,
    /// The answer is an event stream, produced at most once and not resumable.
    Stream,
    /// The answer is an event stream that another target can resume after the last event sent.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the answer is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a call that may have run can be sent to another target.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// The share of a route's calls that goes to one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolShare {
    /// Name of the pool.
    pub pool: PoolId,
    /// Weight relative to the route's other shares; a share with weight 0 gets no calls.
    pub weight: u32,
}

/// Matches calls by host and path prefix, and says how and in which pools they run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Route {
    /// Name, unique in its configuration.
    pub name: RouteId,
    /// Host name that callers use, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether a failed call may be retried at another target.
    pub retry_policy: RetryPolicy,
    /// Maximum total time for a call.
    pub time_limit: Duration,
    /// Latency objective: time within which the answer, or the first event of a stream, should
    /// arrive.
    pub latency_objective: Duration,
    /// Maximum pause between two events of a stream that still meets the objective; `None` if there
    /// are no streams.
    pub max_event_gap: Option<Duration>,
    /// Maximum number of targets that may run one call.
    pub max_attempts: u32,
    /// Priority against other routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether calls are accepted without a client account's key.
    pub public: bool,
    /// Whether calls carry prompts whose parts the targets cache.
    pub sticky: bool,
    /// Regions that calls may reach.
    pub homes: Homes,
    /// Pools among which the calls are split by weight.
    pub shares: Vec<PoolShare>,
}

impl Route {
    /// Creates a route without pools, with the default time limit and a single attempt per call.
    #[must_use]
    pub fn new(
        name: impl Into<String>,
        host: impl Into<String>,
        path_prefix: impl Into<String>,
    ) -> Self {
        Self {
            name: name.into(),
            host: host.into(),
            path_prefix: path_prefix.into(),
            time_limit: DEFAULT_TIME_LIMIT,
            latency_objective: DEFAULT_TIME_LIMIT,
            max_attempts: 1,
            ..Self::default()
        }
    }

    /// Sets the retry policy.
    #[must_use]
    pub fn retry_policy(mut self, retry_policy: RetryPolicy) -> Self {
        self.retry_policy = retry_policy;
        self
    }

    /// Sets the maximum total time for a call.
    #[must_use]
    pub fn time_limit(mut self, time_limit: Duration) -> Self {
        self.time_limit = time_limit;
        self
    }

    /// Sets the maximum number of targets that may run one call.
    #[must_use]
    pub fn max_attempts(mut self, max_attempts: u32) -> Self {
        self.max_attempts = max_attempts;
        self
    }

    /// Sets whether calls are accepted without a client account's key.
    #[must_use]
    pub fn public(mut self, public: bool) -> Self {
        self.public = public;
        self
    }

    /// Sets the regions that calls may reach.
    #[must_use]
    pub fn homes(mut self, homes: Homes) -> Self {
        self.homes = homes;
        self
    }

    /// Replaces the shares by a single pool that gets all calls.
    #[must_use]
    pub fn pool(mut self, pool: impl Into<PoolId>) -> Self {
        self.shares = vec![PoolShare {
            pool: pool.into(),
            weight: 1,
        }];
        self
    }

    /// Chooses the pool for a call in proportion to the weights, by the random number `random`.
    /// `None` if no share has a weight above 0.
    #[must_use]
    pub fn draw_pool(&self, random: u64) -> Option<&PoolId> {
        let total_weight: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut remaining = random.checked_rem(total_weight)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if remaining < weight {
                return Some(&share.pool);
            }
            remaining -= weight;
        }
        None
    }
}
