//! Chooses whether an instance watches the key-value service itself or follows it through an
//! aggregator.

use {
    crate::Aggregator,
    std::{mem, time::Duration},
};

/// Age of the last confirmation above which the changes of an aggregator are too old. Leaves time for
/// the other aggregator and for this instance's own watch within the 3 s in which a change must be in force.
pub const MAX_FOLLOWED_AGE: Duration = Duration::from_millis(1_200);
/// Longest time that a request to an aggregator waits for changes there.
const FOLLOW_WAIT: Duration = Duration::from_millis(400);
/// Timeout of a request to an aggregator, connecting and waiting included. Two of them in turn leave
/// time for this instance's own watch within the same 3 s.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for which an instance that no aggregator serves watches the service itself before it tries
/// them again, and for which an aggregator that can't reach the service follows another one.
pub const RETRY_PERIOD: Duration = Duration::from_secs(3);

/// Where an instance reads changes in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The service, by a watch of its own.
    Service,
    /// An aggregator, of its failure domain unless it can't reach the service.
    Aggregator(Aggregator),
}

/// Chooses the source of changes for one instance.
///
/// Aggregators watch the service. Other instances follow the first aggregator of their failure domain
/// that serves them, and watch the service themselves if none does. An instance that can't reach
/// the service either, also an aggregator, follows any aggregator of any failure domain for a while.
/// All times are by one clock.
///
/// ```
/// use entry::{Aggregator, Source, SourceChoice};
/// use std::time::Duration;
///
/// let aggregator = Aggregator { name: "entry-1".into(), feed: ([127, 0, 0, 1], 9000).into() };
/// let mut choice = SourceChoice::default();
/// assert_eq!(choice.source(), Source::Service, "no aggregators");
/// choice.set_aggregators(false, vec![aggregator.clone()], Vec::new());
/// assert_eq!(choice.source(), Source::Aggregator(aggregator));
/// // It failed, and the last confirmation is too old.
/// choice.aggregator_failed(Duration::ZERO, Duration::from_secs(2));
/// assert_eq!(choice.source(), Source::Service);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SourceChoice {
    /// The aggregators other than this instance, in the order in which it tries them.
    aggregators: Vec<Aggregator>,
    /// Number of these that are in its failure domain. They come first.
    near_count: usize,
    is_aggregator: bool,
    mode: Mode,
    /// Index of the aggregator to try next while this instance watches the service.
    next_index: usize,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum Mode {
    /// Watches the service because that is this instance's part.
    #[default]
    Watching,
    /// Watches the service because no aggregator served it, and tries them again at this time.
    Fallback { retry_at: Duration },
    /// Follows an aggregator.
    Following {
        index: usize,
        /// Number of aggregators that have failed since one served this instance.
        failed_count: usize,
        /// Whether this instance can't reach the service, and so tries those of other domains too.
        is_cut_off: bool,
        /// When following began. An instance that couldn't reach the service goes on for at least
        /// [`RETRY_PERIOD`].
        since: Duration,
    },
}

impl SourceChoice {
    /// Sets whether this instance is an aggregator, and the aggregators other than it in the order in
    /// which it tries them: `near` ones of its failure domain, and `remote` ones.
    pub fn set_aggregators(
        &mut self,
        is_aggregator: bool,
        near: Vec<Aggregator>,
        remote: Vec<Aggregator>,
    ) {
        let current = self.current().cloned();
        let was_aggregator = mem::replace(&mut self.is_aggregator, is_aggregator);
        let has_changed = self.aggregators[..self.near_count] != near;
        self.near_count = near.len();
        self.aggregators = [near, remote].concat();
        let is_selected = is_aggregator && !was_aggregator;
        if self.aggregators.is_empty() || is_selected {
            self.mode = Mode::Watching;
            return;
        }
        let mut kept = self.aggregators.iter();
        let kept_index =
            kept.position(|it| current.as_ref().is_some_and(|was| was.name == it.name));
        let is_near = |index: &usize| *index < self.near_count;
        match &mut self.mode {
            Mode::Watching if is_aggregator || self.near_count == 0 => {}
            Mode::Watching => self.follow(0, false, Duration::ZERO),
            Mode::Fallback { retry_at } if has_changed => {
                *retry_at = Duration::ZERO;
                self.next_index = 0;
            }
            Mode::Fallback { .. } => {}
            Mode::Following {
                index,
                failed_count,
                is_cut_off,
                ..
            } => {
                // Those of other domains serve only while no other does.
                let kept_index = kept_index.filter(|it| is_near(it) || *is_cut_off && !has_changed);
                let kept = kept_index.map(|kept_index| (kept_index, *failed_count));
                (*index, *failed_count) = kept.unwrap_or_default();
                if self.near_count == 0 && !*is_cut_off {
                    self.mode = Mode::Watching;
                }
            }
        }
    }

    /// Returns the present source.
    #[must_use]
    pub fn source(&self) -> Source {
        self.current()
            .map_or(Source::Service, |it| Source::Aggregator(it.clone()))
    }

    /// Whether this instance is an aggregator, so that others follow the service through it.
    #[must_use]
    pub fn is_aggregator(&self) -> bool {
        self.is_aggregator
    }

