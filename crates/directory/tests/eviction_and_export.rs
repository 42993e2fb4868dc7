//! Which copies a full store evicts, and which blocks are exported.

use {
    directory::{Directory, ExportPolicy, PromptBlocks, StoreState, StoreWrite, Victim},
    prefix::BlockKey,
    proptest::prelude::*,
    std::time::Duration,
};

const BLOCK_BYTES: u64 = 1_048_576;
const STORE: &str = "store-a";

fn keys(prompt: u8, count: u8) -> Vec<BlockKey> {
    (0..count)
        .map(|depth| [prompt, depth].repeat(16).try_into().unwrap())
        .collect()
}

fn record_use(directory: &mut Directory, account: &str, keys: &[BlockKey], at_s: u64) {
    let prompt = PromptBlocks {
        client_account: &account.to_owned(),
        keys,
        block_bytes: BLOCK_BYTES,
        block_recompute: Duration::from_millis(500),
    };
    directory.record_use(&prompt, Duration::from_secs(at_s));
}

fn store_prompt(directory: &mut Directory, account: &str, keys: &[BlockKey], at_s: u64) {
    record_use(directory, account, keys, at_s);
    for key in keys {
        let write = StoreWrite {
            key: *key,
            target: STORE.into(),
            generation: 1,
            size_bytes: BLOCK_BYTES,
            client_account: account.into(),
        };
        assert!(adopt(directory, &write, Duration::from_secs(at_s)));
    }
}

fn adopt(directory: &mut Directory, write: &StoreWrite, now: Duration) -> bool {
    directory.adopt_listed_copy(write, now, now)
}

fn victims(directory: &Directory, blocks_count: u64, at_s: u64) -> Vec<Victim> {
    let wanted_bytes = blocks_count * BLOCK_BYTES;
    directory.victims(
        &STORE.to_owned(),
        wanted_bytes,
        |_| 1,
        Duration::from_secs(at_s),
    )
}

#[test]
fn eviction_takes_from_the_account_above_its_share() {
    let mut directory = Directory::default();
    store_prompt(&mut directory, "small", &keys(1, 4), 0);
    for prompt in 2..6 {
        store_prompt(&mut directory, "large", &keys(prompt, 5), 1);
    }
    let evicted = victims(&directory, 16, 10);
    assert_eq!(evicted.len(), 16);
    assert!(
        evicted
            .iter()
            .all(|it| it.client_account.as_deref() == Some("large"))
    );
    assert_eq!(
        directory.account_used_bytes(&STORE.to_owned(), &"small".to_owned()),
        4 * BLOCK_BYTES
    );
}

#[test]
fn reused_blocks_are_evicted_last() {
    let mut directory = Directory::default();
    store_prompt(&mut directory, "kitchens", &keys(1, 3), 0);
    store_prompt(&mut directory, "kitchens", &keys(2, 3), 90);
    record_use(&mut directory, "kitchens", &keys(1, 3), 100);
    let evicted = victims(&directory, 3, 110);
    assert!(evicted.iter().all(|it| keys(2, 3).contains(&it.copy.key)));
    assert_eq!(
        evicted[0].copy.key,
        keys(2, 3)[2],
        "the end of a prompt goes first"
    );
}

#[test]
fn exports_skip_existing_copies_and_spread_over_stores() {
    let stores = ["store-a", "store-b"].map(|name| StoreState {
        target: name.into(),
        failure_domain: format!("domain of {name}"),
        capacity_bytes: 1_000 * BLOCK_BYTES,
        used_bytes: 0,
        link_budget_bytes: 3 * BLOCK_BYTES,
    });
    let mut directory = Directory::default();
    let account = "kitchens".to_owned();
    let mut first_store_count = 0;
    for number in 0..100 {
        let keys = keys(number, 4);
        record_use(&mut directory, &account, &keys, 1);
        let prompt = PromptBlocks {
            client_account: &account,
            keys: &keys,
            block_bytes: BLOCK_BYTES,
            block_recompute: Duration::from_millis(500),
        };
        let now = Duration::from_secs(1);
        let plans = directory.plan_exports(&prompt, &stores, &ExportPolicy::default(), now);
        assert_eq!(plans.len(), 1);
        assert_eq!(plans[0].keys, keys[..3], "the link budget ends the plan");
        first_store_count += usize::from(plans[0].store == "store-a");
        for key in &keys {
            let write = StoreWrite {
                key: *key,
                target: plans[0].store.clone(),
                generation: 1,
                size_bytes: BLOCK_BYTES,
                client_account: account.clone(),
            };
            adopt(&mut directory, &write, now);
        }
        let again = directory.plan_exports(&prompt, &stores, &ExportPolicy::default(), now);
        assert!(again.is_empty(), "one copy is enough");
        let two_replicas = ExportPolicy {
            replicas_count: 2,
            ..ExportPolicy::default()
        };
        let replica = &directory.plan_exports(&prompt, &stores, &two_replicas, now)[0];
        assert_ne!(replica.store, plans[0].store);
        assert_eq!(replica.priority, 0);
        let expensive = ExportPolicy {
            min_saved_s_per_mebibyte: 0.6,
            ..two_replicas
        };
        assert!(
            directory
                .plan_exports(&prompt, &stores, &expensive, now)
                .is_empty()
        );
    }
    assert!(
        (25..=75).contains(&first_store_count),
        "{first_store_count} of 100 on one of two stores"
    );
}

proptest! {
    #[test]
    fn later_blocks_of_a_prompt_are_evicted_first(
        uses in prop::collection::vec((0..4u8, 1..6u8, 0..2_000u64), 1..40),
        wanted in 1..20u64,
    ) {
        let mut directory = Directory::default();
        let mut uses = uses;
        uses.sort_by_key(|it| it.2);
        for (prompt, count, at_s) in &uses {
            store_prompt(&mut directory, "kitchens", &keys(*prompt, *count), *at_s);
        }
        let evicted: Vec<BlockKey> = victims(&directory, wanted, 2_500).iter().map(|it| it.copy.key).collect();
        for prompt in 0..4 {
            let order: Vec<u8> = evicted.iter().filter(|key| key[0] == prompt).map(|key| key[1]).collect();
            prop_assert!(order.windows(2).all(|pair| pair[0] > pair[1]), "{order:?}");
        }
    }
}
