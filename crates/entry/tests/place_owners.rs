//! Which instance follows which place (a store or an engine).

use {
    entry::Ownership,
    proptest::prelude::*,
    std::{
        collections::{BTreeSet, HashSet},
        net::SocketAddr,
    },
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

/// Instances in three failure domains.
fn in_domains(count: usize) -> Vec<(String, String)> {
    let names = names(count).into_iter().enumerate();
    names
        .map(|(index, name)| (name, format!("domain-{}", index % 3)))
        .collect()
}

/// Places in these domains and one without instances.
fn places_in_domains(count: u16) -> Vec<(SocketAddr, String)> {
    let places = places(count).into_iter().enumerate();
    places
        .map(|(index, place)| (place, format!("domain-{}", index % 4)))
        .collect()
}

/// Guards against events that cross a boundary between failure domains though an instance is near.
#[test]
fn place_is_followed_in_its_own_domain() {
    let (places, instances) = (places_in_domains(64), in_domains(128));
    let given = || {
        places
            .iter()
            .map(|(place, domain)| (*place, domain.as_str()))
    };
    let ownership = Ownership::within_domains(given(), &instances, &BTreeSet::new());
    for (place, domain) in &places {
        let owner = ownership.owner(*place).unwrap();
        let (_, owner_domain) = instances.iter().find(|(name, _)| name == owner).unwrap();
        assert!(owner_domain == domain || domain == "domain-3");
        assert_eq!(ownership.follower(*place), Some(owner));
    }
    let in_domain = ownership.places_in("domain-1");
    assert!(in_domain.len() >= 16, "{}", in_domain.len());
    assert_eq!(ownership.places().len(), 64);
}

/// Guards against a place that every instance follows, or none, while its owner is silent.
#[test]
fn silent_owner_is_replaced_by_one_instance_of_the_domain() {
    let (places, instances) = (places_in_domains(64), in_domains(128));
    let given = || {
        places
            .iter()
            .map(|(place, domain)| (*place, domain.as_str()))
    };
    let before = Ownership::within_domains(given(), &instances, &BTreeSet::new());
    let silent: BTreeSet<String> = names(128).into_iter().step_by(3).take(30).collect();
    let after = Ownership::within_domains(given(), &instances, &silent);
    for (place, domain) in &places {
        let (owner, follower) = (after.owner(*place), after.follower(*place).unwrap());
        assert_eq!(owner, before.owner(*place), "it stays assigned");
        assert!(!silent.contains(follower));
        assert!(silent.contains(owner.unwrap()) || owner == Some(follower));
        let (_, domain_of) = instances.iter().find(|(name, _)| name == follower).unwrap();
        assert!(domain_of == domain || domain == "domain-3");
    }
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
