//! Rules that hold for single decisions.

use {
    overload::{
        Assessment, CallNeeds, Decision, OverloadControl, PoolState, RefusalCause, TargetRoom,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const OBJECTIVE: Duration = Duration::from_millis(400);
const TIME_LIMIT: Duration = Duration::from_secs(6);
const URGENT: u8 = 0;
const OTHER: u8 = 1;

fn call(priority: u8, account: &str, draw: u64) -> CallNeeds<'_> {
    CallNeeds {
        priority,
        account,
        tokens_count: 100,
        latency_objective: OBJECTIVE,
        time_limit: TIME_LIMIT,
        time_left: TIME_LIMIT,
        draw,
    }
}

/// Four targets with `calls_count` calls in 10 slots each.
fn targets(calls_count: f64) -> [TargetRoom; 4] {
    [TargetRoom {
        slots_count: 10,
        calls_count,
        memory_share: 0.0,
        tokens_count: calls_count * 100.0,
    }; 4]
}

fn pool(targets: &[TargetRoom]) -> PoolState<'_> {
    PoolState {
        targets,
        covered_count: 40,
        instances_count: 40,
    }
}

/// The draws 0, 1/100 and so on.
fn draws() -> impl Iterator<Item = u64> + Clone {
    (0..100).map(|it| it * (u64::MAX / 100))
}

/// Plays `rounds_count` rounds of 10 ms with a call of each class, of which half start, each after
/// `delay` at a target with 1,000 tokens.
fn observe(control: &mut OverloadControl, delay: Duration, rounds_count: u32) -> Duration {
    let targets = targets(10.0);
    let mut now = Duration::ZERO;
    for (round, draw) in (0..rounds_count).zip(draws().cycle()) {
        now = Duration::from_millis(10) * round;
        for priority in [URGENT, OTHER] {
            control.assess(&pool(&targets), &call(priority, "a", draw), now);
        }
        control.record_start(URGENT, 100, 1_000.0, delay, now);
    }
    now
}

/// Share of calls that are refused, and the longest `Retry-After`. Each draw is asked of a copy.
fn refused(
    control: &OverloadControl,
    pool: &PoolState<'_>,
    call: &CallNeeds<'_>,
    now: Duration,
) -> (usize, Duration) {
    let decisions = draws().map(|draw| {
        let call = CallNeeds { draw, ..*call };
        control.clone().assess(pool, &call, now).decision
    });
    let waits = decisions.filter_map(|it| match it {
        Decision::Refuse { retry_after, .. } => Some(retry_after),
        Decision::Run => None,
    });
    let waits: Vec<_> = waits.collect();
    (waits.len(), waits.into_iter().max().unwrap_or_default())
}

#[test]
fn less_urgent_calls_are_refused_first() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, OBJECTIVE, 300);
    let targets = targets(10.0);
    let (urgent, _) = refused(&control, &pool(&targets), &call(URGENT, "a", 0), now);
    let (other, _) = refused(&control, &pool(&targets), &call(OTHER, "a", 0), now);
    assert!(other > urgent, "{other} and {urgent} of 100");
    assert!(other < 100, "a class starves");
}

#[test]
fn nothing_is_refused_while_calls_start_in_time() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, OBJECTIVE / 4, 300);
    let targets = targets(10.0);
    for priority in [URGENT, OTHER] {
        let (count, _) = refused(&control, &pool(&targets), &call(priority, "a", 0), now);
        assert_eq!(count, 0);
    }
}

#[test]
fn nothing_is_refused_with_half_of_the_slots_free_or_unknown_loads() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, OBJECTIVE * 100, 300);
    let (free, full) = (targets(4.9), targets(10.0));
    let unknown = PoolState {
        covered_count: 19,
        ..pool(&full)
    };
    for pool in [pool(&free), unknown, pool(&[])] {
        let (count, _) = refused(&control, &pool, &call(OTHER, "a", 0), now);
        assert_eq!(count, 0, "{pool:?}");
    }
}

/// Guards against engines whose memory long prompts have filled, at which calls queue while most slots are
/// free.
#[test]
fn full_memory_permits_refusals_while_slots_are_free() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, OBJECTIVE * 100, 300);
    let full = targets(4.9).map(|target| TargetRoom {
        memory_share: 1.6,
        ..target
    });
    let (count, _) = refused(&control, &pool(&full), &call(OTHER, "a", 0), now);
    assert!(count > 0);
}

#[test]
fn call_that_cannot_start_before_its_limit_is_refused() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, TIME_LIMIT, 300);
    let targets = targets(10.0);
    let hasty = CallNeeds {
        time_left: TIME_LIMIT / 2,
        ..call(URGENT, "a", u64::MAX)
    };
    let Assessment { decision, .. } = control.assess(&pool(&targets), &hasty, now);
    let is_refused = matches!(
        decision,
        Decision::Refuse {
            cause: RefusalCause::CannotStart,
            ..
        }
    );
    assert!(is_refused, "{decision:?}");
}

#[test]
fn account_above_its_share_is_refused_first() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, OBJECTIVE, 300);
    let targets = targets(10.0);
    control.assess(&pool(&targets), &call(OTHER, "b", u64::MAX), now);
    let (heavy, _) = refused(&control, &pool(&targets), &call(OTHER, "a", 0), now);
    let (light, _) = refused(&control, &pool(&targets), &call(OTHER, "b", 0), now);
    assert!(light < heavy, "{light} and {heavy} of 100");
}

#[test]
fn call_that_needs_less_work_or_comes_back_is_preferred() {
    let mut control = OverloadControl::default();
    let now = observe(&mut control, OBJECTIVE, 300);
    let targets = targets(10.0);
    let usual = call(OTHER, "a", 0);
    let small = CallNeeds {
        tokens_count: 40,
        ..usual
    };
    let returning = CallNeeds {
        time_left: TIME_LIMIT / 2,
        ..usual
    };
    let (usual, _) = refused(&control, &pool(&targets), &usual, now);
    let (small, _) = refused(&control, &pool(&targets), &small, now);
    let (returning, _) = refused(&control, &pool(&targets), &returning, now);
    assert!(small < usual, "{small} and {usual} of 100");
    assert!(returning < usual, "{returning} and {usual} of 100");
}

proptest! {
    /// Guards against waits that leave a caller no time, and against numbers that are none.
    #[test]
    fn waits_and_estimates_are_bounded(
        delays_ms in prop::collection::vec(0_u64..20_000, 1..60),
        calls_count in 0.0_f64..100.0,
        time_left_ms in 0_u64..10_000,
        priority in 0_u8..3,
    ) {
        let mut control = OverloadControl::default();
        let targets = targets(calls_count);
        let mut now = Duration::ZERO;
        for (delay_ms, draw) in delays_ms.into_iter().zip(draws().cycle()) {
            now += Duration::from_millis(40);
            let delay = Duration::from_millis(delay_ms);
            control.record_delay(priority, 500.0, delay, now);
            let needs = CallNeeds {
                time_left: Duration::from_millis(time_left_ms),
                ..call(priority, "a", draw)
            };
            let assessment = control.assess(&pool(&targets), &needs, now);
            prop_assert!(assessment.pressure.is_finite() && assessment.pressure >= 0.0);
            if let Decision::Refuse { retry_after, .. } = assessment.decision {
                prop_assert!(calls_count >= 5.0);
                prop_assert!(retry_after <= needs.time_left / 3);
            }
        }
    }
}
