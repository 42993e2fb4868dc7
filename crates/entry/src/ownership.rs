//! Assigns each place (a store or an engine) to the instance that follows it.
//!
//! A store or an engine serves only a few requests at a time, so one instance polls it and the
//! other instances read that instance's feed.

use {
    balance::rendezvous,
    catalog::{FailureDomainId, InstanceId},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
    },
};

/// An instance that follows a place.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Follower {
    instance: InstanceId,
    failure_domain: FailureDomainId,
}

/// Maps each place to the instance that it is assigned to, its owner, and to the one that follows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ownership {
    owners: HashMap<SocketAddr, InstanceId>,
    followers: HashMap<SocketAddr, Follower>,
}

impl Ownership {
    /// Assigns `places` to `instances` by rendezvous hashing: instances with the same view agree,
    /// and an instance that joins or leaves moves only its own share.
    #[must_use]
    pub fn new<Places>(places: Places, instances: &[InstanceId]) -> Self
    where
        Places: IntoIterator<Item = SocketAddr>,
    {
        let of_no_domain = |name: &InstanceId| (name.clone(), FailureDomainId::default());
        let instances: Vec<_> = instances.iter().map(of_no_domain).collect();
        let places = places.into_iter().map(|place| (place, ""));
        Self::within_domains(places, &instances, &BTreeSet::new())
    }

    /// Assigns `places` as [`Ownership::new`] does, each to an instance of its own failure domain if
    /// there is one, so that its events stay there. A place whose owner is among the `silent` instances
    /// is followed by the next instance in rendezvous order that is not.
    #[must_use]
    pub fn within_domains<'domain, Places>(
        places: Places,
        instances: &[(InstanceId, FailureDomainId)],
        silent: &BTreeSet<InstanceId>,
    ) -> Self
    where
        Places: IntoIterator<Item = (SocketAddr, &'domain str)>,
    {
        let seeds: Vec<u64> = instances
            .iter()
            .map(|(name, _)| rendezvous::member_seed(name))
            .collect();
        let mut ownership = Self::default();
        for (place, domain) in places {
            let key = rendezvous::key_seed(place.to_string().as_bytes());
            let rank = |index: &usize| {
                let (name, failure_domain) = &instances[*index];
                let is_near = failure_domain == domain;
                (is_near, rendezvous::score(key, seeds[*index]), name)
            };
            let owner = (0..instances.len()).max_by_key(rank);
            let follower = (0..instances.len()).max_by_key(|index| {
                let (is_near, score, name) = rank(index);
                let is_silent = silent.contains(name);
                (Reverse(is_silent), is_near, score, name)
            });
            if let Some((owner, follower)) = owner.zip(follower) {
                ownership.owners.insert(place, instances[owner].0.clone());
                let (instance, failure_domain) = instances[follower].clone();
                let follower = Follower {
                    instance,
                    failure_domain,
                };
                ownership.followers.insert(place, follower);
            }
        }
        ownership
    }

    /// Returns the instance that `place` is assigned to.
    #[must_use]
    pub fn owner(&self, place: SocketAddr) -> Option<&InstanceId> {
        self.owners.get(&place)
    }

    /// Returns the instance that follows `place`: its owner, or another one while that is silent.
    #[must_use]
    pub fn follower(&self, place: SocketAddr) -> Option<&InstanceId> {
        let follower = self.followers.get(&place);
        follower.map(|follower| &follower.instance)
    }

    /// Returns the places that `instance` follows.
    #[must_use]
    pub fn places_of(&self, instance: &str) -> HashSet<SocketAddr> {
        self.places_where(|follower| follower.instance == instance)
    }

    /// Returns the places that instances of a failure domain follow.
    #[must_use]
    pub fn places_in(&self, failure_domain: &str) -> HashSet<SocketAddr> {
        self.places_where(|follower| follower.failure_domain == failure_domain)
    }

    /// Returns all places.
    #[must_use]
    pub fn places(&self) -> HashSet<SocketAddr> {
        self.places_where(|_| true)
    }

    fn places_where<Wanted>(&self, is_wanted: Wanted) -> HashSet<SocketAddr>
    where
        Wanted: Fn(&Follower) -> bool,
    {
        let followed = self.followers.iter();
        let wanted = followed.filter(|(_, follower)| is_wanted(follower));
        wanted.map(|(place, _)| *place).collect()
    }
}
