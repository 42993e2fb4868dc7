//! The log of changes in the key-value service that an instance's follower writes and its feed
//! server reads.

use {
    crate::{FollowAnswer, FollowedEvent, ServiceLog},
    catalog::Revision,
    keyvalue::Event,
    relay::boot_time,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// A [`ServiceLog`] whose readers may wait for changes.
#[derive(Debug, Default)]
pub struct SharedServiceLog {
    log: Mutex<ServiceLog>,
    changed: Notify,
}

impl SharedServiceLog {
    /// Begins to keep changes, as [`ServiceLog::open`] does.
    pub fn open(&self, incarnation: u64, since: Revision) {
        self.lock().open(incarnation, since);
    }

    /// Drops all changes, as [`ServiceLog::close`] does.
    pub fn close(&self) {
        self.lock().close();
        self.changed.notify_waiters();
    }

    /// Drops all changes and answers nobody, as [`ServiceLog::close_until`] does.
    pub fn close_until(&self, until: Duration) {
        self.lock().close_until(until);
        self.changed.notify_waiters();
    }

    /// Adds an event of the watch. It is passed on after the next confirmation.
    pub fn push(&self, event: &Event) {
        if let Some(event) = FollowedEvent::from_event(event) {
            self.lock().push(event);
        }
    }

    /// Records that all changes up to `revision` are known as of `at`, by [`boot_time`].
    pub fn confirm(&self, revision: Revision, at: Duration) {
        self.lock().confirm(revision, at);
        self.changed.notify_waiters();
    }

    /// Answers an instance that knows all changes up to `since` of an incarnation. If there are no
    /// later ones, waits up to `wait` for one.
    pub async fn answer_or_wait(
        &self,
        incarnation: u64,
        since: Revision,
        wait: Duration,
    ) -> FollowAnswer {
        let arrived_at = boot_time();
        let has_news = async {
            loop {
                let changed = self.changed.notified();
                if is_news(&self.lock().answer(incarnation, since, arrived_at)) {
                    return;
                }
                changed.await;
            }
        };
        let _ = timeout(wait, has_news).await;
        let answered_at = boot_time();
        let mut answer = self.lock().answer(incarnation, since, answered_at);
        if let FollowAnswer::Changes(changes) = &mut answer {
            changes.held = answered_at.saturating_sub(arrived_at);
        }
        answer
    }

    /// Locks the log. The lock is held for a few steps only and never across an await point.
    fn lock(&self) -> MutexGuard<'_, ServiceLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_news(answer: &FollowAnswer) -> bool {
    match answer {
        FollowAnswer::Changes(changes) => !changes.events.is_empty(),
        FollowAnswer::NotWatching | FollowAnswer::OtherIncarnation | FollowAnswer::TooOld => true,
    }
}
