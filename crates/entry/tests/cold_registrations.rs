//! Guards against taking a target for warm that has registered as cold.

use {
    balance::ColdAllowance,
    entry::{Item, KnownState, TargetRegistration},
    relay::{ColdPool, TargetState, View},
    routes::{Pool, RouteConfig},
    std::{sync::Arc, time::Duration},
};

const ALLOWANCE: ColdAllowance = ColdAllowance {
    overage_factor: 1.5,
    slack_count: 5.0,
};
const COLD_TIME: Duration = Duration::from_secs(10);

/// A time after the start of the test.
fn at(seconds: f64) -> Duration {
    Duration::from_secs(1_000) + Duration::from_secs_f64(seconds)
}

fn registration(started_unix_ms: u64, cold_left: Duration) -> Item {
    Item::Target(TargetRegistration {
        started_unix_ms,
        cold_left,
        ..TargetRegistration::new("pool", ([127, 0, 0, 1], 1).into())
    })
}

/// What an instance knows that has read everything just before.
fn known() -> KnownState {
    let pool = Pool {
        name: "pool".to_owned(),
        cold_calls_per_s: Some(8.0),
        ..Pool::default()
    };
    let mut config = RouteConfig::default().version(1);
    config.pools.insert("pool".to_owned(), pool);
    let mut known = KnownState::default();
    known.put("", Item::Configuration(Box::new(config)), 1, at(0.0));
    known.confirm(at(0.0));
    known
}

fn target(view: &View) -> Arc<TargetState> {
    view.pools["pool"][0].clone()
}

fn is_cold(known: &KnownState, now: Duration) -> bool {
    let view = known.view(now);
    let pool = ColdPool::new(&view, "pool", ALLOWANCE, 7).unwrap();
    pool.is_cold(&target(&view), now)
}

/// Guards against RECOVER: an instance that crashes by a registration which states the longest time.
#[test]
fn target_may_stay_cold_for_ever() {
    let mut known = known();
    known.put("a", registration(1, Duration::MAX), 2, at(0.0));
    assert!(is_cold(&known, at(1e6)));
}

#[test]
fn target_is_cold_for_as_long_as_its_registration_says() {
    let mut known = known();
    known.put("a", registration(1, COLD_TIME), 2, at(0.0));
    assert!(is_cold(&known, at(9.9)));
    assert!(!is_cold(&known, at(10.1)));
}

#[test]
fn registration_that_arrives_late_counts_from_its_arrival() {
    let mut known = known();
    known.note_suspension();
    known.put("a", registration(1, COLD_TIME), 2, at(30.0));
    assert!(is_cold(&known, at(39.9)));
}

#[test]
fn registration_that_is_listed_again_does_not_make_its_target_cold_again() {
    let mut known = known();
    known.put("a", registration(1, COLD_TIME), 2, at(0.0));
    known.put("a", registration(1, COLD_TIME), 2, at(20.0));
    assert!(!is_cold(&known, at(20.0)));
}

#[test]
fn process_that_replaces_another_one_is_cold() {
    let mut known = known();
    known.put("a", registration(1, Duration::ZERO), 2, at(0.0));
    assert!(!is_cold(&known, at(0.0)));
    known.put("a", registration(2, COLD_TIME), 3, at(1.0));
    assert!(is_cold(&known, at(10.9)));
}

#[test]
fn restored_service_does_not_make_a_cold_target_warm() {
    let mut known = known();
    known.put("a", registration(1, Duration::ZERO), 2, at(0.0));
    known.put("a", registration(1, COLD_TIME), 3, at(1.0));
    known.service_restored(at(2.0));
    known.put("a", registration(1, Duration::ZERO), 2, at(2.0));
    assert!(is_cold(&known, at(10.9)));
}
