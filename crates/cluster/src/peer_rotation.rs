//! Random order in which peers get heartbeats.

use {
    crate::Member,
    catalog::InstanceId,
    rand::{Rng, seq::SliceRandom},
    std::collections::BTreeMap,
};

/// Members by name.
pub(crate) type MembersByName<'a> = BTreeMap<&'a InstanceId, &'a Member>;

/// Random order of members in which each is picked once before any is picked again.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerRotation {
    /// Members still to pick in this rotation; the next one is last.
    order: Vec<InstanceId>,
}

impl PeerRotation {
    /// Adds members to `chosen` until it holds `wanted_count`, or no member is left.
    pub(crate) fn fill<Random>(
        &mut self,
        chosen: &mut Vec<Member>,
        wanted_count: usize,
        members: &MembersByName<'_>,
        random: &mut Random,
    ) where
        Random: Rng,
    {
        if self.order.len() < wanted_count {
            self.refill(members, random);
        }
        while chosen.len() < wanted_count {
            let Some(instance) = self.order.pop() else {
                return;
            };
            let Some(member) = members.get(&instance) else {
                continue;
            };
            if !chosen.contains(member) {
                chosen.push((*member).clone());
            }
        }
    }

    /// Queues all other members in random order after those that are still to be picked.
    fn refill<Random>(&mut self, members: &MembersByName<'_>, random: &mut Random)
    where
        Random: Rng,
    {
        let mut order: Vec<InstanceId> = members
            .keys()
            .filter(|instance| !self.order.contains(instance))
            .map(|instance| (*instance).clone())
            .collect();
        order.shuffle(random);
        order.append(&mut self.order);
        self.order = order;
    }
}
