//! How long calls are expected to last until their answers are whole.

use {balance::AnswerTimeHistogram, proptest::prelude::*, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn seen(calls: impl IntoIterator<Item = u64>, now: Duration) -> AnswerTimeHistogram {
    let mut time = AnswerTimeHistogram::default();
    for took in calls {
        time.record(ms(took), now);
    }
    time
}

#[test]
fn nothing_is_expected_before_enough_whole_answers() {
    let mut time = AnswerTimeHistogram::default();
    for _ in 0..100 {
        time.record_abandoned(ms(20), ms(0));
    }
    for _ in 0..8 {
        assert_eq!((time.typical(), time.upper_bound()), (None, None));
        time.record(ms(20), ms(0));
    }
    assert!(time.typical().is_some() && time.upper_bound().is_some());
}

#[test]
fn usual_time_covers_most_calls_and_longest_covers_all() {
    let time = seen((1..=100).map(|n| n * 90), ms(0));
    let usual = time.typical().unwrap();
    assert!(usual >= ms(7_200) && usual <= ms(9_000), "{usual:?}");
    assert!(time.upper_bound().unwrap() > ms(9_000));
    let rare = seen((0..100).map(|n| if n < 97 { 60 } else { 9_000 }), ms(0));
    assert!(rare.typical().unwrap() < ms(80));
    assert!(rare.upper_bound().unwrap() > ms(9_000));
}

#[test]
fn answer_that_was_given_up_lengthens_the_longest_time() {
    let mut time = seen([20; 20], ms(0));
    time.record_abandoned(ms(5_000), ms(100));
    assert!(time.upper_bound().unwrap() >= ms(5_000));
    assert!(time.typical().unwrap() < ms(30));
}

#[test]
fn slow_time_is_forgotten_once_two_windows_were_quick() {
    let mut time = seen([9_000; 20], ms(0));
    for second in 1..=40 {
        time.record(ms(20), ms(second * 1_000));
    }
    assert!(time.upper_bound().unwrap() < ms(100));
}

#[test]
fn nothing_new_for_a_while_changes_nothing() {
    let mut time = seen([900; 20], ms(0));
    time.record(ms(900), ms(60_000));
    assert!(time.typical().unwrap() >= ms(900));
}

proptest! {
    #[test]
    fn call_that_was_just_seen_is_expected(
        calls in prop::collection::vec((0_u64..90_000, 0_u64..4_000), 8..60),
    ) {
        let mut time = AnswerTimeHistogram::default();
        let mut now = Duration::ZERO;
        for (took, pause) in calls {
            now += ms(pause);
            time.record(ms(took), now);
            if let Some(longest) = time.upper_bound() {
                prop_assert!(longest >= ms(took));
                prop_assert!(time.typical().unwrap() <= longest);
            }
        }
    }
}
