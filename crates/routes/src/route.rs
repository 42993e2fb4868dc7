//! One route.

use {crate::PoolId, std::time::Duration};

/// Name of a route.
pub type RouteId = String;

/// Time that a route without a limit of its own allows for a call.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);

/// What may be repeated of a route's calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A call may run more than once.
    Idempotent,
    /// A call runs at most once.
    #[default]
    AtMostOnce,
    /// The answer is a stream of events; it runs once and can't be continued.
    Stream,
    /// The answer is a stream of events that another target may continue after the last event.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a call that may have run can be sent again.
    #[must_use]
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A share of a route's calls that goes to one pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Weight against the other shares of the route.
    pub weight: u32,
}

/// Calls of one host below one path, and the pools that may run them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Route {
    /// Name, unique in its configuration.
    pub name: RouteId,
    /// Host that callers name, without a port.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Longest time that a call is kept waiting.
    pub time_limit: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    pub latency_objective: Duration,
    /// Longest pause between events of a stream that is on time; none without a stream.
    pub max_event_gap: Option<Duration>,
    /// Most targets that may run one call.
    pub max_attempts: u32,
    /// Rank against other routes; 0 is the most urgent.
    pub priority: u8,
    /// Whether calls need no key.
    pub public: bool,
    /// Whether calls carry prompts whose parts targets keep.
    pub sticky: bool,
    /// Pools that may run the calls; one without a weight above 0 never does.
    pub shares: Vec<PoolShare>,
}

impl Route {
    /// A route that never repeats a call and has no pool yet.
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

    /// Sets what may be repeated.
    #[must_use]
    pub fn retry_policy(mut self, retry_policy: RetryPolicy) -> Self {
        self.retry_policy = retry_policy;
        self
    }

    /// Sets the longest time for a call.
    #[must_use]
    pub fn time_limit(mut self, time_limit: Duration) -> Self {
        self.time_limit = time_limit;
        self
    }

    /// Sets the most targets that may run one call.
    #[must_use]
    pub fn max_attempts(mut self, max_attempts: u32) -> Self {
        self.max_attempts = max_attempts;
        self
    }

    /// Lets calls in without a key.
    #[must_use]
    pub fn public(mut self, public: bool) -> Self {
        self.public = public;
        self
    }

    /// Sends all calls to one pool.
    #[must_use]
    pub fn pool(mut self, pool: impl Into<PoolId>) -> Self {
        self.shares = vec![PoolShare {
            pool: pool.into(),
            weight: 1,
        }];
        self
    }

    /// The pool for a call, drawn by weight; none if no share has a weight.
    #[must_use]
    pub fn draw_pool(&self, draw: u64) -> Option<&PoolId> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut rest = draw.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.pool);
            }
            rest -= weight;
        }
        None
    }
}
