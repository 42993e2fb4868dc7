//! Only committed copies are readable, in whatever order messages arrive.

use {
    directory::{Directory, StoreWrite, WriteError},
    prefix::BlockKey,
    proptest::prelude::*,
    std::{collections::HashMap, time::Duration},
};

const SIZE_BYTES: u64 = 100;

type CopyId = (BlockKey, String, u64);

/// Times in seconds at which a copy was freed and at which its store confirmed the deletion.
type FreedAt = (u64, Option<u64>);

fn write(key: u8, target: u8, generation: u64) -> StoreWrite {
    StoreWrite {
        key: [key; 32],
        target: format!("store-{target}"),
        generation,
        size_bytes: SIZE_BYTES,
        client_account: "kitchens".into(),
    }
}

fn id(write: &StoreWrite) -> CopyId {
    (write.key, write.target.clone(), write.generation)
}

#[derive(Clone, Debug)]
enum Message {
    Begin(StoreWrite),
    Commit(StoreWrite),
    Free(u8),
    Deleted(StoreWrite),
    Listed(StoreWrite, u64),
    Forget(u8),
    Purge,
}

fn message() -> impl Strategy<Value = Message> {
    let copy = (0..2u8, 0..2u8, 1..6u64).prop_map(|it| write(it.0, it.1, it.2));
    prop_oneof![
        4 => copy.clone().prop_map(Message::Begin),
        4 => copy.clone().prop_map(Message::Commit),
        3 => (0..2u8).prop_map(Message::Free),
        3 => copy.clone().prop_map(Message::Deleted),
        3 => (copy, 0..40u64).prop_map(|(copy, age_s)| Message::Listed(copy, age_s)),
        1 => (0..2u8).prop_map(Message::Forget),
        1 => Just(Message::Purge),
    ]
}

/// Passes a message to the directory if a writer or a store could have sent it: a writer never
/// reuses a generation, and a store does not list a copy that it has deleted.
fn apply(
    directory: &mut Directory,
    message: &Message,
    freed: &mut HashMap<CopyId, FreedAt>,
    now_s: u64,
) {
    let now = Duration::from_secs(now_s);
    match message {
        Message::Begin(copy) if !freed.contains_key(&id(copy)) => {
            let _ = directory.begin_write(copy, now);
        }
        Message::Begin(_) => {}
        Message::Commit(copy) => {
            let _ = directory.commit(&copy.key, &copy.target, copy.generation, now);
        }
        Message::Free(key) => {
            for copy in directory.free(&[*key; 32], now) {
                freed.insert((copy.key, copy.target, copy.generation), (now_s, None));
            }
        }
        Message::Deleted(copy) => {
            directory.confirm_deletion(&copy.key, &copy.target, copy.generation, now);
            if let Some(times) = freed.get_mut(&id(copy)) {
                times.1.get_or_insert(now_s);
            }
        }
        Message::Listed(copy, age_s) => {
            let listed_s = now_s.saturating_sub(*age_s);
            let deleted_s = freed.get(&id(copy)).and_then(|times| times.1);
            if deleted_s.is_none_or(|deleted_s| listed_s <= deleted_s) {
                directory.adopt_listed_copy(copy, Duration::from_secs(listed_s), now);
            }
        }
        Message::Forget(target) => directory.forget_target(&format!("store-{target}"), now),
        Message::Purge => directory.purge(Duration::ZERO, now),
    }
}

fn readable(directory: &Directory) -> HashMap<CopyId, u64> {
    let keys = (0..2u8).map(|key| [key; 32]);
    keys.flat_map(|key| {
        directory
            .copies(&key)
            .map(move |copy| ((key, copy.target, copy.generation), copy.size_bytes))
    })
    .collect()
}

proptest! {
    #[test]
    fn reordered_messages_never_revive_a_freed_copy(
        messages in prop::collection::vec((message(), 1..300u64), 1..80),
    ) {
        let mut directory = Directory::default();
        let mut freed = HashMap::new();
        let mut now_s = 0;
        for (message, after_s) in &messages {
            now_s += after_s;
            let before = readable(&directory);
            apply(&mut directory, message, &mut freed, now_s);
            for (copy, size_bytes) in readable(&directory) {
                prop_assert!(!freed.contains_key(&copy), "{copy:?} was freed, {message:?}");
                prop_assert_eq!(size_bytes, SIZE_BYTES);
                let became_readable = !before.contains_key(&copy);
                let may = matches!(message, Message::Commit(..) | Message::Listed(..));
                prop_assert!(!became_readable || may, "{copy:?} became readable by {message:?}");
            }
        }
    }

    #[test]
    fn used_bytes_count_copies_until_deletion(
        messages in prop::collection::vec((message(), 1..300u64), 1..80),
    ) {
        let mut directory = Directory::default();
        let mut freed = HashMap::new();
        let mut now_s = 0;
        for (message, after_s) in &messages {
            now_s += after_s;
            apply(&mut directory, message, &mut freed, now_s);
        }
        for target in ["store-0".to_owned(), "store-1".to_owned()] {
            let used_bytes = directory.store_used_bytes(&target);
            let account_bytes = directory.account_used_bytes(&target, &"kitchens".to_owned());
            prop_assert_eq!(used_bytes, account_bytes);
            let held = readable(&directory).into_keys().filter(|copy| copy.1 == target).count();
            let pending = directory.pending_deletes(&target).len();
            prop_assert!(used_bytes >= SIZE_BYTES * (held + pending) as u64);
            prop_assert!(used_bytes <= SIZE_BYTES * 2);
        }
    }
}

#[test]
fn a_copy_freed_during_its_write_is_not_committed() {
    let at = Duration::from_secs;
    let mut directory = Directory::default();
    let first = write(1, 0, 7);
    let second = write(1, 0, 8);
    directory.begin_write(&first, at(1)).unwrap();
    assert_eq!(directory.free(&first.key, at(2)).len(), 1);
    let late = directory.commit(&first.key, &first.target, 7, at(3));
    assert!(matches!(late, Err(WriteError::Freed { .. })));
    let early = directory.begin_write(&second, at(4));
    assert!(matches!(early, Err(WriteError::Deleting { .. })));
    directory.confirm_deletion(&first.key, &first.target, 7, at(5));
    assert!(!directory.adopt_listed_copy(&first, at(6), at(7)));
    assert_eq!(directory.pending_deletes(&first.target).len(), 1);
    directory.confirm_deletion(&first.key, &first.target, 7, at(8));
    directory.begin_write(&second, at(9)).unwrap();
    directory
        .commit(&first.key, &first.target, 8, at(10))
        .unwrap();
    assert_eq!(directory.copies(&first.key).count(), 1);
}

#[test]
fn lookup_stops_at_the_first_missing_block() {
    let now = Duration::ZERO;
    let mut directory = Directory::default();
    for (key, target) in [(0, 0), (1, 0), (3, 0), (1, 1)] {
        assert!(directory.adopt_listed_copy(&write(key, target, 1), now, now));
    }
    directory.begin_write(&write(2, 0, 1), now).unwrap();
    let keys = [[0; 32], [1; 32], [2; 32], [3; 32]];
    let found = directory.lookup(&keys);
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].copies.len(), 2);
    directory
        .commit(&keys[2], &found[0].target, 1, now)
        .unwrap();
    assert_eq!(directory.lookup(&keys)[0].copies.len(), 4);
    assert_eq!(directory.lookup(&keys[1..]).len(), 2);
}
