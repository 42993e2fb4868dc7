//! How long the calls of each route last.

use {
    balance::AnswerTimeHistogram,
    routes::RouteId,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// How long the calls of each route last. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct AnswerTimes {
    origin: Instant,
    by_route: Arc<Mutex<HashMap<RouteId, AnswerTimeHistogram>>>,
}

impl AnswerTimes {
    /// Knows nothing yet.
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
            by_route: Arc::default(),
        }
    }

    /// Counts a call whose answer is whole now.
    pub(crate) fn record(&self, route: &str, took: Duration) {
        let now = self.origin.elapsed();
        self.with(route, |time| time.record(took, now));
    }

    /// Counts a call that made progress for `took` and is given up now.
    pub(crate) fn record_given_up(&self, route: &str, took: Duration) {
        let now = self.origin.elapsed();
        self.with(route, |time| time.record_abandoned(took, now));
    }

    /// The time within which most calls of `route` are over, if it is known.
    pub(crate) fn usual(&self, route: &str) -> Option<Duration> {
        self.with(route, |time| time.typical())
    }

    /// The time within which a call of `route` is over almost surely, if it is known.
    pub(crate) fn longest(&self, route: &str) -> Option<Duration> {
        self.with(route, |time| time.upper_bound())
    }

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
