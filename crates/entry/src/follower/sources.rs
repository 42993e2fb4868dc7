//! The two sources of a follower's events: its own watch, and another instance that has one.

use {
    super::{BATCH_DELAY, EXPIRY_PERIOD, Follower},
    crate::{
        Aggregator, Platform, Source, SourceChoice,
        source_choice::{FOLLOW_TIMEOUT, MAX_FOLLOWED_AGE},
    },
    balance::rendezvous,
    catalog::{InstanceId, Revision},
    eventlog::Event as LogEvent,
    feed::{FeedError, FollowAnswer, FollowClient, FollowedChanges},
    futures::{StreamExt, future::Either},
    keyvalue::{Event, Incarnation, KeyValue, KvError},
    relay::boot_time,
    std::{cmp::Reverse, mem, pin::pin, time::Duration},
    tokio::{
        task::JoinSet,
        time::{interval, sleep},
    },
};

/// Longest time that an aggregator's watch waits for changes, so that what it passes on is
/// confirmed twice a second.
const AGGREGATOR_WAIT: Duration = Duration::from_millis(500);
/// Reason of a change of the source without a failure.
const SELECTED: &str = "selected by the ready instances";
/// Delay after all aggregators have failed in turn.
const FOLLOW_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay after a batch of changes while no aggregator serves this instance. Many instances may watch
/// the service then, each of which sees the changes of all others.
const FALLBACK_BATCH_DELAY: Duration = Duration::from_millis(200);

