//! Which instance follows which place (a store or an engine).

use {
    entry::Ownership,
    proptest::prelude::*,
    std::{collections::HashSet, net::SocketAddr},
};

fn places(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|port| ([127, 0, 0, 1], 9_000 + port).into())
        .collect()
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("entry-{index}")).collect()
}

#[test]
fn single_instance_follows_all_places() {
    let ownership = Ownership::new(places(20), &names(1));
    assert_eq!(ownership.places_of("entry-0").len(), 20);
}

#[test]
fn share_of_an_instance_shrinks_with_the_instance_count() {
    let ownership = Ownership::new(places(68), &names(31));
    let most = names(31)
        .iter()
        .map(|name| ownership.places_of(name).len())
        .max();
    assert!(most <= Some(9), "{most:?} of 68");
}

proptest! {
    #[test]
    fn each_place_has_one_owner_in_any_instance_order(count in 0_u16..40, instances in 1_usize..12, seed: u64) {
        let mut shuffled = names(instances);
        let middle = usize::try_from(seed % instances as u64).unwrap();
        shuffled.rotate_left(middle);
        let one = Ownership::new(places(count), &names(instances));
        let two = Ownership::new(places(count), &shuffled);
        prop_assert_eq!(&one, &two);
        let owned: Vec<SocketAddr> = shuffled.iter().flat_map(|name| one.places_of(name)).collect();
        let distinct: HashSet<SocketAddr> = owned.iter().copied().collect();
        prop_assert_eq!(owned.len(), usize::from(count));
        prop_assert_eq!(distinct.len(), owned.len());
    }

    #[test]
    fn removed_instance_moves_only_its_own_share(count in 1_u16..40, instances in 2_usize..12) {
        let before = Ownership::new(places(count), &names(instances));
        let after = Ownership::new(places(count), &names(instances - 1));
        let gone = format!("entry-{}", instances - 1);
        for place in places(count) {
            let owner = before.owner(place).unwrap();
            prop_assert!(*owner == gone || after.owner(place) == Some(owner));
        }
    }
}
