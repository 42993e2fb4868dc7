//! Queue of membership changes to pass on to peers.

use {catalog::InstanceId, std::collections::BTreeMap};

/// Maximum number of queued changes in one message.
pub const MAX_UPDATES_COUNT: usize = 8;
/// Each change is sent this many times the binary logarithm of the number of members (rounded down)
/// plus one.
const RETRANSMIT_FACTOR: u32 = 3;

/// Instances with recent changes, and how often each change is still to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpdateQueue {
    remaining_sends: BTreeMap<InstanceId, u32>,
}

impl UpdateQueue {
    /// Queues a change of `instance` among `members_count` members.
    pub(crate) fn add(&mut self, instance: &str, members_count: usize) {
        let log2_members = members_count.max(2).ilog2() + 1;
        self.remaining_sends
            .insert(instance.to_owned(), log2_members * RETRANSMIT_FACTOR);
    }

    /// Takes the instances for the next message, those with the most remaining sends first, and
    /// counts one send for each.
    pub(crate) fn take_next(&mut self) -> Vec<InstanceId> {
        let mut chosen: Vec<(u32, InstanceId)> = self
            .remaining_sends
            .iter()
            .map(|(instance, remaining)| (*remaining, instance.clone()))
            .collect();
        chosen.sort_by(|left, right| right.cmp(left));
        chosen.truncate(MAX_UPDATES_COUNT);
        for (remaining, instance) in &chosen {
            if *remaining > 1 {
                self.remaining_sends.insert(instance.clone(), remaining - 1);
            } else {
                self.remaining_sends.remove(instance);
            }
        }
        chosen.into_iter().map(|(_, instance)| instance).collect()
    }
}
