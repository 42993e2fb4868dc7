//! Which places a reader of a feed requests. Guards against an answer that holds the whole state of
//! all places at once, and against a place whose changes are read without its whole state.

use {
    entry::{MAX_ADDED_COUNT, ReadPlaces},
    proptest::prelude::*,
    std::{
        collections::{BTreeSet, HashSet},
        net::SocketAddr,
    },
};

fn place(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + port).into()
}

fn places(ports: impl IntoIterator<Item = u16>) -> HashSet<SocketAddr> {
    ports.into_iter().map(place).collect()
}

#[test]
fn places_are_requested_in_groups() {
    let mut read = ReadPlaces::default();
    let wanted = places(0..10);
    let mut added_counts = Vec::new();
    loop {
        let group = read.next_group(&wanted);
        read.complete(&group, false);
        added_counts.push(group.added.len());
        if !group.has_more {
            break;
        }
    }
    assert_eq!(added_counts, [4, 4, 2]);
    assert_eq!(read.next_group(&wanted).known, wanted);
}

#[test]
fn places_are_requested_again_after_a_reset() {
    let mut read = ReadPlaces::default();
    let wanted = places(0..3);
    read.complete(&read.next_group(&wanted), true);
    let group = read.next_group(&wanted);
    assert_eq!(group.added, [], "the first answer has their whole state");
    read.complete(&group, true);
    assert!(!read.contains(place(0)));
    assert_eq!(read.next_group(&wanted).added.len(), 3);
}

proptest! {
    /// A place counts as read only if its whole state was requested and it has been wanted, without a
    /// reset, ever since.
    #[test]
    fn known_places_were_added_before(
        steps in prop::collection::vec((prop::collection::hash_set(0_u16..12, 0..12), any::<bool>()), 1..30)
    ) {
        let mut read = ReadPlaces::default();
        let mut whole: BTreeSet<SocketAddr> = BTreeSet::new();
        for (wanted, is_reset) in steps {
            let wanted = places(wanted);
            let group = read.next_group(&wanted);
            whole.retain(|place| wanted.contains(place));
            prop_assert_eq!(&group.known, &whole.iter().copied().collect());
            prop_assert!(group.added.len() <= MAX_ADDED_COUNT);
            prop_assert!(group.added.iter().all(|place| !whole.contains(place)));
            prop_assert_eq!(
                group.has_more,
                whole.len() + group.added.len() < wanted.len()
            );
            read.complete(&group, is_reset);
            if is_reset {
                whole.clear();
            }
            whole.extend(&group.added);
        }
    }
}
