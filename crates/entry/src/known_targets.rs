//! The targets that an instance knows, and what is remembered of those whose registration is gone.

use {
    crate::TargetRegistration,
    balance::rendezvous,
    catalog::{Revision, TargetId},
    relay::{RegisteredCold, TargetState, TargetStats},
    routes::PoolId,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Time for which it is remembered what is known of a target whose registration is gone. A target that
/// is about to exit has exited by then.
const DEPARTED_MEMORY: Duration = Duration::from_mins(1);

/// A registered target.
#[derive(Clone, Debug)]
struct KnownTarget {
    pool: PoolId,
    state: Arc<TargetState>,
    /// When the target counts as gone unless it registers again.
    expires_at: Option<Duration>,
}

/// A target whose registration is gone.
#[derive(Clone, Debug)]
struct DepartedTarget {
    state: Arc<TargetState>,
    /// When the target is forgotten.
    until: Duration,
}

/// When a registration was written.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Writing {
    /// Revision at which it was written.
    pub(crate) revision: Revision,
    /// Time after which it was written; `None` if it may have been written at any time.
    pub(crate) after: Option<Duration>,
}

/// A limit of a target that an instance has announced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnnouncedLimit {
    /// Calls per second that the target takes from all instances together.
    pub limit_per_s: f64,
    /// When this instance learned of the announcement.
    pub learned_at: Duration,
}

/// The targets that an instance knows by their registrations, with their announced limits. Times are
/// by the clock of [`crate::KnownState`].
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownTargets {
    registered: BTreeMap<TargetId, KnownTarget>,
    /// Targets without a registration. That of a target may lapse and return while the target runs, and
    /// calls under way may state at any time that it wants no others.
    departed: BTreeMap<TargetId, DepartedTarget>,
    /// Limits of targets that instances have announced, also of targets that are not known.
    limits: BTreeMap<TargetId, AnnouncedLimit>,
    /// Targets whose announced limit an older copy of the service lacks, and when it counts as ended.
    lapsed_limits: BTreeMap<TargetId, Duration>,
}

impl KnownTargets {
    /// Adds or updates a target. If the start time or the address has changed, the target has
    /// restarted under the same id, so what calls observed of it before no longer applies.
    pub(crate) fn put(
        &mut self,
        id: &str,
        record: TargetRegistration,
        writing: Writing,
        now: Duration,
    ) {
        let registered_cold = RegisteredCold {
            cold_left: record.cold_left,
            revision: writing.revision,
            written_after: writing.after,
            may_be_older_copy: false,
        };
        self.apply(id, record, registered_cold, now);
    }

    fn apply(
        &mut self,
        id: &str,
        record: TargetRegistration,
        registered_cold: RegisteredCold,
        now: Duration,
    ) {
        let call_stats = self.same_start_stats(id, &record);
        let call_stats = call_stats.unwrap_or_else(|| self.new_stats(id, now));
        call_stats.register_cold(registered_cold, now);
        self.departed.remove(id);
        let state = TargetState {
            id: id.to_owned(),
            seed: rendezvous::member_seed(id),
            started_unix_ms: record.started_unix_ms,
            software_version: record.software_version,
            address: record.address,
            failure_domain: record.failure_domain,
            slots_count: record.slots_count,
            draining: record.leaving,
            models: record.models,
            call_stats,
        };
        let target = KnownTarget {
            pool: record.pool,
            state: Arc::new(state),
            expires_at: None,
        };
        self.registered.insert(id.to_owned(), target);
    }

    /// Adds or updates a target by a registration that may be that of an older copy of the service. One
    /// of an earlier start changes nothing; the target then stays until `until` unless it registers
    /// again. A target that was leaving since the same start goes on leaving.
    pub(crate) fn put_restored(
        &mut self,
        id: &str,
        mut record: TargetRegistration,
        writing: Writing,
        until: Duration,
        now: Duration,
    ) {
        if let Some(known) = self.registered.get_mut(id)
            && record.started_unix_ms < known.state.started_unix_ms
        {
            known.expires_at.get_or_insert(until);
            return;
        }
        let was_leaving = self
            .registered_or_departed(id)
            .is_some_and(|state| state.draining && state.started_unix_ms == record.started_unix_ms);
        record.leaving |= was_leaving;
        let registered_cold = RegisteredCold {
            cold_left: record.cold_left,
            revision: writing.revision,
            written_after: None,
            may_be_older_copy: true,
        };
        self.apply(id, record, registered_cold, now);
    }

    /// Applies the deletion of a registration. With `expires_at`, the target stays until then, since it
    /// may register again; a target that was draining is removed at once.
    pub(crate) fn delete(&mut self, id: &str, expires_at: Option<Duration>, now: Duration) {
        match (expires_at, self.registered.get_mut(id)) {
            (Some(_), Some(target)) if !target.state.draining => target.expires_at = expires_at,
            _ => self.remove(id, now),
        }
    }

