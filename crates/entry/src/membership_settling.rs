//! When a starting instance knows enough of the others to take its share of the places.

use {catalog::InstanceId, std::time::Duration};

/// Time without a change of the ready instances, for each of them, after which all are taken to be
/// known. Nothing tells a starting instance the size of its fleet, and a small fleet has to wait for
/// few others.
pub const QUIET_TIME_PER_INSTANCE: Duration = Duration::from_millis(20);
/// Lower bound of that time.
pub const MIN_QUIET_TIME: Duration = Duration::from_millis(100);
/// Upper bound of that time.
pub const MAX_QUIET_TIME: Duration = Duration::from_millis(700);
/// Longest wait after the own registration.
pub const MAX_SETTLING_TIME: Duration = Duration::from_secs(3);
/// Longest wait for the own registration.
pub const MAX_REGISTRATION_TIME: Duration = Duration::from_secs(3);

/// Tells a starting instance when the list of ready instances has settled.
///
/// While a whole fleet starts, each instance knows few others at first. If it took its share of the
/// places among these, it would follow, list and publish nearly all of them, and every other instance
/// would read that. Once the list has settled it stays so: a later change moves only the share of the
/// instances that it concerns.
#[derive(Clone, Debug, Default)]
pub struct MembershipSettling {
    /// Ready instances at the last update.
    members: Vec<InstanceId>,
    /// Time of their last change.
    changed_at: Duration,
    began_at: Option<Duration>,
    registered_at: Option<Duration>,
    is_settled: bool,
}

impl MembershipSettling {
    /// Records the ready instances at `now`, in name order. Returns the time after which the list will
    /// have settled if it does not change; `None` if it has.
    pub fn update<'member, Members>(
        &mut self,
        members: Members,
        own: &str,
        now: Duration,
    ) -> Option<Duration>
    where
        Members: Iterator<Item = &'member InstanceId> + Clone,
    {
        if self.is_settled {
            return None;
        }
        let began_at = *self.began_at.get_or_insert(now);
        if !members.clone().eq(self.members.iter()) {
            self.members = members.cloned().collect();
            self.changed_at = now;
        }
        let is_registered = self.members.iter().any(|name| name == own);
        if is_registered {
            self.registered_at.get_or_insert(now);
        }
        let quiet_at = self.changed_at + self.quiet_time();
        let settled_at = match self.registered_at {
            Some(registered_at) => quiet_at.min(registered_at + MAX_SETTLING_TIME),
            None => began_at + MAX_REGISTRATION_TIME,
        };
        self.is_settled = settled_at <= now;
        Some(settled_at.saturating_sub(now)).filter(|time| !time.is_zero())
    }

    fn quiet_time(&self) -> Duration {
        let instances_count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let quiet_time = QUIET_TIME_PER_INSTANCE.saturating_mul(instances_count);
        quiet_time.clamp(MIN_QUIET_TIME, MAX_QUIET_TIME)
    }
}
