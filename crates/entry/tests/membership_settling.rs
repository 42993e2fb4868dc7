//! When a starting instance takes its share of the places. Guards against instances that take nearly
//! all of them while they know few others, and against those that wait without end.

use {
    entry::{
        MAX_QUIET_TIME, MAX_REGISTRATION_TIME, MAX_SETTLING_TIME, MIN_QUIET_TIME,
        MembershipSettling,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const OWN: &str = "entry-000";
const BEGIN: Duration = Duration::from_secs(100);

fn names(count: usize) -> Vec<String> {
    (0..count)
        .map(|index| format!("entry-{index:03}"))
        .collect()
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn instance_of_a_large_fleet_waits_until_nothing_changes() {
    let mut settling = MembershipSettling::default();
    let names = names(128);
    for count in 1..=128 {
        let now = BEGIN + ms(15) * u32::try_from(count).unwrap();
        let rest = settling.update(names[..count].iter(), OWN, now);
        assert!(rest.is_some(), "settled with {count} instances");
    }
    let last = BEGIN + ms(15) * 128;
    let just_before = last + MAX_QUIET_TIME.saturating_sub(ms(1));
    assert_eq!(settling.update(names.iter(), OWN, just_before), Some(ms(1)));
    let settled_at = last + MAX_QUIET_TIME;
    assert_eq!(settling.update(names.iter(), OWN, settled_at), None);
    let later = settling.update(names[..100].iter(), OWN, settled_at + ms(1));
    assert_eq!(later, None, "stays settled");
}

#[test]
fn instance_of_a_small_fleet_waits_a_moment() {
    let mut settling = MembershipSettling::default();
    let names = names(4);
    let rest = settling.update(names.iter(), OWN, BEGIN);
    assert_eq!(rest, Some(MIN_QUIET_TIME));
    let rest = settling.update(names.iter(), OWN, BEGIN + MIN_QUIET_TIME);
    assert_eq!(rest, None);
}

#[test]
fn unregistered_instance_takes_no_place_for_a_while() {
    let mut settling = MembershipSettling::default();
    let names = names(40);
    let others = || names[1..].iter();
    assert!(settling.update(others(), OWN, BEGIN).is_some());
    let just_before = BEGIN + MAX_REGISTRATION_TIME.saturating_sub(ms(1));
    assert_eq!(settling.update(others(), OWN, just_before), Some(ms(1)));
    let rest = settling.update(others(), OWN, BEGIN + MAX_REGISTRATION_TIME);
    assert_eq!(rest, None, "an instance without a lease would never settle");
}

proptest! {
    #[test]
    fn wait_is_bounded(pauses_ms in prop::collection::vec(1_u64..400, 50..100)) {
        let mut settling = MembershipSettling::default();
        let names = names(pauses_ms.len());
        let mut now = BEGIN;
        for (index, pause_ms) in pauses_ms.iter().enumerate() {
            if settling.update(names[..=index].iter(), OWN, now).is_none() {
                break;
            }
            prop_assert!(now < BEGIN + MAX_SETTLING_TIME);
            now += ms(*pause_ms);
        }
        let end = BEGIN + MAX_SETTLING_TIME;
        prop_assert_eq!(settling.update(names.iter(), OWN, now.max(end)), None);
    }
}
