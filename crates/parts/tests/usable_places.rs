//! Plans use only the places that the call may use.

use {
    parts::{CachedPart, Change, PartDirectory, PromptPart, Store, part_key},
    proptest::{
        collection::{btree_set, vec},
        prelude::{any, prop_assert, proptest},
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);
const PARTS: [&str; 3] = ["system", "tools", "session"];
/// Places with a port up to this one are stores, the others engines.
const LAST_STORE_PORT: u16 = 4;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

proptest! {
    #[test]
    fn nothing_is_fetched_or_saved_elsewhere(
        held in vec((1..=8_u16, 0..PARTS.len()), 0..12),
        usable in btree_set(1..=8_u16, 0..8),
        may_save in any::<bool>(),
    ) {
        let mut directory = PartDirectory::default();
        for port in 1..=LAST_STORE_PORT {
            directory.set_store(Store::new(address(port), 500_000));
            directory.set_reported(address(port), NOW);
        }
        for (port, index) in held {
            let part = part_key("1", PARTS[index]);
            let change = Change::Held {
                place: address(port),
                parts: vec![CachedPart { part, tokens: 5_000 }],
            };
            directory.apply(&change, NOW);
        }
        let parts = PARTS.map(|id| PromptPart::new("1", id, 5_000));
        let may_use = |place: SocketAddr| usable.contains(&place.port());
        let plan = directory.plan_among(&parts, (address(9), "a"), NOW, may_save, may_use);
        let mut used = plan.fetch.iter().chain(&plan.save).flatten();
        prop_assert!(used.all(|place| may_use(*place)), "{plan:?}, usable {usable:?}");
    }
}

/// Guards against a part that is never saved in reach since a store out of reach holds it.
#[test]
fn part_that_only_another_region_holds_is_saved() {
    let mut directory = PartDirectory::default();
    for port in [1, 2] {
        directory.set_store(Store::new(address(port), 500_000));
        directory.set_reported(address(port), NOW);
    }
    let parts = vec![CachedPart {
        part: part_key("1", "system"),
        tokens: 5_000,
    }];
    directory.apply(
        &Change::Held {
            place: address(1),
            parts,
        },
        NOW,
    );
    let parts = [PromptPart::new("1", "system", 5_000)];
    let plan = directory.plan_among(&parts, (address(9), "a"), NOW, true, |it| it == address(2));
    assert_eq!(plan.fetch, [None]);
    assert_eq!(plan.save, [Some(address(2))]);
}

/// Guards against prompts that count as held although a part before the held ones has to be read.
#[test]
fn only_leading_held_parts_need_no_reading() {
    let store: SocketAddr = ([127, 0, 0, 1], 9_100).into();
    let parts =
        [("a", 500), ("b", 300), ("c", 100)].map(|(id, tokens)| PromptPart::new("s", id, tokens));
    let mut directory = PartDirectory::default();
    assert_eq!(directory.held_tokens(&parts), 0);
    let held = |index: usize| CachedPart {
        part: parts[index].part,
        tokens: parts[index].tokens,
    };
    let change = Change::Held {
        place: store,
        parts: vec![held(0), held(2)],
    };
    directory.apply(&change, Duration::ZERO);
    assert_eq!(directory.held_tokens(&parts), 500);
    let change = Change::Held {
        place: store,
        parts: vec![held(1)],
    };
    directory.apply(&change, Duration::ZERO);
    assert_eq!(directory.held_tokens(&parts), 900);
}
