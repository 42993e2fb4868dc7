//! Limits, lookup and replication of records in a `RecordBuffer`.

mod support;

use {
    decision::{Record, RecordBuffer, RecordBufferLimits, Step, size_bytes},
    proptest::prelude::*,
    std::time::{Duration, Instant},
    support::{record, routed},
};

const LIMITS: RecordBufferLimits = RecordBufferLimits {
    max_records_count: 10,
    max_records_bytes: 20_000,
    max_age: Duration::from_secs(100),
    max_candidates_count: 2,
};

fn insert(buffer: &mut RecordBuffer, request: &str, now: Instant) -> bool {
    let record = Record {
        steps: vec![routed(1)],
        ..record(request)
    };
    buffer.insert(record, now)
}

#[test]
fn oldest_records_are_evicted() {
    let now = Instant::now();
    let mut buffer = RecordBuffer::new(LIMITS);
    for index in 0..=LIMITS.max_records_count {
        assert!(insert(&mut buffer, &format!("r{index}"), now));
    }
    assert!(buffer.get("r0").is_none());
    assert!(buffer.get("r1").is_some());
    buffer.evict(now + LIMITS.max_age + Duration::from_millis(1));
    assert_eq!((buffer.records_count(), buffer.records_bytes()), (0, 0));
}

#[test]
fn request_id_of_another_account_does_not_replace_or_reveal_a_record() {
    let now = Instant::now();
    let mut buffer = RecordBuffer::new(LIMITS);
    insert(&mut buffer, "r", now);
    let other = Record {
        client_account: "frio".to_owned(),
        ..record("r")
    };
    assert!(!buffer.insert(other, now));
    let kept = buffer.get("r").unwrap();
    assert!(kept.visible_to("tasboulak"));
    assert!(!kept.visible_to("frio"));
}

#[test]
fn candidate_lists_are_truncated() {
    let now = Instant::now();
    let mut buffer = RecordBuffer::new(LIMITS);
    buffer.insert(record("r"), now);
    assert!(buffer.append("r", routed(100), now));
    let Step::Routed { choice, missing } = &buffer.get("r").unwrap().steps[0] else {
        panic!("not a routing step");
    };
    assert_eq!((choice.others.len(), choice.rejected.len()), (2, 2));
    assert!(
        missing
            .iter()
            .any(|item| item.contains("196 further candidates"))
    );
}

#[test]
fn replicated_parts_rebuild_the_record() {
    let now = Instant::now();
    let mut buffer = RecordBuffer::new(LIMITS);
    let mut replica = RecordBuffer::new(LIMITS);
    insert(&mut buffer, "r", now);
    let first = buffer.take_unreplicated(1);
    buffer.append("r", routed(0), now);
    let unsent = buffer.take_unreplicated(1);
    assert!(buffer.take_unreplicated(1).is_empty());
    buffer.requeue(&unsent);
    buffer.append("r", routed(0), now);
    let second = buffer.take_unreplicated(1);
    for part in first.iter().chain(&second).chain(&unsent).chain(&second) {
        replica.merge(part.clone(), now);
    }
    assert_eq!(replica.get("r"), buffer.get("r"));
    assert!(replica.take_unreplicated(1).is_empty());
}

proptest! {
    #[test]
    fn limits_hold_after_any_sequence_of_actions(
        requests in prop::collection::vec((0..30_u8, 0..4_u8, 0..20_u64), 1..200),
    ) {
        let mut now = Instant::now();
        let mut buffer = RecordBuffer::new(LIMITS);
        for (request, action, pause_s) in requests {
            now += Duration::from_secs(pause_s);
            let request = format!("r{request}");
            match action {
                0 => drop(insert(&mut buffer, &request, now)),
                1 | 2 => drop(buffer.append(&request, routed(3), now)),
                _ => drop(buffer.take_unreplicated(5_000)),
            }
            buffer.evict(now);
            prop_assert!(buffer.records_count() <= LIMITS.max_records_count);
            prop_assert!(buffer.records_bytes() <= LIMITS.max_records_bytes);
            let kept = (0..30).filter_map(|index| buffer.get(&format!("r{index}")));
            prop_assert_eq!(kept.map(size_bytes).sum::<usize>(), buffer.records_bytes());
        }
    }
}
