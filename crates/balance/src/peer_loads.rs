//! Calls that other instances have under way.

use {catalog::InstanceId, std::collections::HashMap};

/// Calls that one instance has under way at a target.
pub type TargetLoad = (u64, u32);

/// Calls that the other instances have under way at each target, as they last told.
///
/// Answers many instances: what one of them has under way itself says little of a target when
/// thirty others send calls there too. Targets are known by their rendezvous seeds.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    by_peer: HashMap<InstanceId, Vec<TargetLoad>>,
    sums: HashMap<u64, u64>,
}

impl PeerLoads {
    /// Takes in all that `peer` has under way.
    pub fn set(&mut self, peer: &str, loads: Vec<TargetLoad>) {
        self.remove(peer);
        for (target, count) in &loads {
            *self.sums.entry(*target).or_default() += u64::from(*count);
        }
        self.by_peer.insert(peer.to_owned(), loads);
    }

    /// Forgets a peer that is gone or silent.
    pub fn remove(&mut self, peer: &str) {
        for (target, count) in self.by_peer.remove(peer).unwrap_or_default() {
            let Some(sum) = self.sums.get_mut(&target) else {
                continue;
            };
            *sum = sum.saturating_sub(u64::from(count));
            if *sum == 0 {
                self.sums.remove(&target);
            }
        }
    }

    /// Calls under way at a target, of which this instance has `own_count`, if `instances_count`
    /// instances send calls. Those that have told nothing are taken to be like the others.
    #[must_use]
    pub fn estimate_in_flight(&self, target: u64, own_count: u32, instances_count: u32) -> f64 {
        let told = self.sums.get(&target).copied().unwrap_or_default() + u64::from(own_count);
        let telling_count = self.by_peer.len() + 1;
        #[allow(clippy::cast_precision_loss)]
        let silent_factor = f64::from(instances_count) / telling_count as f64;
        #[allow(clippy::cast_precision_loss)]
        let told = told as f64;
        told * silent_factor.max(1.0)
    }
}