impl<Kv, Format> Follower<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Follows the service through the present source until another one is due or a call to the
    /// service fails.
    pub(super) async fn follow_source(&mut self, incarnation: Incarnation) -> Result<(), KvError> {
        self.update_choice();
        match self.choice.source() {
            Source::Service => self.watch_service(incarnation).await,
            Source::Aggregator(aggregator) => {
                self.follow_aggregator(&aggregator, incarnation).await
            }
        }
    }

    /// Watches the service itself.
    async fn watch_service(&mut self, incarnation: Incarnation) -> Result<(), KvError> {
        let shared = self.shared.clone();
        // Trials of an earlier watch say nothing about the aggregators now.
        self.trials = JoinSet::new();
        let revision = self.applied_revision.unwrap_or_default();
        shared.kv.note_revision(revision, incarnation);
        let log = &shared.feed.service_log;
        log.open(shared.incarnation().number, revision);
        let is_aggregator = self.choice.is_aggregator();
        let (kv, prefix) = (&shared.kv, shared.format.watched_prefix());
        let mut events = pin!(if is_aggregator {
            Either::Left(kv.watch_within(prefix, revision + 1, AGGREGATOR_WAIT))
        } else {
            Either::Right(kv.watch(prefix, revision + 1))
        });
        // A watch that was opened in a later incarnation than the listing ends here.
        let mut restored = pin!(shared.restored(incarnation));
        let mut has_pending_changes = false;
        let mut expiry = interval(EXPIRY_PERIOD);
        loop {
            tokio::select! {
                biased;
                error = &mut restored => return Err(error),
                () = shared.doubted.notified() => return Err(self.read_again().await),
                event = events.next() => {
                    let event = event.unwrap_or_else(|| Err(watch_ended()))?;
                    let is_progress = matches!(event, Event::Progress(_));
                    self.apply_watched(event);
                    if is_progress {
                        self.log_source();
                    }
                    if is_progress && has_pending_changes {
                        sleep(self.batch_delay()).await;
                    }
                    has_pending_changes = !is_progress;
                }
                _ = expiry.tick() => {
                    self.check_suspension();
                    self.expire();
                    self.start_trial();
                }
                Some(Ok((aggregator, serves))) = self.trials.join_next() => {
                    self.end_trial(&aggregator, serves);
                }
            }
            if !has_pending_changes && self.must_end_watch(is_aggregator) {
                return Ok(());
            }
        }
    }

    /// Updates the choice of the source. Returns whether this instance's watch has to end: it is to
    /// follow an aggregator, or it has become or ceased to be one since the watch was opened.
    fn must_end_watch(&mut self, was_aggregator: bool) -> bool {
        self.update_choice();
        let is_due = self.choice.source() != Source::Service
            || self.choice.is_aggregator() != was_aggregator;
        if is_due {
            self.note_source_reason(SELECTED);
        }
        is_due
    }

    /// Follows the service through an aggregator.
    async fn follow_aggregator(
        &mut self,
        aggregator: &Aggregator,
        incarnation: Incarnation,
    ) -> Result<(), KvError> {
        let shared = self.shared.clone();
        shared.feed.service_log.close();
        let mut restored = pin!(shared.restored(incarnation));
        tokio::select! {
            error = &mut restored => return Err(error),
            () = sleep(self.time_until_others_noticed()) => {}
        }
        let mut client = FollowClient::new(aggregator.feed);
        let mut expiry = interval(EXPIRY_PERIOD);
        let mut wait = Duration::ZERO;
        loop {
            let since = self.applied_revision.unwrap_or_default();
            let asked_at = boot_time();
            let number = shared.incarnation().number;
            let answer = {
                let mut request = pin!(client.follow(number, since, wait, FOLLOW_TIMEOUT));
                loop {
                    tokio::select! {
                        biased;
                        error = &mut restored => return Err(error),
                        () = shared.doubted.notified() => {
                            return Err(self.read_again().await);
                        }
                        answer = &mut request => break answer,
                        _ = expiry.tick() => {
                            self.check_suspension();
                            self.expire();
                        }
                    }
                }
            };
            let pause = self.take_answer(answer, asked_at);
            self.update_choice();
            let source = self.choice.source();
            if source != Source::Service {
                sleep(pause).await;
            }
            if source != Source::Aggregator(aggregator.clone()) {
                self.note_source_reason(SELECTED);
                return Ok(());
            }
            wait = SourceChoice::follow_wait(self.confirmed_at, boot_time());
        }
    }

    /// Applies what an aggregator answered to a request that was sent at `asked_at`. Returns the delay
    /// before the next request.
    fn take_answer(
        &mut self,
        answer: Result<FollowAnswer, FeedError>,
        asked_at: Duration,
    ) -> Duration {
        let problem = match answer {
            Ok(FollowAnswer::Changes(changes)) => return self.apply_followed(changes, asked_at),
            Ok(FollowAnswer::NotWatching) => "it does not watch the service".to_owned(),
            Ok(FollowAnswer::OtherIncarnation) => {
                "it works in another incarnation of the service".to_owned()
            }
            Ok(FollowAnswer::TooOld) => "it lacks changes that this instance needs".to_owned(),
            Err(error) => error.to_string(),
        };
        self.choice
            .aggregator_failed(self.confirmed_at, boot_time());
        self.note_source_reason(&problem);
        self.check_history();
        self.retry_delay()
    }

    fn retry_delay(&self) -> Duration {
        if self.choice.have_all_failed() {
            FOLLOW_RETRY_DELAY
        } else {
            Duration::ZERO
        }
    }

    /// Applies changes that an aggregator passed on. Returns the delay before the next request.
    fn apply_followed(&mut self, changes: FollowedChanges, asked_at: Duration) -> Duration {
        let now = boot_time();
        let confirmed_at = confirmed_at(&changes, asked_at).min(now);
        let is_recent = now.saturating_sub(confirmed_at) <= MAX_FOLLOWED_AGE;
        if is_recent && confirmed_at > self.confirmed_at {
            // The aggregator reached the service, so the service is available.
            self.note_available();
        }
        self.check_suspension();
        self.check_lag(changes.complete_until);
        let has_changes = !changes.events.is_empty();
        for event in changes.events {
            self.apply_change(event.into());
        }
        self.applied_revision = self.applied_revision.max(Some(changes.complete_until));
        let confirmed_at = self.suspension.answer_received(now).min(confirmed_at);
        if confirmed_at > self.confirmed_at {
            self.confirm(confirmed_at);
        } else if has_changes {
            self.shared.publish();
        }
        if !self.choice.aggregator_answered(confirmed_at, now) {
            self.note_source_reason("its last confirmation from the service is too old");
            return self.retry_delay();
        }
        self.log_source();
        if has_changes {
            BATCH_DELAY
        } else {
            Duration::ZERO
        }
    }

    fn batch_delay(&self) -> Duration {
        if self.choice.is_fallback() {
            FALLBACK_BATCH_DELAY
        } else {
            BATCH_DELAY
        }
    }

    /// Asks an aggregator, beside the own watch, whether it serves this instance, if that is due.
    fn start_trial(&mut self) {
        if !self.trials.is_empty() {
            return;
        }
        if let Some(aggregator) = self.choice.trial(boot_time()) {
            let number = self.shared.incarnation().number;
            let since = self.applied_revision.unwrap_or_default();
            self.trials
                .spawn(try_aggregator(aggregator.clone(), number, since));
        }
    }

    /// Records whether the aggregator that was asked serves this instance.
    fn end_trial(&mut self, aggregator: &str, serves: bool) {
        self.choice.trial_ended(aggregator, serves, boot_time());
        if serves {
            self.note_source_reason("it serves this instance again");
        }
    }

    /// Applies to the choice of the source what is known of the instances and of the service.
    fn update_choice(&mut self) {
        let now = boot_time();
        let lease = self.shared.lease();
        if lease.is_some_and(|lease| lease.is_valid(now, Duration::ZERO)) {
            self.choice.service_reached(now);
        }
        if !mem::take(&mut self.has_new_members) {
            return;
        }
        let settings = &self.shared.settings;
        let aggregators = self.shared.aggregators.load();
        let (own_domain, own_name) = (&settings.failure_domain, &settings.instance);
        let near = aggregators.for_reader(own_domain, own_name);
        let near = near.into_iter().cloned().collect();
        let mut domains: Vec<_> = aggregators.failure_domains().collect();
        domains.retain(|it| *it != own_domain);
        let key = rendezvous::key_seed(own_name.as_bytes());
        domains.sort_by_key(|it| Reverse(rendezvous::score(key, rendezvous::member_seed(it))));
        let remote = domains.iter();
        let remote = remote.flat_map(|it| aggregators.for_reader(it, own_name));
        let is_aggregator = aggregators.contains(own_name);
        let remote = remote.cloned().collect();
        self.choice.set_aggregators(is_aggregator, near, remote);
    }

    /// Keeps the first reason since a source last served this instance.
    pub(super) fn note_source_reason(&mut self, reason: &str) {
        if self.source_reason.is_empty() {
            reason.clone_into(&mut self.source_reason);
        }
    }

    /// Logs the source, which has just served this instance, if it has changed.
    fn log_source(&mut self) {
        let source = match self.choice.source() {
            Source::Service => InstanceId::new(),
            Source::Aggregator(aggregator) => aggregator.name,
        };
        if source != self.logged_source {
            self.logged_source.clone_from(&source);
            self.shared.log.emit(&LogEvent::ServiceSource {
                through: source,
                aggregator: self.choice.is_aggregator(),
                reason: self.source_reason.clone(),
            });
        }
        self.source_reason.clear();
    }
}

/// Error of a watch whose stream of events has ended.
fn watch_ended() -> KvError {
    let reason = "the watch ended".to_owned();
    KvError::Unknown { reason }
}

/// Time as of which the state after these changes is current. The request was sent at `asked_at`,
/// before the aggregator began to hold it.
fn confirmed_at(changes: &FollowedChanges, asked_at: Duration) -> Duration {
    (asked_at + changes.held).saturating_sub(changes.age)
}

/// Returns the aggregator, and whether it serves an instance that knows all changes up to `since`.
async fn try_aggregator(
    aggregator: Aggregator,
    incarnation: u64,
    since: Revision,
) -> (InstanceId, bool) {
    let asked_at = boot_time();
    let mut client = FollowClient::new(aggregator.feed);
    let answer = client.follow(incarnation, since, Duration::ZERO, FOLLOW_TIMEOUT);
    let serves = match answer.await {
        Ok(FollowAnswer::Changes(changes)) => {
            let age = boot_time().saturating_sub(confirmed_at(&changes, asked_at));
            age <= MAX_FOLLOWED_AGE
        }
        Ok(_) | Err(_) => false,
    };
    (aggregator.name, serves)
}
