//! Assigns each place (a store or an engine) to the instance that follows it.
//!
//! A store or an engine serves only a few requests at a time, so one instance polls it and the
//! other instances read that instance's feed.

use {
    balance::rendezvous,
    catalog::InstanceId,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Maps each place to the instance that follows it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Ownership {
    owners: HashMap<SocketAddr, InstanceId>,
}

impl Ownership {
    /// Assigns `places` to `instances` by rendezvous hashing: instances with the same view agree,
    /// and an instance that joins or leaves moves only its own share.
    #[must_use]
    pub fn new<Places>(places: Places, instances: &[InstanceId]) -> Self
    where
        Places: IntoIterator<Item = SocketAddr>,
    {
        let seeds: Vec<u64> = instances
            .iter()
            .map(|name| rendezvous::member_seed(name))
            .collect();
        let owner = |place: SocketAddr| {
            let key = rendezvous::key_seed(place.to_string().as_bytes());
            let best = (0..instances.len()).max_by_key(|index| {
                let score = rendezvous::score(key, seeds[*index]);
                (score, &instances[*index])
            });
            best.map(|index| (place, instances[index].clone()))
        };
        Self {
            owners: places.into_iter().filter_map(owner).collect(),
        }
    }

    /// Returns the instance that follows `place`.
    #[must_use]
    pub fn owner(&self, place: SocketAddr) -> Option<&InstanceId> {
        self.owners.get(&place)
    }

    /// Returns the places that `instance` follows.
    #[must_use]
    pub fn places_of(&self, instance: &str) -> HashSet<SocketAddr> {
        let owned = self.owners.iter().filter(|(_, owner)| *owner == instance);
        owned.map(|(place, _)| *place).collect()
    }
}
