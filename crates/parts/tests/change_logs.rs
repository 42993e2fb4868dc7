//! What one instance learns of a place reaches the others, however far behind they are.

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

fn keeping() -> PartDirectory {
    let mut keeping = PartDirectory::default();
    keeping.set_store(Store::new(place(1), 50_000));
    keeping
}

/// What two instances would plan and see, part by part.
fn sees(keeping: &PartDirectory, ports: std::ops::Range<u16>) -> Vec<bool> {
    let wishes = (0..6).flat_map(|part| [10, 20].map(|tokens| PromptPart { part, tokens }));
    let wishes: Vec<PromptPart> = wishes.collect();
    let seen = ports.flat_map(|port| wishes.iter().map(move |wish| (port, *wish)));
    seen.map(|(port, wish)| keeping.holds_all(place(port), &[wish]))
        .collect()
}

#[test]
fn reader_that_is_too_far_behind_or_of_another_start_gets_no_changes() {
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
fn what_engines_never_took_back_is_forgotten_and_stores_keep_all() {
    let mut keeping = keeping();
    keeping.apply(&held(1, 1, 10), NOW);
    keeping.apply(&held(2, 1, 10), NOW);
    keeping.apply(&held(3, 1, 10), NOW + Duration::from_mins(1));
    keeping.expire(NOW + Duration::from_secs(30));
    let wish = [PromptPart {
        part: 1,
        tokens: 10,
    }];
    assert!(
        keeping.holds_all(place(1), &wish),
        "a store tells of all it drops"
    );
    assert!(!keeping.holds_all(place(2), &wish));
    assert!(keeping.holds_all(place(3), &wish));
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
    fn state_leads_another_instance_to_the_same(before in changes(), after in changes()) {
        let (mut one, mut two) = (keeping(), keeping());
        for change in &before {
            one.apply(change, NOW);
        }
        // The other one knew something else.
        for change in &after {
            two.apply(change, NOW);
        }
        let places: HashSet<SocketAddr> = (1..4).map(place).collect();
        for change in one.snapshot(&places) {
            two.apply(&change, NOW);
        }
        prop_assert_eq!(sees(&one, 1..4), sees(&two, 1..4));
    }
}
