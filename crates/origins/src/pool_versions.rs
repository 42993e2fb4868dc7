//! The software versions that serve in each pool, and those that did a short while ago.

use {
    crate::Origin,
    catalog::SoftwareVersion,
    std::{collections::HashMap, time::Duration},
};

/// Time for which a version whose last target is gone may have begun streams that are still taken
/// up. Longer than callers wait for a stream.
pub const VERSION_MEMORY: Duration = Duration::from_mins(1);

/// Where streams of some pools can have begun.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PossibleOrigins {
    /// Nowhere, as far as is known.
    None,
    /// Only here.
    One(Origin),
    /// At more than one pool or software version.
    Several,
}

/// Software versions by pool. Times are by one clock of the caller's choice.
#[derive(Clone, Debug, Default)]
pub struct PoolVersions {
    pools: HashMap<String, Pool>,
}

#[derive(Clone, Debug)]
struct Pool {
    /// When the pool was first seen.
    known_since: Duration,
    /// When the last target of each version left; `None` while there is one.
    left_at: HashMap<SoftwareVersion, Option<Duration>>,
}

impl Pool {
    /// The versions that served within the last [`VERSION_MEMORY`].
    fn versions(&self, now: Duration) -> impl Iterator<Item = &SoftwareVersion> {
        let recent = self.left_at.iter();
        let recent = recent.filter(move |(_, left_at)| is_recent(**left_at, now));
        recent.map(|(version, _)| version)
    }
}

fn is_recent(left_at: Option<Duration>, now: Duration) -> bool {
    left_at.is_none_or(|left_at| now.saturating_sub(left_at) < VERSION_MEMORY)
}

impl PoolVersions {
    /// Takes over the pool and software version of each target that is known now. Returns the pools
    /// that have more than one version since this call.
    pub fn observe<'target, Targets>(&mut self, targets: Targets, now: Duration) -> Vec<String>
    where
        Targets: Iterator<Item = (&'target str, &'target str)>,
    {
        for pool in self.pools.values_mut() {
            pool.left_at.retain(|_, left_at| is_recent(*left_at, now));
        }
        let mixed_before: Vec<String> = self.mixed_pools(now);
        for left_at in self
            .pools
            .values_mut()
            .flat_map(|it| it.left_at.values_mut())
        {
            left_at.get_or_insert(now);
        }
        for (pool, version) in targets {
            self.add(pool, version, now);
        }
        let mixed = self.mixed_pools(now).into_iter();
        mixed.filter(|pool| !mixed_before.contains(pool)).collect()
    }

    /// Whether streams of these pools can have begun at more than one pool or software version.
    #[must_use]
    pub fn is_mixed<'pool, Pools>(&self, pools: Pools, now: Duration) -> bool
    where
        Pools: Iterator<Item = &'pool String>,
    {
        self.possible_origins(pools, now) == PossibleOrigins::Several
    }

    /// Where streams of these pools can have begun that may still be taken up.
    #[must_use]
    pub fn possible_origins<'pool, Pools>(&self, pools: Pools, now: Duration) -> PossibleOrigins
    where
        Pools: Iterator<Item = &'pool String>,
    {
        let known = pools.filter_map(|name| Some((name, self.pools.get(name)?)));
        let mut origins = known.flat_map(|(name, pool)| {
            let versions = pool.versions(now);
            versions.map(move |version| (name, version))
        });
        match (origins.next(), origins.next()) {
            (None, _) => PossibleOrigins::None,
            (Some((pool, version)), None) => PossibleOrigins::One(Origin {
                pool: pool.clone(),
                software_version: version.clone(),
            }),
            (Some(_), Some(_)) => PossibleOrigins::Several,
        }
    }

    /// Whether these pools have been known for at least `time`, so that no version which left before can have begun
    /// a stream that callers may take up for so long.
    #[must_use]
    pub fn is_history_known<'pool, Pools>(
        &self,
        mut pools: Pools,
        time: Duration,
        now: Duration,
    ) -> bool
    where
        Pools: Iterator<Item = &'pool String>,
    {
        let first_since = self.pools.values().map(|it| it.known_since).min();
        pools.all(|pool| {
            let known_since = self.pools.get(pool).map(|it| it.known_since);
            // A pool that never had a target is empty for as long as any other one is known.
            let known_since = known_since.or(first_since).unwrap_or(now);
            now.saturating_sub(known_since) >= time.min(VERSION_MEMORY)
        })
    }

    fn add(&mut self, pool: &str, version: &str, now: Duration) {
        if !self.pools.contains_key(pool) {
            let known = Pool {
                known_since: now,
                left_at: HashMap::new(),
            };
            self.pools.insert(pool.to_owned(), known);
        }
        if let Some(known) = self.pools.get_mut(pool) {
            match known.left_at.get_mut(version) {
                Some(left_at) => *left_at = None,
                None => drop(known.left_at.insert(version.to_owned(), None)),
            }
        }
    }

    fn mixed_pools(&self, now: Duration) -> Vec<String> {
        let pools = self.pools.iter();
        let mixed = pools.filter(|(_, pool)| pool.versions(now).count() > 1);
        mixed.map(|(name, _)| name.clone()).collect()
    }
}
