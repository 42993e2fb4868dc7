//! Deadlines, retry budget, and the choice for plain services.

mod support;

use {
    routing::{
        Estimate, FilterReason, Policy, RetryBudget, ServiceCandidate, choose_service_target,
        first_token_deadline, import_deadline, import_hedge_delay,
    },
    std::time::Duration,
    support::{engine, rule},
};

#[test]
fn import_deadline_is_capped_by_the_time_to_compute() {
    let estimate = Estimate {
        first_token: Duration::from_millis(900),
        import: Duration::from_millis(400),
        import_deviation: Duration::from_millis(100),
        import_saves: Duration::from_secs(2),
        ..Estimate::default()
    };
    assert_eq!(import_deadline(&estimate), Duration::from_millis(720));
    assert_eq!(import_hedge_delay(&estimate), Duration::from_millis(560));
    assert_eq!(
        first_token_deadline(&estimate),
        Duration::from_millis(2_700)
    );
    let slow_import = Estimate {
        import_deviation: Duration::from_secs(4),
        ..estimate
    };
    assert_eq!(import_deadline(&slow_import), Duration::from_millis(2_020));
}

#[test]
fn import_deadline_is_at_least_a_quarter_of_the_time_to_compute() {
    let estimate = Estimate {
        import: Duration::from_millis(16),
        import_deviation: Duration::from_millis(8),
        import_saves: Duration::from_secs(2),
        ..Estimate::default()
    };
    assert_eq!(import_deadline(&estimate), Duration::from_millis(520));
}

#[test]
fn retries_stay_within_a_tenth_of_requests() {
    let mut budget = RetryBudget::default();
    let mut retries_count = 0;
    for request in 0..10_000u64 {
        budget.record_request();
        let now = Duration::from_millis(request);
        while budget.try_retry(now) {
            retries_count += 1;
        }
    }
    assert!((1_000..=1_010).contains(&retries_count), "{retries_count}");
    assert!(!budget.try_retry(Duration::from_secs(10)));
    assert!(
        budget.try_retry(Duration::from_secs(16)),
        "one retry is added every 5 s"
    );
}

#[test]
fn service_calls_go_to_the_target_with_the_lowest_load() {
    let (small, large) = (engine("small"), engine("large"));
    let small = catalog::Target {
        max_running_count: 2,
        ..small
    };
    let candidate = |target, in_flight_count| ServiceCandidate {
        target,
        leaving: false,
        reachable: true,
        in_flight_count,
    };
    let candidates = [candidate(&small, 1), candidate(&large, 3)];
    assert_eq!(
        choose_service_target(&rule(), &candidates, 7).unwrap().name,
        "large"
    );
    let full = [candidate(&small, 2), candidate(&large, 8)];
    let refusal = choose_service_target(&rule(), &full, 7).unwrap_err();
    assert!(
        refusal
            .rejected
            .iter()
            .all(|it| it.reason == FilterReason::Full)
    );
}

#[test]
fn policies_parse_by_name() {
    assert_eq!("least_loaded".parse(), Ok(Policy::LeastLoaded));
    let error = "random".parse::<Policy>().unwrap_err();
    assert!(error.to_string().contains("use one of cost"));
}
