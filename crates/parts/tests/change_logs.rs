//! Changes that one instance learns of reach the others, through the log or through a snapshot.

use {
    parts::{
        CachedPart, Change, ChangeLog, MAX_CHANGES_COUNT, PartDirectory, Position, PromptPart,
        Store,
    },
    proptest::prelude::*,
    std::{collections::HashSet, net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn place(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn held(place_port: u16, part: u64, tokens: u32) -> Change {
    Change::Held {
        place: place(place_port),
        parts: vec![CachedPart { part, tokens }],
    }
}

fn directory() -> PartDirectory {
    let mut directory = PartDirectory::default();
    directory.set_store(Store::new(place(1), 50_000));
    directory
}

/// For each place, part and length, whether the directory shows that the place holds it.
fn known_parts(directory: &PartDirectory, ports: std::ops::Range<u16>) -> Vec<bool> {
    let prompt_parts = (0..6).flat_map(|part| [10, 20].map(|tokens| PromptPart { part, tokens }));
    let prompt_parts: Vec<PromptPart> = prompt_parts.collect();
    let queries = ports.flat_map(|port| {
        prompt_parts
            .iter()
            .map(move |prompt_part| (port, *prompt_part))
    });
    queries
        .map(|(port, prompt_part)| directory.holds_all(place(port), &[prompt_part]))
        .collect()
}

#[test]
fn reader_too_far_behind_or_of_another_log_gets_no_changes() {
    let mut log = ChangeLog::new(7);
    let begin = log.position();
    log.push(held(1, 1, 10));
    assert_eq!(log.since(begin), Some(vec![held(1, 1, 10)]));
    assert_eq!(log.since(Position { start: 8, ..begin }), None);
    let ahead = Position {
        next: 5,
        ..log.position()
    };
    assert_eq!(log.since(ahead), None);
    for _ in 0..MAX_CHANGES_COUNT {
        log.push(held(1, 2, 10));
    }
    assert_eq!(log.since(begin), None, "the first change is gone");
    assert_eq!(log.since(log.position()), Some(Vec::new()));
}

#[test]
fn expiry_drops_parts_of_engines_but_not_of_stores() {
    let mut directory = directory();
    directory.apply(&held(1, 1, 10), NOW);
    directory.apply(&held(2, 1, 10), NOW);
    directory.apply(&held(3, 1, 10), NOW + Duration::from_mins(1));
    directory.expire(NOW + Duration::from_secs(30));
    let prompt_parts = [PromptPart {
        part: 1,
        tokens: 10,
    }];
    assert!(
        directory.holds_all(place(1), &prompt_parts),
        "a store reports every part that it drops"
    );
    assert!(!directory.holds_all(place(2), &prompt_parts));
    assert!(directory.holds_all(place(3), &prompt_parts));
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let change = prop_oneof![
        8 => (1_u16..4, 0_u64..6, 0_u32..25).prop_map(|(port, part, tokens)| held(port, part, tokens)),
        1 => (1_u16..4).prop_map(|port| Change::Cleared { place: place(port) }),
        1 => any::<bool>().prop_map(|available| Change::Available { place: place(1), available }),
    ];
    prop::collection::vec(change, 0..60)
}

proptest! {
    #[test]
    fn snapshot_brings_another_instance_to_the_same_state(before in changes(), after in changes()) {
        let (mut source, mut receiver) = (directory(), directory());
        for change in &before {
            source.apply(change, NOW);
        }
        // The receiver starts from a different state.
        for change in &after {
            receiver.apply(change, NOW);
        }
        let places: HashSet<SocketAddr> = (1..4).map(place).collect();
        for change in source.snapshot(&places) {
            receiver.apply(&change, NOW);
        }
        prop_assert_eq!(known_parts(&source, 1..4), known_parts(&receiver, 1..4));
    }
}
