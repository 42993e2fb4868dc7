//! For how long other instances have not answered requests for their feeds.

use {
    catalog::InstanceId,
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
};

/// For how long other instances have not answered, this one or the aggregators that read them for it.
/// All times are by one clock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silences {
    /// Time of the last answer of each instance that this one reads, or at which reading began.
    heard_at: HashMap<InstanceId, Duration>,
    /// Since when the instances have been silent that an aggregator can't read, by aggregator.
    reported: HashMap<InstanceId, Vec<(InstanceId, Duration)>>,
}

impl Silences {
    /// Records that an instance answered at `now`, or that reading its feed began then.
    pub(crate) fn note_heard(&mut self, instance: &str, now: Duration) {
        match self.heard_at.get_mut(instance) {
            Some(heard_at) => *heard_at = now,
            None => drop(self.heard_at.insert(instance.to_owned(), now)),
        }
    }

    /// Replaces the instances that an aggregator can't read, each with the time at which it last could.
    pub(crate) fn set_reported(
        &mut self,
        aggregator: &str,
        silent: impl IntoIterator<Item = (InstanceId, Duration)>,
    ) {
        let silent: Vec<_> = silent.into_iter().collect();
        if silent.is_empty() {
            self.reported.remove(aggregator);
        } else {
            self.reported.insert(aggregator.to_owned(), silent);
        }
    }

    /// Removes what is known of an instance that is not read any more, and by it.
    pub(crate) fn forget(&mut self, instance: &str) {
        self.heard_at.remove(instance);
        self.reported.remove(instance);
    }

    /// Time at `now` since an instance that this one reads last answered; zero for others.
    pub(crate) fn silence(&self, instance: &str, now: Duration) -> Duration {
        let heard_at = self.heard_at.get(instance).copied();
        now.saturating_sub(heard_at.unwrap_or(now))
    }

    /// Returns the instances that have not answered for longer than `time`.
    pub(crate) fn longer_than(&self, time: Duration, now: Duration) -> BTreeSet<InstanceId> {
        let reported = self.reported.values().flatten();
        let reported = reported.map(|(name, since)| (name, since));
        let since = self.heard_at.iter().chain(reported);
        let silent = since.filter(|(_, since)| now.saturating_sub(**since) > time);
        silent.map(|(name, _)| name.clone()).collect()
    }
}
