//! Calls in flight from other instances.

use {catalog::InstanceId, std::collections::HashMap};

/// Rendezvous seed of a target and the number of calls in flight to it from one instance.
pub type TargetLoad = (u64, u32);

/// Calls in flight from the other instances to each target, as they last reported.
///
/// An instance's own calls say little about the load of a target when thirty other instances send
/// calls there too. Targets are identified by their rendezvous seeds.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    loads_by_peer: HashMap<InstanceId, Vec<TargetLoad>>,
    in_flight_sums: HashMap<u64, u64>,
}

impl PeerLoads {
    /// Replaces the loads reported by `peer`.
    pub fn set(&mut self, peer: &str, loads: Vec<TargetLoad>) {
        self.remove(peer);
        for (target, count) in &loads {
            *self.in_flight_sums.entry(*target).or_default() += u64::from(*count);
        }
        self.loads_by_peer.insert(peer.to_owned(), loads);
    }

    /// Removes the loads of a peer that has gone or stopped reporting.
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

    /// Estimates the number of calls in flight to a target from all `instances_count` instances.
    ///
    /// `own_count` is this instance's own share. Instances without a report are assumed to have the
    /// mean of the others.
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
