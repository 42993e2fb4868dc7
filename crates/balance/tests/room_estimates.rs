//! The room of targets, from the calls that they refuse and take.

use {
    balance::{RoomEstimate, ShownRoom},
    std::time::Duration,
};

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

#[test]
fn two_calls_are_sent_beyond_the_room_that_was_shown() {
    let mut room = ShownRoom::default();
    let counts = [0, 2, 1, 4].map(|in_flight_count| {
        room.record(in_flight_count, Duration::from_secs(1));
        room.places_count(Duration::from_secs(1))
    });
    assert_eq!(counts, [2, 4, 4, 6]);
}

#[test]
fn room_that_is_not_shown_again_is_forgotten() {
    let shown_at = Duration::from_secs(100);
    let mut room = ShownRoom::default();
    room.record(10, shown_at);
    let count_after =
        |room: &ShownRoom, after_ms| room.places_count(shown_at + Duration::from_millis(after_ms));
    let unshown = [0, 1_900, 2_100, 3_900, 4_100].map(|after_ms| count_after(&room, after_ms));
    assert_eq!(unshown, [12, 12, 12, 12, 2]);
    for after_ms in (0..6_000).step_by(100) {
        room.record(3, shown_at + Duration::from_millis(after_ms));
    }
    assert_eq!(count_after(&room, 6_000), 5);
}
