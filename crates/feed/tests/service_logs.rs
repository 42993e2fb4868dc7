//! What an instance passes on of the changes in the key-value service.

use {
    feed::{FollowAnswer, FollowedChanges, FollowedEvent, ServiceLog},
    proptest::prelude::*,
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(10);

fn put(key: &str, revision: u64) -> FollowedEvent {
    FollowedEvent::Put {
        key: key.to_owned(),
        value: vec![0; 100],
        create_revision: 1,
        mod_revision: revision,
    }
}

fn changes(log: &ServiceLog, since: u64) -> FollowedChanges {
    match log.answer(1, since, NOW) {
        FollowAnswer::Changes(changes) => changes,
        other => panic!("{other:?}"),
    }
}

fn revisions(changes: &FollowedChanges) -> Vec<u64> {
    changes.events.iter().map(FollowedEvent::revision).collect()
}

/// Guards against members of an instance that has only been selected, and knows nothing yet.
#[test]
fn instance_serves_others_only_after_its_own_watch_has_answered() {
    let mut log = ServiceLog::default();
    assert_eq!(log.answer(1, 5, NOW), FollowAnswer::NotWatching);
    log.open(1, 5);
    assert_eq!(log.answer(1, 5, NOW), FollowAnswer::NotWatching);
    log.push(put("a", 6));
    assert_eq!(log.answer(1, 5, NOW), FollowAnswer::NotWatching);
    log.confirm(6, NOW);
    assert_eq!(revisions(&changes(&log, 5)), [6]);
    log.close();
    assert_eq!(log.answer(1, 5, NOW), FollowAnswer::NotWatching);
}

/// Guards against a part of the changes of one revision, after which a reader would ask for later
/// ones only.
#[test]
fn unconfirmed_changes_are_not_passed_on() {
    let mut log = ServiceLog::default();
    log.open(1, 5);
    log.confirm(5, NOW);
    log.push(put("a", 6));
    let before = changes(&log, 5);
    assert_eq!((before.complete_until, before.events.len()), (5, 0));
    log.push(put("b", 6));
    log.confirm(8, NOW);
    let after = changes(&log, 5);
    assert_eq!((after.complete_until, revisions(&after)), (8, vec![6, 6]));
}

#[test]
fn revisions_of_another_incarnation_are_refused() {
    let mut log = ServiceLog::default();
    log.open(2, 5);
    log.confirm(9, NOW);
    assert_eq!(log.answer(1, 9, NOW), FollowAnswer::OtherIncarnation);
    log.open(3, 4);
    log.confirm(4, NOW);
    assert_eq!(log.answer(2, 9, NOW), FollowAnswer::OtherIncarnation);
}

#[test]
fn reader_that_lacks_changes_from_before_the_log_is_told_so() {
    let mut log = ServiceLog::default();
    log.open(1, 5);
    log.confirm(5, NOW);
    assert_eq!(log.answer(1, 4, NOW), FollowAnswer::TooOld);
}

/// Guards against an aggregator that is cut off from the service and looks current.
#[test]
fn age_counts_from_the_last_confirmation() {
    let mut log = ServiceLog::default();
    log.open(1, 5);
    log.confirm(5, Duration::from_secs(7));
    assert_eq!(changes(&log, 5).age, Duration::from_secs(3));
}

/// Guards against a change that is delivered twice, or not at all, after a watch has broken.
#[test]
fn watch_that_is_opened_again_continues_the_log() {
    let mut log = ServiceLog::default();
    log.open(1, 5);
    log.push(put("a", 6));
    log.confirm(6, NOW);
    log.push(put("b", 7));
    // The watch breaks before it confirms revision 7.
    log.open(1, 6);
    log.push(put("b", 7));
    log.confirm(7, NOW);
    assert_eq!(revisions(&changes(&log, 5)), [6, 7]);
    // The instance followed another one up to revision 9.
    log.open(1, 9);
    log.confirm(9, NOW);
    assert_eq!(log.answer(1, 7, NOW), FollowAnswer::TooOld);
}

proptest! {
    /// Guards against a gap: whoever gets an answer gets every change since its revision, and the
    /// log stays bounded.
    #[test]
    fn answer_is_complete_or_refused(
        count in 1_u64..6_000,
        value_bytes in 0_usize..600,
        since in 0_u64..6_000,
    ) {
        let mut log = ServiceLog::default();
        log.open(1, 0);
        for revision in 1..=count {
            log.push(FollowedEvent::Put {
                key: "k".to_owned(),
                value: vec![0; value_bytes],
                create_revision: 1,
                mod_revision: revision,
            });
        }
        log.confirm(count, NOW);
        match log.answer(1, since, NOW) {
            FollowAnswer::Changes(changes) => {
                let expected: Vec<u64> = (since + 1..=count).collect();
                prop_assert_eq!(revisions(&changes), expected);
                let size: usize = changes.events.iter().map(FollowedEvent::bytes_count).sum();
                prop_assert!(size <= 256 * 1024);
            }
            answer => prop_assert_eq!(answer, FollowAnswer::TooOld),
        }
    }
}

/// Guards against readers that do not notice that an aggregator has left a history of changes.
#[test]
fn log_that_left_a_history_answers_nobody_for_a_while() {
    let mut log = ServiceLog::default();
    log.open(0, 5);
    log.confirm(7, NOW);
    let until = NOW + Duration::from_secs(1);
    log.close_until(until);
    log.open(0, 5);
    log.confirm(8, NOW);
    assert_eq!(log.answer(0, 5, NOW), FollowAnswer::NotWatching);
    let FollowAnswer::Changes(changes) = log.answer(0, 5, until) else {
        panic!("the time is over");
    };
    assert_eq!(changes.complete_until, 8);
}
