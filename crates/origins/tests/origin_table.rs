//! What an instance knows of the origins of streams.

use {
    origins::{MAX_ORIGINS_COUNT, Origin, OriginKnowledge, OriginRecord, OriginTable, stream_key},
    proptest::prelude::*,
    std::time::Duration,
};

const LIFETIME: Duration = Duration::from_secs(20);

fn record(key: u64, software_version: &str) -> OriginRecord {
    OriginRecord {
        key,
        origin: Origin {
            pool: "llm".to_owned(),
            software_version: software_version.to_owned(),
        },
        lifetime: LIFETIME,
    }
}

#[test]
fn key_that_began_at_two_versions_is_conflicting_in_any_order() {
    for versions in [["v1", "v2", "v1"], ["v1", "v1", "v2"]] {
        let mut table = OriginTable::default();
        for version in versions {
            table.record(&record(1, version), false, Duration::ZERO);
        }
        assert_eq!(
            table.origin(1, Duration::ZERO),
            OriginKnowledge::Conflicting
        );
    }
}

#[test]
fn later_record_keeps_the_origin_longer() {
    let mut table = OriginTable::default();
    let first = record(1, "v1");
    table.record(&first, true, Duration::ZERO);
    table.record(&first, false, LIFETIME / 2);
    let late = LIFETIME + LIFETIME / 4;
    assert_eq!(table.origin(1, late), OriginKnowledge::Known(first.origin));
    assert_eq!(table.own_records("llm", late).len(), 1);
    assert!(table.own_records("other", late).is_empty());
}

#[test]
fn table_keeps_the_newest_if_there_are_too_many() {
    let mut table = OriginTable::default();
    for key in 0..MAX_ORIGINS_COUNT as u64 + 10 {
        table.record(&record(key, "v1"), true, Duration::from_micros(key));
    }
    assert_eq!(table.len(), MAX_ORIGINS_COUNT);
    assert_eq!(table.origin(9, Duration::ZERO), OriginKnowledge::Unknown);
    assert_ne!(table.origin(10, Duration::ZERO), OriginKnowledge::Unknown);
}

proptest! {
    #[test]
    fn accounts_do_not_share_keys(first in ".{0,12}", second in ".{0,12}", id in ".{0,300}") {
        prop_assume!(first != second);
        prop_assert_ne!(stream_key(&first, &id), stream_key(&second, &id));
    }

    #[test]
    fn expired_origins_are_dropped(steps in proptest::collection::vec((0_u64..20, 0_u64..15), 1..100)) {
        let mut table = OriginTable::default();
        let mut now = Duration::ZERO;
        for (key, seconds) in steps {
            now += Duration::from_secs(seconds);
            table.record(&record(key, "v1"), false, now);
            prop_assert!(table.len() <= 20);
            prop_assert_ne!(table.origin(key, now), OriginKnowledge::Unknown);
        }
        table.record(&record(99, "v1"), false, now + LIFETIME);
        prop_assert_eq!(table.len(), 1);
    }
}
