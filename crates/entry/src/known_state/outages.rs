//! How outages of the key-value service, and returns from an older copy, affect the known state.

use {super::KnownState, crate::ItemName, std::time::Duration};

/// Time after an outage of the service within which the owners of expired records write them again,
/// if they are alive and can reach the service.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2_500);
/// Longest time for which a target is kept whose registration is deleted after the outage. Shorter than
/// the time for which a target that leaves goes on serving.
const MAX_KEEPING_TIME: Duration = Duration::from_millis(1_500);
/// A shorter time without word from the service lets no record expire, since owners write their
/// records again several times in the lifetime of their leases.
pub(crate) const MIN_LAPSE_TIME: Duration = Duration::from_millis(2_300);

/// An outage of the service that has ended, and that may have let records expire.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// Until then, a missing record may have expired only because of the outage.
    reregistration_until: Duration,
    /// Whether all changes made during the outage are known.
    pub(super) is_caught_up: bool,
}

impl Outage {
    /// When a record that is deleted at `now` counts as gone; `None` if it does at once.
    pub(super) fn record_expiry(self, now: Duration) -> Option<Duration> {
        let until = if self.is_caught_up {
            self.reregistration_until.min(now + MAX_KEEPING_TIME)
        } else {
            self.reregistration_until
        };
        (now < self.reregistration_until).then_some(until)
    }
}

impl KnownState {
    /// Applies that an older copy of the service lacks an item. What operators and targets wrote is
    /// about to be written again by them, and what instances wrote by instances.
    pub fn lapse(&mut self, name: &ItemName, now: Duration) {
        match (name, self.restored_until) {
            // Written again with the next call that is refused for it.
            (ItemName::Crash(suspect, _), _) => self.set_suspect_written(*suspect, Duration::ZERO),
            (ItemName::Answered(_), _) => {}
            (ItemName::Limit(id), Some(until)) => self.targets.lapse_limit(id, until),
            (ItemName::Evacuation(domain), Some(until)) => self.lapse_evacuation(domain, until),
            _ => self.delete(name, now),
        }
    }

    /// Keeps an evacuation until `until`, since the operators may write it again.
    fn lapse_evacuation(&mut self, domain: &str, until: Duration) {
        if let Some(expires_at) = self.evacuations.get_mut(domain) {
            expires_at.get_or_insert(until);
        }
    }

    /// Records that the service is reachable again after a failed request. Returns for how long there
    /// was no word from it, if records may have expired meanwhile.
    pub fn service_recovered(&mut self, now: Duration) -> Option<Duration> {
        self.members_return_until = Some(now + REREGISTRATION_TIME);
        let confirmed_at = self.confirmed_at.unwrap_or_default();
        let silence = now.saturating_sub(confirmed_at);
        if silence < MIN_LAPSE_TIME {
            return None;
        }
        self.outage = Some(Outage {
            reregistration_until: now + REREGISTRATION_TIME,
            is_caught_up: false,
        });
        Some(silence)
    }

    /// Records that the service came back from an older copy at `now`. Targets and instances that the
    /// copy lacks stay for a while, since they may register again.
    pub fn service_restored(&mut self, now: Duration) {
        let until = now + REREGISTRATION_TIME;
        self.members_return_until = Some(until);
        self.restored_until = Some(until);
        // Those that are missing may have registered again before, which the copy lacks too.
        self.targets.extend_kept(until);
        for expires_at in self.evacuations.values_mut() {
            *expires_at = expires_at.map(|at| at.max(until));
        }
        for member in self.members.values_mut() {
            member.expires_at = member.expires_at.map(|at| at.max(until));
        }
        self.outage = Some(Outage {
            reregistration_until: until,
            is_caught_up: false,
        });
    }

    /// Records that the service was there during the last outage and this instance could not reach it.
    /// Registrations of targets that were deleted since have not expired because of it, so these
    /// targets are gone. Other instances may have been cut off like this one, so they stay for a while.
    pub fn rule_out_lapse(&mut self, now: Duration) {
        // The copy that the service came back from may lack registrations all the same.
        if self.restored_until.is_some_and(|until| now < until) {
            return;
        }
        self.outage = None;
        self.targets.expire_kept(now);
        self.expire(now);
    }
}
