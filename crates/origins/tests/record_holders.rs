//! Which instances keep the origin of a stream, and which are asked for it.

use {
    balance::rendezvous::member_seed,
    origins::{ASKED_COUNT, HOLDERS_COUNT, holders},
    proptest::prelude::*,
};

/// The instances but `left_out`, with their seeds.
fn others(count: usize, left_out: &[usize]) -> Vec<(u64, usize)> {
    let others = (0..count).filter(|index| !left_out.contains(index));
    others
        .map(|index| (member_seed(&format!("entry-{index}")), index))
        .collect()
}

proptest! {
    #[test]
    fn instance_that_asks_reaches_every_holder(
        key: u64,
        count in 2_usize..12,
        origin in 0_usize..12,
        asking in 0_usize..12,
    ) {
        prop_assume!(origin < count && asking < count && origin != asking);
        let asked = holders(key, &others(count, &[asking]), ASKED_COUNT);
        for holder in holders(key, &others(count, &[origin]), HOLDERS_COUNT) {
            prop_assert!(holder == asking || asked.contains(&holder));
        }
    }

    #[test]
    fn a_holder_is_asked_after_any_one_instance_has_gone(
        key: u64,
        count in 3_usize..12,
        gone in 0_usize..12,
        asking in 0_usize..12,
    ) {
        prop_assume!(gone < count && asking < count && gone != asking);
        // The instance that began the stream is the one that has gone.
        let held = holders(key, &others(count, &[gone]), HOLDERS_COUNT);
        let asked = holders(key, &others(count, &[gone, asking]), ASKED_COUNT);
        prop_assert!(held.contains(&asking) || held.iter().any(|holder| asked.contains(holder)));
    }
}
