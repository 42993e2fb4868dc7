//! Which crashes count against which parts.

use {
    parts::PartKey,
    quarantine::{AnsweredParts, CrashReport, PendingCrashes, ReportedPart},
    std::time::Duration,
};

const TEMPLATE: PartKey = 1;
const DEADLY: PartKey = 2;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report(crash: &str, millis: u64, parts: &[PartKey]) -> CrashReport {
    let parts = parts.iter().map(|part| ReportedPart {
        part: *part,
        id: part.to_string(),
    });
    CrashReport {
        crash: crash.to_owned(),
        at: at(millis),
        parts: parts.collect(),
    }
}

#[test]
fn crash_counts_only_against_parts_that_stay_unanswered_for_a_while() {
    let mut pending = PendingCrashes::default();
    let mut answered = AnsweredParts::default();
    pending.push(report("a", 1_000, &[TEMPLATE, DEADLY]));
    assert_eq!(pending.time_until_due(at(1_100)), Some(at(200)));
    assert!(pending.take_due(&answered, at(1_299)).is_empty());
    answered.insert(TEMPLATE, at(1_200));
    assert_eq!(
        pending.take_due(&answered, at(1_300)),
        [report("a", 1_000, &[DEADLY])]
    );
    assert_eq!(pending.time_until_due(at(1_300)), None);
}

#[test]
fn targets_that_are_lost_together_count_once() {
    let mut pending = PendingCrashes::default();
    for crash in ["a", "b", "c"] {
        pending.push(report(crash, 1_000, &[DEADLY]));
    }
    let due = pending.take_due(&AnsweredParts::default(), at(2_000));
    assert_eq!(due, [report("a", 1_000, &[DEADLY])]);
}

#[test]
fn crashes_one_after_the_other_all_count() {
    let mut pending = PendingCrashes::default();
    pending.push(report("a", 1_000, &[DEADLY]));
    pending.push(report("a", 1_000, &[DEADLY]));
    pending.push(report("b", 1_250, &[DEADLY]));
    let due = pending.take_due(&AnsweredParts::default(), at(2_000));
    let crashes: Vec<&str> = due.iter().map(|report| report.crash.as_str()).collect();
    assert_eq!(crashes, ["a", "a", "b"]);
}

#[test]
fn number_of_waiting_crashes_is_bounded() {
    let mut pending = PendingCrashes::default();
    for number in 0..10_000 {
        pending.push(report(&number.to_string(), 1_000, &[number]));
    }
    let due = pending.take_due(&AnsweredParts::default(), at(2_000));
    assert_eq!(due.len(), 256);
}

#[test]
fn answers_are_remembered_for_a_bounded_time_and_number_of_parts() {
    let mut answered = AnsweredParts::default();
    answered.insert(TEMPLATE, at(0));
    for part in 100..4_195 {
        answered.insert(part, at(1));
    }
    assert!(answered.contains(TEMPLATE));
    for part in 10_000..20_000 {
        answered.insert(part, at(2));
    }
    assert!(!answered.contains(TEMPLATE));
    answered.insert(TEMPLATE, at(3));
    let later = Duration::from_mins(11);
    answered.insert(DEADLY, later);
    assert!(answered.contains(TEMPLATE));
    answered.insert(DEADLY, later * 2);
    assert!(!answered.contains(TEMPLATE));
}
