//! Which calls a quarantine refuses.

use {
    proptest::prelude::*,
    quarantine::{Quarantine, SuspectKey},
};

const TEMPLATE: SuspectKey = SuspectKey::Part(1);
const SESSION: SuspectKey = SuspectKey::Part(2);
const DEADLY: SuspectKey = SuspectKey::Part(3);
const CALL: SuspectKey = SuspectKey::Call(3);

fn crash(quarantine: &mut Quarantine, keys: &[SuspectKey], crashes: &[&str]) {
    for key in keys {
        for crash in crashes {
            quarantine.add_crash(*key, "id", crash);
        }
    }
}

#[test]
fn part_blocks_calls_from_its_third_crash_on() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, &[DEADLY], &["a", "b", "b"]);
    assert_eq!(quarantine.blocking_suspect(&[TEMPLATE, DEADLY]), None);
    crash(&mut quarantine, &[DEADLY], &["c"]);
    assert_eq!(
        quarantine.blocking_suspect(&[TEMPLATE, DEADLY]),
        Some(DEADLY)
    );
    assert_eq!(quarantine.blocking_suspect(&[TEMPLATE, SESSION]), None);
}

#[test]
fn call_is_not_sent_again_after_two_crashes() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, &[DEADLY], &["a"]);
    assert!(!quarantine.forbids_retry(&[TEMPLATE, DEADLY]));
    crash(&mut quarantine, &[DEADLY], &["b"]);
    assert!(quarantine.forbids_retry(&[TEMPLATE, DEADLY]));
    assert!(!quarantine.forbids_retry(&[TEMPLATE]));
}

#[test]
fn answered_part_blocks_nothing_however_often_targets_crashed() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, &[TEMPLATE], &["a", "b", "c", "d"]);
    quarantine.set_answered(TEMPLATE, true);
    assert_eq!(quarantine.blocking_suspect(&[TEMPLATE]), None);
    assert!(!quarantine.forbids_retry(&[TEMPLATE]));
    assert!(!quarantine.lacks_crash(TEMPLATE, "e"));
}

#[test]
fn part_that_was_always_beside_another_suspect_is_tried_without_it() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, &[SESSION, DEADLY], &["a", "b", "c"]);
    assert!(quarantine.blocking_suspect(&[SESSION, DEADLY]).is_some());
    assert_eq!(quarantine.blocking_suspect(&[SESSION]), None);
    crash(&mut quarantine, &[SESSION], &["d"]);
    assert_eq!(quarantine.blocking_suspect(&[SESSION]), Some(SESSION));
    assert_eq!(
        quarantine.blocking_suspect(&[DEADLY]),
        None,
        "now it is tried"
    );
}

#[test]
fn two_parts_at_fault_are_both_blocked() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, &[DEADLY], &["a", "b", "c"]);
    crash(&mut quarantine, &[SESSION], &["d", "e", "f"]);
    assert_eq!(quarantine.blocking_suspect(&[DEADLY]), Some(DEADLY));
    assert_eq!(quarantine.blocking_suspect(&[SESSION]), Some(SESSION));
}

#[test]
fn expired_crashes_release_the_part() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, &[DEADLY], &["a", "b", "c"]);
    quarantine.remove_crash(DEADLY, "a");
    assert_eq!(quarantine.blocking_suspect(&[DEADLY]), None);
    quarantine.remove_crash(DEADLY, "b");
    quarantine.remove_crash(DEADLY, "c");
    assert!(quarantine.is_empty());
}

#[test]
fn call_blocks_itself_but_not_calls_that_were_beside_it() {
    let mut quarantine = Quarantine::default();
    let beside = SuspectKey::Call(4);
    crash(&mut quarantine, &[TEMPLATE, CALL], &["a", "b", "c", "d"]);
    crash(&mut quarantine, &[beside], &["a", "b", "c"]);
    quarantine.set_answered(TEMPLATE, true);
    assert_eq!(quarantine.blocking_suspect(&[TEMPLATE, CALL]), Some(CALL));
    assert_eq!(quarantine.blocking_suspect(&[TEMPLATE, beside]), None);
    assert_eq!(
        quarantine.blocking_suspect(&[TEMPLATE, SuspectKey::Call(5)]),
        None
    );
}

fn suspect_key() -> impl Strategy<Value = SuspectKey> {
    prop_oneof![
        (0_u64..4).prop_map(SuspectKey::Part),
        (0_u64..4).prop_map(SuspectKey::Call),
    ]
}

proptest! {
    /// Records come from several instances in any order, some of them twice.
    #[test]
    fn order_of_records_does_not_matter(
        mut records in prop::collection::vec((suspect_key(), 0_u8..6), 0..40),
        answered in suspect_key(),
    ) {
        let build = |records: &[(SuspectKey, u8)], answered_first: bool| {
            let mut quarantine = Quarantine::default();
            if answered_first {
                quarantine.set_answered(answered, true);
            }
            for (key, crash) in records {
                quarantine.add_crash(*key, "id", &crash.to_string());
            }
            quarantine.set_answered(answered, true);
            quarantine
        };
        let forwards = build(&records, true);
        records.reverse();
        records.extend(records.clone());
        prop_assert_eq!(build(&records, false), forwards);
    }

    #[test]
    fn calls_without_suspects_are_never_blocked(
        records in prop::collection::vec((suspect_key(), 0_u8..6), 0..40),
        others in prop::collection::vec(4_u64..9, 0..5),
    ) {
        let mut quarantine = Quarantine::default();
        for (key, crash) in &records {
            quarantine.add_crash(*key, "id", &crash.to_string());
        }
        let others: Vec<SuspectKey> = others.into_iter().map(SuspectKey::Part).collect();
        prop_assert_eq!(quarantine.blocking_suspect(&others), None);
    }
}
