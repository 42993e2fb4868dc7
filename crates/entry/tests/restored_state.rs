//! The known state after the key-value service came back from an older copy.

use {
    entry::{
        InstanceLease, Item, ItemName, KnownState, LimitRecord, MemberRecord, OrderLock,
        SuspectRecord, TargetRegistration, fencing,
    },
    keyvalue::Incarnation,
    quarantine::SuspectKey,
    routes::RouteConfig,
    std::{net::SocketAddr, time::Duration},
};

const START: Duration = Duration::from_secs(1_000);
/// 2026-12-07, since the Unix epoch.
const TIME_OF_DAY: Duration = Duration::from_secs(1_796_602_185);
const TTL: Duration = Duration::from_secs(2);
const MARGIN: Duration = Duration::from_millis(500);
/// Time after which an entry that is still missing is to be treated as gone.
const RETURN_TIME: Duration = Duration::from_millis(2_500);

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn target(leaving: bool, started_unix_ms: u64) -> Item {
    let mut registration = TargetRegistration::new("engines", address(9_000));
    registration.leaving = leaving;
    registration.started_unix_ms = started_unix_ms;
    Item::Target(registration)
}

fn name() -> ItemName {
    ItemName::Target("t".to_owned())
}

fn has_target(known: &KnownState) -> bool {
    known.targets().next().is_some()
}

/// A state that knows a target in which `registration` was the last word.
fn state(registration: Item) -> KnownState {
    let mut known = KnownState::default();
    known.put("t", registration, 7, START);
    known.confirm(START);
    known
}

#[test]
fn target_that_the_copy_lacks_stays_until_the_bound() {
    let mut known = state(target(false, 5));
    known.service_restored(at(1.0));
    known.lapse(&name(), at(1.0));
    known.confirm(at(1.0));
    known.expire(at(3.4));
    assert!(has_target(&known), "it is about to register again");
    known.expire(at(1.0) + RETURN_TIME);
    assert!(!has_target(&known), "it stayed away");
}

/// Guards against a target that registered again between two returns, which nobody has seen.
#[test]
fn second_return_gives_missing_targets_their_time_again() {
    let mut known = state(target(false, 5));
    known.service_restored(at(1.0));
    known.lapse(&name(), at(1.0));
    known.service_restored(at(3.0));
    known.expire(at(5.4));
    assert!(has_target(&known));
    known.expire(at(3.0) + RETURN_TIME);
    assert!(!has_target(&known));
}

/// Guards against a peer that was connected throughout and so rules out that registrations lapsed.
#[test]
fn target_that_the_copy_lacks_stays_also_if_only_this_instance_was_cut_off() {
    let mut known = state(target(false, 5));
    known.service_restored(at(5.0));
    known.lapse(&name(), at(5.0));
    known.rule_out_lapse(at(5.1));
    assert!(has_target(&known));
}

#[test]
fn target_that_was_leaving_is_not_used_again() {
    for is_missing_between in [false, true] {
        let mut known = state(target(true, 5));
        known.service_restored(at(1.0));
        if is_missing_between {
            known.lapse(&name(), at(1.0));
            assert!(!has_target(&known));
        }
        known.put("t", target(false, 5), 3, at(1.0));
        assert!(known.targets().all(|target| target.draining));
        known.put("t", target(false, 6), 4, at(1.2));
        assert!(
            known.targets().all(|target| !target.draining),
            "it has restarted"
        );
    }
}

#[test]
fn registration_of_an_earlier_start_does_not_replace_that_of_a_later_one() {
    let mut known = state(target(false, 6));
    known.service_restored(at(1.0));
    known.put("t", target(false, 5), 3, at(1.0));
    let started = known.targets().map(|target| target.started_unix_ms);
    assert_eq!(started.collect::<Vec<u64>>(), [6]);
    known.expire(at(1.0) + RETURN_TIME);
    assert!(!has_target(&known), "it did not register again");
}

#[test]
fn instance_that_the_copy_lacks_stays_among_the_addresses() {
    let mut known = KnownState::default();
    let record = MemberRecord {
        address: address(8_000),
        failure_domain: "a".into(),
        ready: true,
        feed: None,
        peer_calls: None,
        link_bits_per_s: None,
        highest_fencing: 0,
        fencing_holder: String::new(),
    };
    known.put("one", Item::Member(record), 7, START);
    known.service_restored(at(1.0));
    known.lapse(&ItemName::Member("one".to_owned()), at(1.0));
    known.expire(at(3.4));
    assert_eq!(known.ready_members().len(), 1);
    known.expire(at(3.5));
    assert_eq!(known.ready_members().len(), 0);
}

#[test]
fn configuration_and_wanted_version_of_the_copy_change_nothing() {
    let mut known = KnownState::default();
    let config = |version| Item::Configuration(Box::new(RouteConfig::default().version(version)));
    known.put("", config(4), 7, START);
    known.put("m", Item::Version(3), 8, START);
    known.service_restored(at(1.0));
    known.put("", config(2), 3, at(1.0));
    known.put("m", Item::Version(2), 4, at(1.0));
    assert_eq!(known.view(at(1.0)).configuration_version(), 4);
    assert_eq!(known.wanted()["m"].newest_version(), 3);
    known.lapse(&ItemName::Configuration, at(1.0));
    known.lapse(&ItemName::Version("m".to_owned()), at(1.0));
    assert_eq!(known.view(at(9.0)).configuration_version(), 4);
    assert_eq!(known.wanted()["m"].newest_version(), 3);
}

