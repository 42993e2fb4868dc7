//! The room of targets that refuse calls.

use {balance::RoomEstimate, std::time::Duration};

const RAISE_PERIOD: Duration = Duration::from_secs(4);

#[test]
fn half_of_the_calls_that_were_there_are_sent_after_a_refusal() {
    let room = RoomEstimate::after_refusal(10, Duration::from_secs(100));
    assert_eq!(room.places_count(RAISE_PERIOD, Duration::from_secs(100)), 5);
}

#[test]
fn room_grows_by_one_in_each_period_without_refusal() {
    let room = RoomEstimate::after_refusal(10, Duration::from_secs(100));
    let counts = [103, 104, 111, 112].map(|at_s| {
        let now = Duration::from_secs(at_s);
        room.places_count(RAISE_PERIOD, now)
    });
    assert_eq!(counts, [5, 6, 7, 8]);
}

#[test]
fn one_call_is_always_sent_again() {
    for in_flight_count in [0, 1] {
        let room = RoomEstimate::after_refusal(in_flight_count, Duration::ZERO);
        assert_eq!(room.places_count(RAISE_PERIOD, Duration::ZERO), 1);
    }
}
