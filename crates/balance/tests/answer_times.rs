//! Estimates of how long calls take until their answers are complete.

use {balance::AnswerTimeHistogram, proptest::prelude::*, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn histogram_of(calls: impl IntoIterator<Item = u64>, now: Duration) -> AnswerTimeHistogram {
    let mut histogram = AnswerTimeHistogram::default();
    for duration_ms in calls {
        histogram.record(ms(duration_ms), now);
    }
    histogram
}

#[test]
fn no_estimate_before_enough_complete_answers() {
    let mut histogram = AnswerTimeHistogram::default();
    for _ in 0..100 {
        histogram.record_abandoned(ms(20), ms(0));
    }
    for _ in 0..8 {
        assert_eq!((histogram.typical(), histogram.upper_bound()), (None, None));
        histogram.record(ms(20), ms(0));
    }
    assert!(histogram.typical().is_some() && histogram.upper_bound().is_some());
}

#[test]
fn typical_covers_most_calls_and_upper_bound_covers_all() {
    let histogram = histogram_of((1..=100).map(|n| n * 90), ms(0));
    let typical = histogram.typical().unwrap();
    assert!(typical >= ms(7_200) && typical <= ms(9_000), "{typical:?}");
    assert!(histogram.upper_bound().unwrap() > ms(9_000));
    let rare = histogram_of((0..100).map(|n| if n < 97 { 60 } else { 9_000 }), ms(0));
    assert!(rare.typical().unwrap() < ms(80));
    assert!(rare.upper_bound().unwrap() > ms(9_000));
}

#[test]
fn abandoned_call_raises_the_upper_bound() {
    let mut histogram = histogram_of([20; 20], ms(0));
    histogram.record_abandoned(ms(5_000), ms(100));
    assert!(histogram.upper_bound().unwrap() >= ms(5_000));
    assert!(histogram.typical().unwrap() < ms(30));
}

#[test]
fn slow_calls_are_forgotten_after_two_fast_windows() {
    let mut histogram = histogram_of([9_000; 20], ms(0));
    for second in 1..=40 {
        histogram.record(ms(20), ms(second * 1_000));
    }
    assert!(histogram.upper_bound().unwrap() < ms(100));
}

#[test]
fn idle_period_keeps_the_estimates() {
    let mut histogram = histogram_of([900; 20], ms(0));
    histogram.record(ms(900), ms(60_000));
    assert!(histogram.typical().unwrap() >= ms(900));
}

proptest! {
    #[test]
    fn upper_bound_covers_the_latest_call(
        calls in prop::collection::vec((0_u64..90_000, 0_u64..4_000), 8..60),
    ) {
        let mut histogram = AnswerTimeHistogram::default();
        let mut now = Duration::ZERO;
        for (duration_ms, pause_ms) in calls {
            now += ms(pause_ms);
            histogram.record(ms(duration_ms), now);
            if let Some(upper_bound) = histogram.upper_bound() {
                prop_assert!(upper_bound >= ms(duration_ms));
                prop_assert!(histogram.typical().unwrap() <= upper_bound);
            }
        }
    }
}