    /// Whether there are aggregators other than this instance.
    #[must_use]
    pub fn has_aggregators(&self) -> bool {
        !self.aggregators.is_empty()
    }

    /// Whether each aggregator has failed since one last served this instance.
    #[must_use]
    pub fn have_all_failed(&self) -> bool {
        let Mode::Following {
            failed_count,
            is_cut_off,
            ..
        } = self.mode
        else {
            return false;
        };
        failed_count >= self.tried_count(is_cut_off)
    }

    /// Whether this instance watches the service only because no aggregator serves it.
    #[must_use]
    pub fn is_fallback(&self) -> bool {
        matches!(self.mode, Mode::Fallback { .. })
    }

    /// How long a request to an aggregator waits for changes there, if the state of this instance was
    /// last confirmed at `confirmed_at`. It ends when that would be too old.
    #[must_use]
    pub fn follow_wait(confirmed_at: Duration, now: Duration) -> Duration {
        let expires_at = confirmed_at + MAX_FOLLOWED_AGE;
        FOLLOW_WAIT.min(expires_at.saturating_sub(now))
    }

    /// Records that the aggregator answered, so that this instance's state is confirmed as of
    /// `confirmed_at`. Returns whether that is recent enough.
    pub fn aggregator_answered(&mut self, confirmed_at: Duration, now: Duration) -> bool {
        if is_too_old(confirmed_at, now) {
            self.aggregator_failed(confirmed_at, now);
            return false;
        }
        if let Mode::Following { failed_count, .. } = &mut self.mode {
            *failed_count = 0;
        }
        true
    }

    /// Records that the aggregator did not answer usably. `confirmed_at` is the last confirmation of
    /// this instance's state. While that is recent, the aggregators are tried in turn, since one may
    /// just have begun to watch the service.
    pub fn aggregator_failed(&mut self, confirmed_at: Duration, now: Duration) {
        let Mode::Following { is_cut_off, .. } = self.mode else {
            return;
        };
        let count = self.tried_count(is_cut_off);
        if let Mode::Following {
            index,
            failed_count,
            ..
        } = &mut self.mode
        {
            *failed_count += 1;
            *index = (*index + 1) % count;
        }
        if !self.have_all_failed() || !is_too_old(confirmed_at, now) {
            return;
        }
        self.mode = if self.is_aggregator {
            Mode::Watching
        } else {
            let retry_at = now + RETRY_PERIOD;
            Mode::Fallback { retry_at }
        };
    }

    /// Records that the service can't be reached. An aggregator is tried if there is one.
    pub fn service_failed(&mut self, now: Duration) {
        if !self.aggregators.is_empty() && self.current().is_none() {
            self.follow(self.next_index % self.near_count.max(1), true, now);
        }
    }

    /// Records that this instance reaches the service. An aggregator that followed another one
    /// watches the service again; other instances follow one of their failure domain.
    pub fn service_reached(&mut self, now: Duration) {
        let Mode::Following {
            index,
            is_cut_off: true,
            since,
            ..
        } = self.mode
        else {
            return;
        };
        if now < since + RETRY_PERIOD {
            return;
        }
        if self.is_aggregator || self.near_count == 0 {
            self.mode = Mode::Watching;
        } else {
            let near_index = if index < self.near_count { index } else { 0 };
            self.follow(near_index, false, now);
        }
    }

    /// Returns the aggregator that may be tried again while this instance watches the service, if it
    /// is time to.
    #[must_use]
    pub fn trial(&self, now: Duration) -> Option<&Aggregator> {
        let Mode::Fallback { retry_at } = self.mode else {
            return None;
        };
        let near = &self.aggregators[..self.near_count];
        let aggregator = near.get(self.next_index % self.near_count.max(1));
        aggregator.filter(|_| now >= retry_at)
    }

    /// Records that the trial of an aggregator has ended, and whether that serves this instance.
    pub fn trial_ended(&mut self, aggregator: &str, serves: bool, now: Duration) {
        let mut aggregators = self.aggregators.iter();
        let index = aggregators.position(|it| it.name == aggregator);
        match (&mut self.mode, index) {
            (Mode::Fallback { .. }, Some(index)) if serves => self.follow(index, false, now),
            (Mode::Fallback { retry_at }, _) => {
                *retry_at = now + RETRY_PERIOD;
                self.next_index += 1;
            }
            _ => {}
        }
    }

    /// Number of aggregators that are tried in turn.
    fn tried_count(&self, is_cut_off: bool) -> usize {
        let count = if is_cut_off {
            self.aggregators.len()
        } else {
            self.near_count
        };
        count.max(1)
    }

    fn follow(&mut self, index: usize, is_cut_off: bool, now: Duration) {
        self.mode = Mode::Following {
            index,
            failed_count: 0,
            is_cut_off,
            since: now,
        };
    }

    fn current(&self) -> Option<&Aggregator> {
        match self.mode {
            Mode::Following { index, .. } => self.aggregators.get(index),
            Mode::Watching | Mode::Fallback { .. } => None,
        }
    }
}

fn is_too_old(confirmed_at: Duration, now: Duration) -> bool {
    now.saturating_sub(confirmed_at) > MAX_FOLLOWED_AGE
}
