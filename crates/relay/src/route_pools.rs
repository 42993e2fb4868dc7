//! The pools to which each route leads, and those to which it led a short while ago.

use {
    origins::VERSION_MEMORY,
    routes::{PoolId, Route, RouteTable},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// The pools of routes. Times are by one clock of the caller's choice.
#[derive(Debug, Default)]
pub(crate) struct RoutePools {
    /// The configuration that was seen last.
    table: Option<Arc<RouteTable>>,
    /// Its routes.
    present: HashMap<RouteKey, RouteHistory>,
    /// Those that were there within the last [`VERSION_MEMORY`].
    gone: HashMap<RouteKey, RouteHistory>,
}

/// What calls name to get to a route.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct RouteKey {
    host: String,
    path_prefix: String,
}

impl RouteKey {
    fn new(route: &Route) -> Self {
        Self {
            host: route.host.to_ascii_lowercase(),
            path_prefix: route.path_prefix.clone(),
        }
    }

    /// Whether all calls of `other` are also calls of this route, if no longer prefix takes them.
    fn covers(&self, other: &Self) -> bool {
        self.host == other.host && other.path_prefix.starts_with(&self.path_prefix)
    }
}

#[derive(Debug)]
struct RouteHistory {
    /// Since when it takes its calls.
    known_since: Duration,
    /// When it led to each pool last; `None` while it does.
    left_at: HashMap<PoolId, Option<Duration>>,
}

impl RouteHistory {
    /// A route that leads nowhere yet.
    fn new(known_since: Duration) -> Self {
        Self {
            known_since,
            left_at: HashMap::new(),
        }
    }

    /// Takes over the pools to which it leads from now on. Returns whether they are others than before.
    fn update(&mut self, pools: &BTreeSet<PoolId>, now: Duration) -> bool {
        let mut has_changed = false;
        self.left_at.retain(|_, left_at| is_recent(*left_at, now));
        for (pool, left_at) in &mut self.left_at {
            if left_at.is_none() && !pools.contains(pool) {
                *left_at = Some(now);
                has_changed = true;
            }
        }
        for pool in pools {
            has_changed |= self.left_at.insert(pool.clone(), None) != Some(None);
        }
        has_changed
    }

    /// The pools to which it led within the last [`VERSION_MEMORY`].
    fn pools(&self, now: Duration) -> impl Iterator<Item = &PoolId> {
        let recent = self
            .left_at
            .iter()
            .filter(move |(_, left_at)| is_recent(**left_at, now));
        recent.map(|(pool, _)| pool)
    }
}

fn is_recent(left_at: Option<Duration>, now: Duration) -> bool {
    left_at.is_none_or(|left_at| now.saturating_sub(left_at) < VERSION_MEMORY)
}

impl RoutePools {
    /// Takes over the routes of a configuration. Returns the pools of those that lead elsewhere now, whose streams may
    /// be taken up where their origin is in doubt.
    pub(crate) fn observe(&mut self, table: &Arc<RouteTable>, now: Duration) -> BTreeSet<PoolId> {
        if self.table.as_ref().is_some_and(|it| Arc::ptr_eq(it, table)) {
            return BTreeSet::new();
        }
        self.table = Some(Arc::clone(table));
        self.gone.retain(|_, it| it.pools(now).next().is_some());
        let mut changed = BTreeSet::new();
        let pools_by_route = present_pools(table);
        let is_gone = |key: &RouteKey| !pools_by_route.contains_key(key);
        for (key, mut history) in self.present.extract_if(|key, _| is_gone(key)) {
            history.update(&BTreeSet::new(), now);
            changed.extend(history.pools(now).cloned());
            self.gone.insert(key, history);
        }
        for (key, pools) in pools_by_route {
            let is_known = self.present.contains_key(&key);
            let begin = || RouteHistory::new(now);
            let history = self.present.entry(key).or_insert_with(begin);
            if history.update(&pools, now) && is_known {
                changed.extend(history.pools(now).cloned());
            }
        }
        changed
    }

    /// The pools at which streams of `route` can have begun that may still be taken up: its own, and those of routes
    /// that are gone and whose calls it takes now.
    pub(crate) fn pools(&self, route: &Route, now: Duration) -> BTreeSet<PoolId> {
        let key = RouteKey::new(route);
        let gone = self.gone.iter().filter(|(gone, _)| key.covers(gone));
        let histories = gone
            .map(|(_, history)| history)
            .chain(self.present.get(&key));
        let former = histories.flat_map(|history| history.pools(now));
        own_pools(route).chain(former).cloned().collect()
    }

    /// Whether `route` has taken its calls for at least `time`.
    pub(crate) fn is_known_for(&self, route: &Route, time: Duration, now: Duration) -> bool {
        let history = self.present.get(&RouteKey::new(route));
        history.is_some_and(|it| now.saturating_sub(it.known_since) >= time.min(VERSION_MEMORY))
    }
}

/// The pools to which a route sends calls.
pub(crate) fn own_pools(route: &Route) -> impl Iterator<Item = &PoolId> {
    let shares = route.shares.iter().filter(|share| share.weight > 0);
    shares.map(|share| &share.pool)
}

/// The pools of all routes of a configuration.
fn present_pools(table: &RouteTable) -> HashMap<RouteKey, BTreeSet<PoolId>> {
    let mut present = HashMap::new();
    for route in &table.config().routes {
        let pools: &mut BTreeSet<PoolId> = present.entry(RouteKey::new(route)).or_default();
        pools.extend(own_pools(route).cloned());
    }
    present
}
