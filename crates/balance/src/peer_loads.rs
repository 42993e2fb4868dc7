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
    loads_by_peer: HashMap<InstanceId, Vec<TargetLoad>>,
    in_flight_sums: HashMap<u64, u64>,
}

impl PeerLoads {
    /// Takes in all that `peer` has under way.
    pub fn set(&mut self, peer: &str, loads: Vec<TargetLoad>) {
        self.remove(peer);
        for (target, count) in &loads {
            *self.in_flight_sums.entry(*target).or_default() += u64::from(*count);
        }
        self.loads_by_peer.insert(peer.to_owned(), loads);
    }

    /// Forgets a peer that is gone or silent.
    pub fn remove(&mut self, peer: &str) {
        for (target, count) in self.loads_by_peer.remove(peer).unwrap_or_default() {
            let Some(sum) = self.in_flight_sums.get_mut(&target) else {
                continue;
            };
            *sum = sum.saturating_sub(u64::from(count));
            if *sum == 0 {
                self.in_flight_sums.remove(&target);
            }
        }
    }

    /// Calls under way at a target, of which this instance has `own_count`, if `instances_count`
    /// instances send calls. Those that have told nothing are taken to be like the others.
    #[must_use]
    pub fn estimate_in_flight(&self, target: u64, own_count: u32, instances_count: u32) -> f64 {
        let reported = self
            .in_flight_sums
            .get(&target)
            .copied()
            .unwrap_or_default()
            + u64::from(own_count);
        let reporting_count = self.loads_by_peer.len() + 1;
        #[allow(clippy::cast_precision_loss)]
        let extrapolation_factor = f64::from(instances_count) / reporting_count as f64;
        #[allow(clippy::cast_precision_loss)]
        let reported = reported as f64;
        reported * extrapolation_factor.max(1.0)
    }
}
