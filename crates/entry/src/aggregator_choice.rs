//! Chooses the aggregator that an instance reads.

use {
    crate::Aggregator,
    catalog::InstanceId,
    std::{collections::HashMap, time::Duration},
};

/// Time for which an aggregator that did not answer is read only if there is no other.
const FAILURE_TIME: Duration = Duration::from_secs(10);
/// The same for one that answered that it is no aggregator, since the views of two instances differ
/// only for a moment.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Chooses the aggregator that an instance reads. All times are by one clock.
#[derive(Clone, Debug, Default)]
pub struct AggregatorChoice {
    /// Aggregators that failed, each with the time until which it is avoided.
    avoided_until: HashMap<InstanceId, Duration>,
}

impl AggregatorChoice {
    /// Chooses among `candidates`, which are in the order of preference: the first one that did not
    /// fail lately, or the one whose failure is longest ago.
    #[must_use]
    pub fn choose<'list>(
        &self,
        candidates: &[&'list Aggregator],
        now: Duration,
    ) -> Option<&'list Aggregator> {
        let avoided_until = |it: &Aggregator| {
            let until = self.avoided_until.get(&it.name).copied();
            until.filter(|until| now < *until)
        };
        // The first one of several with the same key is taken.
        candidates
            .iter()
            .copied()
            .min_by_key(|it| avoided_until(it))
    }

    /// Records that an aggregator did not answer.
    pub fn record_failure(&mut self, aggregator: &str, now: Duration) {
        self.avoid(aggregator, now + FAILURE_TIME);
    }

    /// Records that an instance answered that it is no aggregator.
    pub fn record_refusal(&mut self, aggregator: &str, now: Duration) {
        self.avoid(aggregator, now + REFUSAL_TIME);
    }

    fn avoid(&mut self, aggregator: &str, until: Duration) {
        self.avoided_until.insert(aggregator.to_owned(), until);
    }
}
