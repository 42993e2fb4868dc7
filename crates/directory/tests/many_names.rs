//! A directory that has seen more targets than it has ids takes none for another one.

use {
    directory::{
        ApplyOutcome, CacheEvent, CacheEventKind, Directory, PromptBlocks, StoreWrite, WriteError,
    },
    std::time::Duration,
};

const NOW: Duration = Duration::ZERO;
/// Number of names that a directory has ids for.
const IDS_COUNT: u32 = 65_536;

fn key(number: u32) -> [u8; 32] {
    let mut key = [0; 32];
    key[..4].copy_from_slice(&number.to_le_bytes());
    key
}

/// The engine `number` reports in an event of this number that it has the block of this number.
fn report(directory: &mut Directory, number: u32) -> ApplyOutcome {
    let seq = u64::from(number);
    let event = CacheEvent {
        seq,
        kind: CacheEventKind::Stored,
        key: key(number),
    };
    directory.apply_events(&format!("engine-{number}"), seq - 1, &[event], NOW)
}

fn holders(directory: &Directory, number: u32) -> Vec<String> {
    let copies = directory.copies(&key(number));
    copies.map(|copy| copy.target).collect()
}

/// Guards against blocks of one target that are looked for at another.
#[test]
fn targets_beyond_the_last_id_hold_nothing() {
    let mut directory = Directory::default();
    for number in 1..IDS_COUNT + 4 {
        let reported = report(&mut directory, number);
        let last_seq = u64::from(number);
        assert_eq!(reported, ApplyOutcome::Applied { last_seq });
    }
    for number in [1, 2, IDS_COUNT] {
        assert_eq!(holders(&directory, number), [format!("engine-{number}")]);
    }
    for number in [IDS_COUNT + 1, IDS_COUNT + 3] {
        assert_eq!(holders(&directory, number), Vec::<String>::new());
    }
    let write = StoreWrite {
        key: key(0),
        target: "store".to_owned(),
        generation: 1,
        size_bytes: 10,
        client_account: "bakery".to_owned(),
    };
    let begun = directory.begin_write(&write, NOW);
    assert!(
        matches!(begun, Err(WriteError::TooManyTargets { .. })),
        "{begun:?}"
    );
    let adopted = directory.adopt_listed_copy(&write, NOW, NOW);
    assert!(!adopted);
}

#[test]
fn accounts_beyond_the_last_id_have_no_statistics_of_another() {
    let mut directory = Directory::default();
    for number in 0..IDS_COUNT + 2 {
        let account = format!("account-{number}");
        directory.record_use(
            &PromptBlocks {
                client_account: &account,
                keys: &[key(number)],
                block_bytes: 1,
                block_recompute: NOW,
            },
            NOW,
        );
    }
    let computed = |number: u32| {
        let account = format!("account-{number}");
        directory.account_reuse(&account).computed_blocks_count
    };
    assert_eq!(computed(IDS_COUNT - 1), 1);
    assert_eq!(computed(IDS_COUNT), 0);
}
