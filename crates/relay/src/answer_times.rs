//! Answer times by route.

use {
    balance::AnswerTimeHistogram,
    routes::RouteId,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Observed answer times of each route's calls. Clones share the observations.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTimes {
    origin: Instant,
    by_route: Arc<Mutex<HashMap<RouteId, AnswerTimeHistogram>>>,
}

impl AnswerTimes {
    /// Creates statistics without observations.
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
            by_route: Arc::default(),
        }
    }

    /// Records a call whose answer completed now, after `took`.
    pub(crate) fn record(&self, route: &str, took: Duration) {
        let now = self.origin.elapsed();
        self.with(route, |time| time.record(took, now));
    }

    /// Records a call that was abandoned now and whose last event was forwarded after `took`. It
    /// raises only the upper bound, since the call would have lasted longer.
    pub(crate) fn record_abandoned(&self, route: &str, took: Duration) {
        let now = self.origin.elapsed();
        self.with(route, |time| time.record_abandoned(took, now));
    }

    /// Time within which 80 % of the recent calls of `route` ended; `None` if there are too few.
    pub(crate) fn typical(&self, route: &str) -> Option<Duration> {
        self.with(route, |time| time.typical())
    }

    /// Twice the longest recent call of `route`, which almost all calls stay below; `None` if there
    /// are too few.
    pub(crate) fn upper_bound(&self, route: &str) -> Option<Duration> {
        self.with(route, |time| time.upper_bound())
    }

    /// Calls `with` on the observations of `route`.
    fn with<Value>(
        &self,
        route: &str,
        with: impl FnOnce(&mut AnswerTimeHistogram) -> Value,
    ) -> Value {
        let mut by_route = self.by_route.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(time) = by_route.get_mut(route) {
            return with(time);
        }
        with(by_route.entry(route.to_owned()).or_default())
    }
}
