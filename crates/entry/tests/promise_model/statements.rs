//! What is promised, and how often it came up.

use {
    crate::{
        prompts::Read,
        stores::Write,
        targets::{self, Target},
        world::{CONTACT_TIME, World},
    },
    relay::TargetState,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Time after its removal from which on a target gets no more calls.
const LEAVING_TIME: Duration = Duration::from_secs(2);
/// Time after an outage of the service in which registrations lapse because of it.
const LAPSE_NOTICE_TIME: Duration = Duration::from_secs(1);
/// Shorter outages pass before a silent watch is given up.
const NOTICED_OUTAGE: Duration = Duration::from_millis(2_600);
/// Time within which a new configuration is in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// A statement that does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Broken {
    /// A target got a call too long after it had left.
    CalledLeftTarget {
        instance: usize,
        target: usize,
        called_at: Duration,
        removed_at: Duration,
        in_touch_since: Duration,
    },
    /// A live target is not known to an instance any more.
    ForgotTarget {
        instance: usize,
        target: usize,
        forgotten_at: Duration,
        listed_at: Duration,
        service_away_from: Duration,
        service_back_at: Duration,
    },
    /// An engine read a part that was being written.
    ReadPartialPart {
        read: Read,
        write: Write,
        restarted_at: Duration,
    },
    /// A call was refused as not run, and has run.
    RefusedThoughRun,
    /// A target ran a call after it was refused as not run.
    RanOnceRefused,
    /// A booking ran twice.
    RanTwice,
    /// A call that a stopping instance took late was cut though its target worked on it.
    CutLateCall,
    /// An instance went back to an older configuration.
    ConfigurationWentBack,
    /// An instance in touch has an older configuration than the one written.
    OldConfiguration,
}

/// How often what is promised came up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Calls that reached targets.
    pub calls: u64,
    /// Answers that callers got to bookings.
    pub answers: u64,
    /// Refusals as not run among them.
    pub not_run: u64,
    /// Calls to targets that had left, by instances of which nobody could say whether the service was away.
    pub unwitnessed_calls: u64,
    /// Live targets that an instance dropped because the outage was too short to be noticed, or because
    /// there was another one before it heard that they are registered again.
    pub interrupted_lapses: u64,
    /// Calls that a stop ended.
    pub cuts: u64,
    /// Reads of parts.
    pub reads: u64,
    /// Reads of a part that was being written by an instance that had never heard of it there.
    pub unheard_reads: u64,
}

impl World {
    /// Records that a call of an instance reaches a target.
    pub fn arrive(&mut self, instance: usize, target: usize) {
        self.counts.calls += 1;
        let Some(removed_at) = self.targets[target].removed_at() else {
            return;
        };
        let has_left = self.now > removed_at + LEAVING_TIME;
        let in_touch = self.instances[instance].is_in_touch(CONTACT_TIME, self.now);
        if !has_left || !in_touch || !self.targets[target].was_removal_calm {
            return;
        }
        if self.now < self.instances[instance].unwitnessed_until {
            self.counts.unwitnessed_calls += 1;
        } else {
            self.broken.push(Broken::CalledLeftTarget {
                instance,
                target,
                called_at: self.now,
                removed_at,
                in_touch_since: self.instances[instance].disturbed_at,
            });
        }
    }

    /// Checks what the instances know of targets and of the configuration.
    pub fn check_known(&mut self) {
        for instance in &mut self.instances {
            if !instance.runs(self.now) {
                continue;
            }
            let known = &instance.known;
            let start = |it: &Arc<TargetState>| (targets::index(&it.id), it.started_unix_ms);
            let present: BTreeSet<_> = known.targets().map(start).collect();
            let in_touch = instance.is_in_touch(CONTACT_TIME, self.now);
            // An instance that starts when the service returns has no evidence of the outage.
            let outage = self.service_away_from..=self.service_disturbed_at + LAPSE_NOTICE_TIME;
            let has_followed = !outage.contains(&instance.listed_at);
            let away_for = self
                .service_disturbed_at
                .saturating_sub(self.service_away_from);
            let is_interrupted = self.is_service_flapping
                || away_for < NOTICED_OUTAGE
                || instance.disturbed_at > self.service_disturbed_at;
            let is_missing = |target: &Target| {
                let start = (target.index, target.start);
                let registered = target.registered_at;
                let is_old = registered.is_some_and(|at| self.now >= at + CONTACT_TIME);
                let was_known = instance.known_targets.contains(&start);
                let is_due = was_known && has_followed || in_touch && is_old;
                target.is_serving() && is_due && !present.contains(&start)
            };
            for target in self.targets.iter().filter(|it| is_missing(it)) {
                if is_interrupted && !in_touch {
                    self.counts.interrupted_lapses += 1;
                    continue;
                }
                self.broken.push(Broken::ForgotTarget {
                    instance: instance.index,
                    target: target.index,
                    forgotten_at: self.now,
                    listed_at: instance.listed_at,
                    service_away_from: self.service_away_from,
                    service_back_at: self.service_disturbed_at,
                });
            }
            instance.known_targets = present;
            let version = known.table().map_or(0, |table| table.config().version);
            if version < instance.configuration {
                self.broken.push(Broken::ConfigurationWentBack);
            }
            instance.configuration = version;
            let (newest, written_at) = self.configuration;
            let is_due = self.now >= written_at + CONFIGURATION_TIME;
            if in_touch && is_due && version < newest {
                self.broken.push(Broken::OldConfiguration);
            }
        }
    }
}
