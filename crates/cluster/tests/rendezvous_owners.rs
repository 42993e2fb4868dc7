//! Properties of key ownership and of the entry instances for a client account.

mod support;

use {
    cluster::{
        MAX_ENTRY_INSTANCES_COUNT, Member, MemberState, Members, OWNERS_COUNT, keys_to_hand_off,
    },
    proptest::prelude::*,
    std::collections::BTreeSet,
    support::member,
};

fn view(members: &[Member]) -> Members {
    Members::new("region-0".to_owned(), members.to_vec())
}

fn names(owners: &[&Member]) -> Vec<String> {
    owners.iter().map(|owner| owner.instance.clone()).collect()
}

fn domains<'a>(owners: &[&'a Member]) -> BTreeSet<&'a str> {
    owners
        .iter()
        .map(|owner| owner.failure_domain.as_str())
        .collect()
}

fn some_members() -> impl Strategy<Value = Vec<Member>> {
    (1_u16..6, prop::collection::btree_set(0_u16..200, 1..40)).prop_map(
        |(domains_count, indexes)| {
            indexes
                .into_iter()
                .map(|index| member(index, domains_count))
                .collect()
        },
    )
}

proptest! {
    #[test]
    fn owners_in_different_domains(members in some_members(), key: [u8; 32]) {
        let view = view(&members);
        let all: Vec<&Member> = view.iter().collect();
        let owners = view.owners(&key, OWNERS_COUNT);
        prop_assert_eq!(owners.len(), OWNERS_COUNT.min(members.len()));
        prop_assert_eq!(domains(&owners).len(), OWNERS_COUNT.min(domains(&all).len()));
    }

    #[test]
    fn only_keys_of_the_lost_member_move(members in some_members(), keys: [[u8; 4]; 8], lost: prop::sample::Index) {
        let lost = lost.get(&members).clone();
        let mut rest = members.clone();
        rest.retain(|member| *member != lost);
        let (before, after) = (view(&members), view(&rest));
        for key in keys {
            let old = before.owners(&key, OWNERS_COUNT);
            let new = after.owners(&key, OWNERS_COUNT);
            if old.contains(&&lost) {
                for survivor in old.iter().filter(|owner| ***owner != lost) {
                    prop_assert!(new.contains(survivor));
                }
            } else {
                prop_assert_eq!(names(&old), names(&new));
            }
        }
    }

    #[test]
    fn handoff_reaches_every_new_owner_once(members in some_members(), keys: [[u8; 4]; 8], leaving: prop::sample::Index) {
        let mut changed = members.clone();
        changed[leaving.index(members.len())].state = MemberState::Leaving;
        let (before, after) = (view(&members), view(&changed));
        let mut sent = Vec::new();
        for own in &members {
            for (to, batch) in keys_to_hand_off(&before, &after, &own.instance, keys) {
                sent.extend(batch.into_iter().map(|key| (to.instance.clone(), key)));
            }
        }
        let mut wanted = Vec::new();
        for key in keys {
            let old = names(&before.owners(&key, OWNERS_COUNT));
            let new = names(&after.owners(&key, OWNERS_COUNT));
            wanted.extend(new.into_iter().filter(|owner| !old.contains(owner)).map(|owner| (owner, key)));
        }
        sent.sort();
        wanted.sort();
        prop_assert_eq!(sent, wanted);
    }

    #[test]
    fn entries_are_live_and_spread(mut members in some_members(), account in "[a-z]{1,8}") {
        members[0].state = MemberState::Leaving;
        let view = view(&members);
        let live: Vec<&Member> = view.iter().filter(|member| member.is_live()).collect();
        let entries = view.entry_instances_for(&account);
        prop_assert_eq!(entries.len(), live.len().min(MAX_ENTRY_INSTANCES_COUNT));
        prop_assert!(entries.iter().all(|entry| entry.is_live()));
        let head = &entries[..entries.len().min(2)];
        prop_assert_eq!(domains(head).len(), domains(&live).len().min(2));
    }
}

#[test]
fn own_region_comes_first() {
    let mut members: Vec<Member> = (0..12).map(|index| member(index, 3)).collect();
    for remote in &mut members[..9] {
        remote.region = "region-1".to_owned();
    }
    let view = view(&members);
    let entries = view.entry_instances_for("tasboulak");
    assert_eq!(entries.len(), MAX_ENTRY_INSTANCES_COUNT);
    assert!(entries[..3].iter().all(|entry| entry.region == "region-0"));
    assert!(
        view.owners(b"key", 5)
            .iter()
            .all(|owner| owner.region == "region-0")
    );
}

#[test]
fn shares_are_even() {
    let members: Vec<Member> = (0..80).map(|index| member(index, 4)).collect();
    let view = view(&members);
    let mut owned_count = vec![0_u32; members.len()];
    for key in 0..16_000_u32 {
        for owner in view.owners(&key.to_le_bytes(), OWNERS_COUNT) {
            let index = members.iter().position(|member| member == owner).unwrap();
            owned_count[index] += 1;
        }
    }
    // The mean is 400 keys; 5 standard deviations of a binomial share are 100.
    assert!(
        owned_count.iter().all(|count| (300..500).contains(count)),
        "{owned_count:?}"
    );
}
