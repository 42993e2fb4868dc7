//! The latest changes in the key-value service, kept for instances that follow it through this one.

use {
    crate::{FollowAnswer, FollowedChanges, FollowedEvent},
    catalog::Revision,
    std::{collections::VecDeque, time::Duration},
};

/// Largest number of changes that are kept.
const MAX_EVENTS_COUNT: usize = 4_096;
/// Largest size of all kept changes. Small, since an instance may have 112 MB of memory and a link of
/// 10 Mbit/s.
const MAX_LOG_BYTES: usize = 256 * 1_024;

/// The latest changes in the key-value service.
///
/// An instance keeps them while it watches the service itself, for others that follow it through
/// this one. All times are by one clock that keeps running during suspension.
///
/// ```
/// use feed::{FollowAnswer, ServiceLog};
/// use std::time::Duration;
///
/// let mut log = ServiceLog::default();
/// assert_eq!(log.answer(1, 7, Duration::ZERO), FollowAnswer::NotWatching);
/// log.open(1, 7);
/// log.confirm(9, Duration::from_secs(3));
/// let FollowAnswer::Changes(changes) = log.answer(1, 7, Duration::from_secs(4)) else {
///     panic!("the log is complete since revision 7");
/// };
/// assert_eq!((changes.complete_until, changes.age.as_secs()), (9, 1));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServiceLog {
    open: Option<OpenLog>,
    /// No instance is answered before.
    answers_from: Duration,
}

#[derive(Clone, Debug)]
struct OpenLog {
    /// Number of the incarnation that all revisions belong to.
    incarnation: u64,
    /// All changes after this revision are kept.
    since: Revision,
    /// All changes up to this revision are known; `None` before the service has confirmed any.
    complete_until: Option<Revision>,
    /// When the service confirmed that.
    confirmed_at: Duration,
    events: VecDeque<FollowedEvent>,
    bytes_count: usize,
}

impl ServiceLog {
    /// Begins to keep changes after revision `since` of an incarnation. What is kept stays if the log
    /// is complete up to that revision.
    pub fn open(&mut self, incarnation: u64, since: Revision) {
        if let Some(log) = &mut self.open
            && log.incarnation == incarnation
            && log.complete_until == Some(since)
        {
            log.truncate(since);
            return;
        }
        self.open = Some(OpenLog {
            incarnation,
            since,
            complete_until: None,
            confirmed_at: Duration::ZERO,
            events: VecDeque::new(),
            bytes_count: 0,
        });
    }

    /// Drops all changes, since this instance does not watch the service itself any more.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Drops all changes, and passes none on before `until`, even if the log is opened again.
    pub fn close_until(&mut self, until: Duration) {
        self.open = None;
        self.answers_from = until;
    }

    /// Adds a change. It is passed on once it is covered by [`Self::confirm`].
    pub fn push(&mut self, event: FollowedEvent) {
        if let Some(log) = &mut self.open {
            log.push(event);
        }
    }

    /// Records that all changes up to `revision` are known as of `at`.
    pub fn confirm(&mut self, revision: Revision, at: Duration) {
        if let Some(log) = &mut self.open {
            log.complete_until = log.complete_until.max(Some(revision.max(log.since)));
            log.confirmed_at = log.confirmed_at.max(at);
        }
    }

    /// Answers an instance that knows all changes up to `since` of an incarnation.
    #[must_use]
    pub fn answer(&self, incarnation: u64, since: Revision, now: Duration) -> FollowAnswer {
        let open = self.open.as_ref().filter(|_| now >= self.answers_from);
        let Some(log) = open else {
            return FollowAnswer::NotWatching;
        };
        if log.incarnation != incarnation {
            return FollowAnswer::OtherIncarnation;
        }
        let Some(complete_until) = log.complete_until else {
            return FollowAnswer::NotWatching;
        };
        if since < log.since {
            return FollowAnswer::TooOld;
        }
        let first = log.events.partition_point(|it| it.revision() <= since);
        let events = log.events.range(first..);
        let complete = events.take_while(|it| it.revision() <= complete_until);
        FollowAnswer::Changes(FollowedChanges {
            events: complete.cloned().collect(),
            complete_until,
            age: now.saturating_sub(log.confirmed_at),
            held: Duration::ZERO,
        })
    }
}

impl OpenLog {
    fn push(&mut self, event: FollowedEvent) {
        self.bytes_count += event.bytes_count();
        self.events.push_back(event);
        while self.events.len() > MAX_EVENTS_COUNT || self.bytes_count > MAX_LOG_BYTES {
            let Some(dropped) = self.events.pop_front() else {
                return;
            };
            self.bytes_count -= dropped.bytes_count();
            self.since = self.since.max(dropped.revision());
        }
    }

    /// Drops the changes after revision `until`, which the next watch delivers again.
    fn truncate(&mut self, until: Revision) {
        while let Some(last) = self.events.back()
            && last.revision() > until
        {
            self.bytes_count -= last.bytes_count();
            self.events.pop_back();
        }
    }
}
