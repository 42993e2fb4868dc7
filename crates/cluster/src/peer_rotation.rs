//! Takes peers in random turns.

use {
    crate::Member,
    catalog::InstanceId,
    rand::{Rng, seq::SliceRandom},
    std::collections::BTreeMap,
};

/// Members by name.
pub(crate) type MembersByName<'a> = BTreeMap<&'a InstanceId, &'a Member>;

/// A random order in which every member gets its turn before any gets a second one.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerRotation {
    /// The next turn is at the end.
    order: Vec<InstanceId>,
}

impl PeerRotation {
    /// Adds members to `chosen` until it holds `goal`, or all that there are.
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

    /// Puts members without a turn behind those that still have one.
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
