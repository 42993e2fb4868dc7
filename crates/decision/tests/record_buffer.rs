//! Retention, look-up and copying of records.

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

fn insert(ring: &mut RecordBuffer, request: &str, now: Instant) -> bool {
    let record = Record {
        steps: vec![routed(1)],
        ..record(request)
    };
    ring.insert(record, now)
}

#[test]
fn oldest_goes_first() {
    let now = Instant::now();
    let mut ring = RecordBuffer::new(LIMITS);
    for index in 0..=LIMITS.max_records_count {
        assert!(insert(&mut ring, &format!("r{index}"), now));
    }
    assert!(ring.get("r0").is_none());
    assert!(ring.get("r1").is_some());
    ring.evict(now + LIMITS.max_age + Duration::from_millis(1));
    assert_eq!((ring.records_count(), ring.records_bytes()), (0, 0));
}

#[test]
fn accounts_stay_apart() {
    let now = Instant::now();
    let mut ring = RecordBuffer::new(LIMITS);
    insert(&mut ring, "r", now);
    let other = Record {
        client_account: "frio".to_owned(),
        ..record("r")
    };
    assert!(!ring.insert(other, now));
    let kept = ring.get("r").unwrap();
    assert!(kept.visible_to("tasboulak"));
    assert!(!kept.visible_to("frio"));
}

#[test]
fn long_lists_are_cut() {
    let now = Instant::now();
    let mut ring = RecordBuffer::new(LIMITS);
    ring.insert(record("r"), now);
    assert!(ring.append("r", routed(100), now));
    let Step::Routed { choice, missing } = &ring.get("r").unwrap().steps[0] else {
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
fn parts_rebuild_the_record() {
    let now = Instant::now();
    let mut ring = RecordBuffer::new(LIMITS);
    let mut copy = RecordBuffer::new(LIMITS);
    insert(&mut ring, "r", now);
    let first = ring.take_unreplicated(1);
    ring.append("r", routed(0), now);
    let lost = ring.take_unreplicated(1);
    assert!(ring.take_unreplicated(1).is_empty());
    ring.requeue(&lost);
    ring.append("r", routed(0), now);
    let second = ring.take_unreplicated(1);
    for part in first.iter().chain(&second).chain(&lost).chain(&second) {
        copy.merge(part.clone(), now);
    }
    assert_eq!(copy.get("r"), ring.get("r"));
    assert!(copy.take_unreplicated(1).is_empty());
}

proptest! {
    #[test]
    fn bounds_hold(requests in prop::collection::vec((0..30_u8, 0..4_u8, 0..20_u64), 1..200)) {
        let mut now = Instant::now();
        let mut ring = RecordBuffer::new(LIMITS);
        for (request, action, pause_s) in requests {
            now += Duration::from_secs(pause_s);
            let request = format!("r{request}");
            match action {
                0 => drop(insert(&mut ring, &request, now)),
                1 | 2 => drop(ring.append(&request, routed(3), now)),
                _ => drop(ring.take_unreplicated(5_000)),
            }
            ring.evict(now);
            prop_assert!(ring.records_count() <= LIMITS.max_records_count);
            prop_assert!(ring.records_bytes() <= LIMITS.max_records_bytes);
            let kept = (0..30).filter_map(|index| ring.get(&format!("r{index}")));
            prop_assert_eq!(kept.map(size_bytes).sum::<usize>(), ring.records_bytes());
        }
    }
}
