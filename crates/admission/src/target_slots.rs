//! Limit on the requests in flight to each target.

use {catalog::TargetId, std::collections::HashMap};

/// Limits this instance's requests in flight to each target.
#[derive(Clone, Debug, Default)]
pub struct TargetSlots {
    in_flight_count: HashMap<TargetId, u32>,
}

impl TargetSlots {
    /// Takes a slot at `target` if fewer than `max_count` are taken, and returns whether it did.
    pub fn try_acquire(&mut self, target: &TargetId, max_count: u32) -> bool {
        let count = self.in_flight_count(target);
        if count >= max_count {
            return false;
        }
        self.in_flight_count.insert(target.clone(), count + 1);
        true
    }

    /// Frees a slot at `target`.
    pub fn release(&mut self, target: &TargetId) {
        let Some(count) = self.in_flight_count.get_mut(target) else {
            return;
        };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.in_flight_count.remove(target);
        }
    }

    /// Returns the number of slots taken at `target`.
    #[must_use]
    pub fn in_flight_count(&self, target: &TargetId) -> u32 {
        self.in_flight_count.get(target).copied().unwrap_or(0)
    }
}
