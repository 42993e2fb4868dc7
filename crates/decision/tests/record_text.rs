//! The log line and the explanation of a record.

mod support;

use {
    decision::{Outcome, Step, explain, log_line},
    support::{record, routed},
};

#[test]
fn log_line_describes_latest_decision() {
    let mut record = record("r-1");
    assert_eq!(log_line(&record), None);
    record.steps.push(routed(2));
    record.steps.push(Step::Attempt {
        target: "engine-1".to_owned(),
        outcome: Outcome::Run,
        error: String::new(),
    });
    let line = log_line(&record).unwrap();
    for part in [
        "request=r-1",
        "target=engine-1",
        "imported from a store",
        "entry-3",
    ] {
        assert!(line.contains(part), "{part} is not in {line}");
    }
}

#[test]
fn log_line_escapes_line_breaks() {
    let mut record = record("r\n2");
    record.steps.push(Step::Refused {
        reason: "first\nsecond".to_owned(),
        retry_after_ms: 10,
        rejected: Vec::new(),
    });
    assert_eq!(log_line(&record).unwrap().lines().count(), 1);
}

#[test]
fn explanation_names_the_reasons() {
    let mut record = record("r-3");
    record.steps = vec![
        routed(12),
        Step::Imported {
            store: "store-1".to_owned(),
            blocks_count: 3,
            link_bytes: 9,
            missing: "block 4 was freed".to_owned(),
        },
        Step::Finished {
            prompt_tokens: 8_000,
            cached_tokens: 6_000,
            recomputed_tokens: 2_000,
            recompute_reason: "the store freed block 4".to_owned(),
            answer_tokens: 50,
            first_token_ms: 90,
        },
    ];
    let text = explain(&record);
    for part in [
        "2023-11-14T22:13:20.000Z",
        "Routed to engine-1",
        "Other candidate: other-0",
        "4 further candidates cost more",
        "Left out because it takes no new work: rejected-0",
        "and 4 more",
        "Missing or uncertain: directory owner entry-3 did not answer",
        "2000 tokens were recomputed because the store freed block 4",
    ] {
        assert!(text.contains(part), "{part} is not in {text}");
    }
}
