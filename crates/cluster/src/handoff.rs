//! Decides which instance sends which keys to their new owners when ownership changes.

use {
    crate::{Member, MemberState, Members},
    std::collections::BTreeMap,
};

/// Number of owners of each key.
pub const OWNERS_COUNT: usize = 2;

/// Returns the keys that the instance `own` must send to their new owners after the view changed
/// from `before` to `after`, grouped by new owner.
///
/// Exactly one old owner sends a key: the first one that still owns it, otherwise the first one
/// that is still reachable, which is one that is leaving. Keys that another instance sends are left
/// out, and so are keys whose old owners are all gone. The caller chooses the batch size.
#[must_use]
pub fn keys_to_hand_off<'a, Key, Keys>(
    before: &Members,
    after: &'a Members,
    own: &str,
    keys: Keys,
) -> Vec<(&'a Member, Vec<Key>)>
where
    Key: AsRef<[u8]> + Clone,
    Keys: IntoIterator<Item = Key>,
{
    let mut batches: BTreeMap<&str, (&'a Member, Vec<Key>)> = BTreeMap::new();
    for key in keys {
        let old_owners = before.owners(key.as_ref(), OWNERS_COUNT);
        let new_owners = after.owners(key.as_ref(), OWNERS_COUNT);
        if handoff_sender(&old_owners, &new_owners, after) != Some(own) {
            continue;
        }
        for owner in new_owners
            .into_iter()
            .filter(|owner| !contains_instance(&old_owners, owner))
        {
            let (_, batch) = batches
                .entry(&owner.instance)
                .or_insert_with(|| (owner, Vec::new()));
            batch.push(key.clone());
        }
    }
    batches.into_values().collect()
}

/// Returns the old owner that sends a key to its new owners, if any is left.
fn handoff_sender<'a>(
    old_owners: &[&'a Member],
    new_owners: &[&Member],
    after: &Members,
) -> Option<&'a str> {
    let is_reachable = |owner: &Member| {
        after
            .get(&owner.instance)
            .is_some_and(|member| member.state != MemberState::Suspect)
    };
    old_owners
        .iter()
        .find(|owner| contains_instance(new_owners, owner))
        .or_else(|| old_owners.iter().find(|owner| is_reachable(owner)))
        .map(|owner| owner.instance.as_str())
}

fn contains_instance(members: &[&Member], owner: &Member) -> bool {
    members
        .iter()
        .any(|member| member.instance == owner.instance)
}