    /// Keeps all targets and limits that are missing until `until`.
    pub(crate) fn extend_kept(&mut self, until: Duration) {
        for target in self.registered.values_mut() {
            target.expires_at = target.expires_at.map(|at| at.max(until));
        }
        for at in self.lapsed_limits.values_mut() {
            *at = until.max(*at);
        }
    }

    /// Has all targets without a registration expire at `now`.
    pub(crate) fn expire_kept(&mut self, now: Duration) {
        for target in self.registered.values_mut() {
            target.expires_at = target.expires_at.map(|at| at.min(now));
        }
    }

    /// Removes targets that did not register again in time. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        let lapsed = self.lapsed_limits.iter();
        let ended = lapsed.filter(|(_, until)| now >= **until);
        let ended: Vec<TargetId> = ended.map(|(id, _)| id.clone()).collect();
        for id in &ended {
            self.lapsed_limits.remove(id);
            self.delete_limit(id, now);
        }
        let is_expired = |target: &KnownTarget| target.expires_at.is_some_and(|at| now >= at);
        let registered = self.registered.iter();
        let expired = registered.filter(|(_, target)| is_expired(target));
        let expired: Vec<TargetId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            self.remove(id, now);
        }
        !expired.is_empty()
    }

    /// Removes a target, and remembers it for a while.
    fn remove(&mut self, id: &str, now: Duration) {
        self.departed.retain(|_, departed| now < departed.until);
        let Some(target) = self.registered.remove(id) else {
            return;
        };
        let departed = DepartedTarget {
            state: target.state,
            until: now + DEPARTED_MEMORY,
        };
        self.departed.insert(id.to_owned(), departed);
    }

    /// Returns a target by its id.
    pub(crate) fn get(&self, id: &str) -> Option<&Arc<TargetState>> {
        self.registered.get(id).map(|target| &target.state)
    }

    /// Returns a target by its id, also if its registration is gone.
    fn registered_or_departed(&self, id: &str) -> Option<&Arc<TargetState>> {
        let departed = || self.departed.get(id).map(|departed| &departed.state);
        self.get(id).or_else(departed)
    }

    /// Returns all targets in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<TargetState>> {
        self.registered.values().map(|target| &target.state)
    }

    /// Returns the target at an address.
    pub(crate) fn at(&self, address: SocketAddr) -> Option<&Arc<TargetState>> {
        self.iter().find(|target| target.address == address)
    }

    /// Returns the targets of each pool.
    pub(crate) fn by_pool(&self) -> HashMap<PoolId, Vec<Arc<TargetState>>> {
        let mut pools: HashMap<_, Vec<_>> = HashMap::new();
        for target in self.registered.values() {
            let pool = pools.entry(target.pool.clone()).or_default();
            pool.push(target.state.clone());
        }
        pools
    }

    /// Records a limit that an instance announced.
    pub(crate) fn put_limit(&mut self, id: &str, limit_per_s: f64, now: Duration) {
        let limit = AnnouncedLimit {
            limit_per_s,
            learned_at: now,
        };
        self.limits.insert(id.to_owned(), limit);
        self.lapsed_limits.remove(id);
        if let Some(target) = self.registered_or_departed(id) {
            target.call_stats.announce_limit(limit_per_s, now);
        }
    }

    /// Records that an older copy of the service lacks a limit. It is due to be announced again, and holds
    /// until then, at most until `until`.
    pub(crate) fn lapse_limit(&mut self, id: &str, until: Duration) {
        self.limits.remove(id);
        self.lapsed_limits.insert(id.to_owned(), until);
    }

    /// Records that a limit is no longer announced.
    pub(crate) fn delete_limit(&mut self, id: &str, now: Duration) {
        self.limits.remove(id);
        if let Some(target) = self.registered_or_departed(id) {
            target.call_stats.announce_limit_end(now);
        }
    }

    /// Returns the limit of a target that an instance has announced.
    pub(crate) fn announced_limit(&self, id: &str) -> Option<AnnouncedLimit> {
        self.limits.get(id).copied()
    }

    /// Stats of the target that `record` registers, if it is known since the same start.
    fn same_start_stats(&self, id: &str, record: &TargetRegistration) -> Option<Arc<TargetStats>> {
        let state = self.registered_or_departed(id)?;
        let is_same_start =
            state.started_unix_ms == record.started_unix_ms && state.address == record.address;
        is_same_start.then(|| state.call_stats.clone())
    }

    /// Creates the stats of a target that no call was sent to, with its announced limit. If it replaces
    /// a process of the same id, it takes over the share of what that bears while it is cold.
    fn new_stats(&self, id: &str, now: Duration) -> Arc<TargetStats> {
        let replaced = self.get(id);
        let call_stats = replaced.map(|state| state.call_stats.of_new_process());
        let call_stats = call_stats.unwrap_or_default();
        if let Some(limit) = self.announced_limit(id) {
            call_stats.announce_limit(limit.limit_per_s, now);
        }
        Arc::new(call_stats)
    }
}
