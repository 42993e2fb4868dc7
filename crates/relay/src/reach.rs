//! Where one call may go: the only way from a call to targets, other instances and places of prompt parts.

use {
    crate::{Peer, TargetState, View},
    catalog::RegionId,
    parts::{PartKey, part_key},
    routes::{Homes, PoolKind, Regions},
    std::{net::SocketAddr, sync::Arc},
};

/// Where one call may go, by its homes.
#[derive(Clone, Debug)]
pub(crate) struct Reach<'view> {
    /// Homes of the call.
    pub(crate) homes: Homes,
    /// Regions of the failure domains.
    pub(crate) regions: &'view Regions,
    /// The current view.
    pub(crate) view: &'view View,
}

impl<'view> Reach<'view> {
    /// The targets of a pool that the call may reach now: those in its homes, outside evacuated failure
    /// domains.
    pub(crate) fn targets(&self, pool: &str) -> impl Iterator<Item = &'view Arc<TargetState>> {
        let targets = self.targets_in_homes(pool);
        targets.filter(|target| !self.view.is_evacuated(target))
    }

    /// The targets of a pool in the call's homes, also those in evacuated failure domains.
    pub(crate) fn targets_in_homes(
        &self,
        pool: &str,
    ) -> impl Iterator<Item = &'view Arc<TargetState>> {
        let targets = self.view.pools.get(pool).into_iter().flatten();
        targets.filter(|target| self.homes.allow(self.regions, &target.failure_domain))
    }

    /// Whether a pool has targets, but none in the call's homes.
    pub(crate) fn leaves_none_of(&self, pool: &str) -> bool {
        let targets = self.view.pools.get(pool);
        targets.is_some_and(|it| !it.is_empty()) && self.targets_in_homes(pool).next().is_none()
    }

    /// The instances that may answer the call, this one among them.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &'view Peer> {
        let peers = self.view.peers.iter();
        peers.filter(|peer| self.homes.allow(self.regions, &peer.failure_domain))
    }

    /// Whether parts of the call's prompt may be fetched from the engine or store at `address`, or
    /// saved there.
    pub(crate) fn has_place(&self, address: SocketAddr) -> bool {
        if self.is_evacuated_target(address) {
            return false;
        }
        if self.homes.regions().is_none() {
            return true;
        }
        let domain = self.failure_domain(address);
        domain.is_some_and(|domain| self.homes.allow(self.regions, domain))
    }

    /// Whether the place is a target in an evacuated failure domain. Stores there are still used.
    fn is_evacuated_target(&self, address: SocketAddr) -> bool {
        if self.view.evacuated_domains.is_empty() {
            return false;
        }
        let mut targets = self.view.pools.values().flatten();
        targets.any(|it| it.address == address && self.view.is_evacuated(it))
    }

    /// Failure domain of an engine or store.
    fn failure_domain(&self, address: SocketAddr) -> Option<&'view str> {
        let table = self.view.route_table.as_ref();
        let pools = table.into_iter().flat_map(|it| it.config().pools.values());
        let stores = pools.filter_map(|pool| match &pool.kind {
            PoolKind::Store(store) => Some((store.address, store.failure_domain.as_str())),
            PoolKind::Engine(_) | PoolKind::Service => None,
        });
        let targets = self.view.pools.values().flatten();
        let targets = targets.map(|it| (it.address, it.failure_domain.as_str()));
        let mut places = stores.chain(targets);
        let place = places.find(|(place, _)| *place == address);
        place.map(|(_, failure_domain)| failure_domain)
    }
}

/// Digest of a call's homes; `None` if it has none.
pub(crate) fn homes_digest(homes: &Homes) -> Option<PartKey> {
    let regions = homes.regions()?.iter();
    Some(regions.fold(0, |digest: PartKey, region: &RegionId| {
        part_key(&digest.to_string(), region)
    }))
}