/// Guards against calls that crash targets and are let through once more.
#[test]
fn suspect_that_the_copy_lacks_stays_one() {
    let mut known = KnownState::default();
    let (suspect, crash) = (SuspectKey::Call(1), "t/5".to_owned());
    let record = SuspectRecord {
        label: "GET /".to_owned(),
        instance: "one".to_owned(),
    };
    let item = Item::Crash {
        suspect,
        crash: crash.clone(),
        record,
    };
    known.put("", item, 7, START);
    known.service_restored(at(1.0));
    known.lapse(&ItemName::Crash(suspect, crash.clone()), at(1.0));
    assert!(!known.quarantine().lacks_crash(suspect, &crash));
}

#[test]
fn limit_that_the_copy_lacks_is_announced_again() {
    let mut known = state(target(false, 5));
    let record = LimitRecord {
        limit_per_s: 10.0,
        instance: "one".to_owned(),
    };
    known.put("t", Item::Limit(record), 8, START);
    known.service_restored(at(1.0));
    known.lapse(&ItemName::Limit("t".to_owned()), at(1.0));
    assert!(known.announced_limit("t").is_none(), "it is news again");
}

fn incarnation(number: u64, changes_count: u64) -> Incarnation {
    Incarnation {
        number,
        highest_number: number,
        changes_count,
        ..Incarnation::default()
    }
}

/// Guards against a lease, and its lock, of which only the id was given out again.
#[test]
fn lock_of_an_earlier_incarnation_is_not_used() {
    let lease = InstanceLease::new(7, START, TTL);
    let before = lease.incarnation(incarnation(1, 0));
    let lock = OrderLock::new(&before, 7, 41, START, Duration::ZERO);
    assert!(lock.usable_fencing(&before, at(0.1), MARGIN).is_some());
    let after = lease.incarnation(incarnation(2, 1));
    assert_eq!(lock.usable_fencing(&after, at(0.1), MARGIN), None);
}

/// Guards against targets that refuse a new holder, or obey an old one, if nobody knows the token before.
#[test]
fn fencing_tokens_grow_over_incarnations() {
    let next = |number, changes_count| {
        fencing::next_token(0, &incarnation(number, changes_count), TIME_OF_DAY)
    };
    // Of builds that made tokens from revisions alone.
    let former = |number: u64, revision| (number << 40) + revision;
    let tokens = [
        former(0, 900),
        next(0, 0),
        former(1, 1_000_000_000_000),
        next(1, 0),
        former(2, 41),
        next(2, 1),
        former(3, 42),
        next(3, 2),
        next(8_000, 3),
    ];
    assert!(tokens.is_sorted_by(|a, b| a < b), "{tokens:?}");
    assert!(tokens[8] < 1 << 53);
}

#[test]
fn lock_waits_for_a_holder_of_the_incarnation_before() {
    let lease = InstanceLease::new(7, START, Duration::from_mins(1));
    let lock = OrderLock::new(&lease, 7, 41, START, Duration::ZERO).not_before(at(2.3));
    assert_eq!(lock.usable_fencing(&lease, at(2.2), MARGIN), None);
    assert_eq!(lock.usable_fencing(&lease, at(2.3), MARGIN), Some(41));
}

fn evacuated_domains(known: &KnownState) -> Vec<&str> {
    known.evacuated_domains().map(String::as_str).collect()
}

/// Guards against calls to an evacuated failure domain in the moment before the operators write its key
/// again, and against an evacuation that lasts for good though nobody does.
#[test]
fn evacuation_that_the_copy_lacks_stays_until_the_bound() {
    let east = ItemName::Evacuation("east".to_owned());
    let west = ItemName::Evacuation("west".to_owned());
    let mut known = KnownState::default();
    known.put("east", Item::Evacuation, 7, START);
    known.put("west", Item::Evacuation, 8, START);
    known.service_restored(at(1.0));
    known.lapse(&east, at(1.0));
    known.lapse(&west, at(1.0));
    known.put("west", Item::Evacuation, 3, at(2.0));
    known.expire(at(3.4));
    assert_eq!(evacuated_domains(&known), ["east", "west"]);
    assert!(known.expire(at(1.0) + RETURN_TIME), "the view changes");
    assert_eq!(evacuated_domains(&known), ["west"], "one was written again");
}

/// Guards against an evacuation that ends before the listing of the new incarnation has shown that its
/// key is missing.
#[test]
fn evacuation_lasts_until_a_listing_lacks_it() {
    let mut known = KnownState::default();
    known.put("east", Item::Evacuation, 7, START);
    known.service_restored(at(1.0));
    known.expire(at(60.0));
    assert_eq!(evacuated_domains(&known), ["east"]);
}

/// Guards against two returns in a row: the second copy may lack what was written again after the first.
#[test]
fn second_return_prolongs_the_time_for_a_lapsed_evacuation() {
    let east = ItemName::Evacuation("east".to_owned());
    let mut known = KnownState::default();
    known.put("east", Item::Evacuation, 7, START);
    known.service_restored(at(1.0));
    known.lapse(&east, at(1.0));
    known.service_restored(at(3.0));
    known.expire(at(5.4));
    assert_eq!(evacuated_domains(&known), ["east"]);
    known.expire(at(3.0) + RETURN_TIME);
    assert!(evacuated_domains(&known).is_empty());
}
