//! Expected time until a target starts a call.

use {balance::StartDelay, proptest::prelude::*, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn peak_decays_over_time() {
    let mut delay = StartDelay::default();
    delay.record(ms(2_000), ms(10_000));
    delay.record(ms(20), ms(10_100));
    assert!(
        delay.expected(ms(10_100)) > ms(1_900),
        "one fast call does not lower the peak"
    );
    assert!(delay.expected(ms(12_000)) <= ms(1_001));
    assert!(delay.expected(ms(40_000)) < ms(1));
}

proptest! {
    #[test]
    fn expected_delay_covers_the_latest_call(calls in prop::collection::vec((0_u64..5_000, 0_u64..2_000), 1..50)) {
        let mut delay = StartDelay::default();
        let mut now = Duration::ZERO;
        for (delay_ms, pause_ms) in calls {
            now += ms(pause_ms);
            delay.record(ms(delay_ms), now);
            prop_assert!(delay.expected(now) >= ms(delay_ms));
        }
    }
}
