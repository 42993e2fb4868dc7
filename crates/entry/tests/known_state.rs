//! What an instance believes, through changes and outages of the key-value service.

use {
    entry::{
        Item, ItemName, Known, LoadingRecord, MemberRecord, OwnLeaving, RecentVersion,
        TargetRegistration,
    },
    proptest::prelude::{any, prop, proptest},
    relay::LoadedModel,
    routes::RouteConfig,
    std::{net::SocketAddr, time::Duration},
};

const START: Duration = Duration::from_secs(1_000);

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn target(port: u16) -> Item {
    let mut entry = TargetRegistration::new("engines", address(port));
    entry.models = vec![LoadedModel {
        model: "m".to_owned(),
        version: 1,
    }];
    Item::Target(entry)
}

fn recent(version: u64, replaces: u64) -> Item {
    Item::Recent(RecentVersion { version, replaces })
}

fn name(id: &str) -> ItemName {
    ItemName::Target(id.to_owned())
}

fn is_known(known: &Known, id: &str) -> bool {
    known.targets().any(|target| target.id == id)
}

proptest! {
    #[test]
    fn configuration_never_goes_back(versions in prop::collection::vec(any::<u8>(), 1..20)) {
        let mut known = Known::default();
        let mut newest = 0;
        for version in versions {
            let accepted = RouteConfig::default().version(version.into());
            known.put("", Item::Configuration(Box::new(accepted)), 1, START);
            known.delete(&ItemName::Configuration, START);
            newest = newest.max(u64::from(version));
            assert_eq!(known.view(START).configuration_version(), newest);
        }
    }
}

#[test]
fn entry_that_is_removed_is_gone_at_once() {
    let mut known = Known::default();
    known.put("a", target(1), 1, START);
    known.delete(&name("a"), at(0.0));
    assert!(!is_known(&known, "a"));
}

#[test]
fn entry_that_lapsed_in_an_outage_is_gone_soon_after_its_end() {
    let mut known = Known::default();
    known.put("a", target(1), 1, START);
    known.put("b", target(2), 1, START);
    known.returned(at(0.0));
    known.delete(&name("a"), at(0.1));
    known.delete(&name("b"), at(0.1));
    assert!(is_known(&known, "a"), "it may be back soon");
    known.put("b", target(2), 2, at(1.0));
    known.expire(at(2.4));
    assert!(is_known(&known, "a"));
    known.expire(at(2.6));
    assert!(!is_known(&known, "a"));
    assert!(is_known(&known, "b"));
}

#[test]
fn leaving_target_is_not_kept_through_an_outage() {
    let mut known = Known::default();
    let mut entry = TargetRegistration::new("engines", address(1));
    entry.leaving = true;
    known.put("a", Item::Target(entry), 1, START);
    known.returned(at(0.0));
    known.delete(&name("a"), at(0.1));
    assert!(!is_known(&known, "a"));
}

#[test]
fn second_start_under_one_name_begins_with_a_clean_record() {
    let mut known = Known::default();
    known.put("a", target(1), 1, START);
    let first = known.targets().next().unwrap().call_stats.clone();
    first.record_version("m", 7);
    known.put("a", target(1), 2, START);
    assert_eq!(known.targets().next().unwrap().version("m"), Some(7));
    let mut again = TargetRegistration::new("engines", address(1));
    again.started_unix_ms = 99;
    known.put("a", Item::Target(again), 3, START);
    assert_eq!(known.targets().next().unwrap().version("m"), None);
}

#[test]
fn every_named_version_keeps_its_own_bound() {
    let bound = Duration::from_secs(7);
    let mut known = Known::default();
    known.confirm(at(0.0));
    known.put("m", Item::Version(2), 1, at(0.0));
    known.confirm(at(5.0));
    known.put("m", Item::Version(3), 2, at(5.0));
    let wanted = &known.wanted()["m"];
    assert_eq!(wanted.newest_version(), 3);
    assert_eq!(wanted.min_required_version(at(6.9), bound), 0);
    assert_eq!(
        wanted.min_required_version(at(7.1), bound),
        2,
        "the newer wish does not renew the older"
    );
    assert_eq!(wanted.min_required_version(at(12.1), bound), 3);
}

#[test]
fn wish_that_is_heard_of_late_counts_from_the_last_confirmation() {
    let mut known = Known::default();
    known.confirm(at(0.0));
    known.put("m", Item::Version(2), 1, at(2.6));
    assert_eq!(
        known.wanted()["m"].max_age(at(3.0)),
        Some(Duration::from_secs(3))
    );
}

#[test]
fn wish_that_is_heard_of_after_a_suspension_counts_from_the_last_confirmation() {
    let mut known = Known::default();
    known.confirm(at(0.0));
    known.suspended();
    known.put("m", Item::Version(2), 1, at(2.0));
    known.confirm(at(2.0));
    known.put("m", Item::Version(3), 2, at(2.5));
    let wanted = &known.wanted()["m"];
    let bound = Duration::from_secs(7);
    assert_eq!(wanted.min_required_version(at(7.0), bound), 2);
    assert_eq!(wanted.max_age(at(3.5)), Some(Duration::from_secs(1)));
}

#[test]
fn restarted_instance_uses_no_weights_that_may_be_past_their_bound() {
    let bound = Duration::from_secs(7);
    let mut known = Known::default();
    known.put("m", Item::Version(3), 1, at(0.0));
    known.confirm(at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(0.0), bound), 3);
}

#[test]
fn restarted_instance_uses_older_weights_while_the_newer_are_marked_as_recent() {
    let bound = Duration::from_secs(7);
    let mut known = Known::default();
    known.put("m", Item::Version(3), 1, at(0.0));
    known.put("m", recent(3, 2), 2, at(0.0));
    known.put("m", recent(2, 0), 3, at(0.0));
    known.confirm(at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(1.0), bound), 0);
    known.delete(&ItemName::Recent("m".to_owned(), 2), at(1.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(1.0), bound), 2);
    known.delete(&ItemName::Recent("m".to_owned(), 3), at(2.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(2.0), bound), 3);
}

#[test]
fn mark_of_a_version_that_was_not_heard_of_makes_it_due_at_its_end() {
    let bound = Duration::from_secs(7);
    let mut known = Known::default();
    known.put("m", Item::Version(4), 1, at(0.0));
    known.put("m", recent(3, 2), 2, at(0.0));
    known.put("m", recent(4, 2), 3, at(0.0));
    known.delete(&ItemName::Recent("m".to_owned(), 2), at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(1.0), bound), 2);
    known.delete(&ItemName::Recent("m".to_owned(), 3), at(1.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(1.0), bound), 3);
}

#[test]
fn mark_whose_end_is_not_heard_of_ends_with_the_bound() {
    let bound = Duration::from_secs(7);
    let mut known = Known::default();
    known.put("m", Item::Version(3), 1, at(0.0));
    known.put("m", recent(3, 0), 2, at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(6.9), bound), 0);
    assert_eq!(known.wanted()["m"].min_required_version(at(7.0), bound), 3);
}

#[test]
fn mark_changes_nothing_for_an_instance_that_heard_of_the_naming() {
    let bound = Duration::from_secs(7);
    let mut known = Known::default();
    known.confirm(at(0.0));
    known.put("m", Item::Version(2), 1, at(0.0));
    known.put("m", recent(2, 0), 2, at(0.1));
    assert_eq!(known.wanted()["m"].min_required_version(at(6.9), bound), 0);
    assert_eq!(known.wanted()["m"].min_required_version(at(7.0), bound), 2);
    known.confirm(at(5.0));
    known.put("m", Item::Version(3), 3, at(5.0));
    known.put("m", recent(3, 2), 4, at(5.1));
    assert_eq!(known.wanted()["m"].min_required_version(at(6.9), bound), 0);
    assert_eq!(known.wanted()["m"].previous_version(), 2);
}

#[test]
fn announced_loads_keep_calls_away_until_the_record_is_gone() {
    let mut known = Known::default();
    known.put("a", target(1), 1, START);
    known.put("b", target(2), 1, START);
    let record = LoadingRecord {
        model: "m".to_owned(),
        version: 2,
        loading: vec!["a".to_owned()],
        loaded: vec!["b".to_owned()],
    };
    known.put("", Item::Loading(record), 2, START);
    let view = known.view(START);
    assert!(view.loading.contains("a"));
    let loaded = view.pools["engines"]
        .iter()
        .find(|it| it.id == "b")
        .unwrap();
    assert_eq!(loaded.version("m"), Some(2), "known before its own word");
    known.delete(&ItemName::Loading, START);
    assert!(known.view(START).loading.is_empty());
}

#[test]
fn instances_that_leave_are_not_counted() {
    let mut known = Known::default();
    for (name, ready) in [("a", true), ("b", true), ("c", false)] {
        let record = MemberRecord {
            address: address(1),
            failure_domain: "d".to_owned(),
            ready,
            feed: None,
        };
        known.put(name, Item::Member(record), 1, START);
    }
    assert_eq!(known.view(START).instances_count, 2);
}

fn member(port: u16, ready: bool) -> Item {
    Item::Member(MemberRecord {
        address: address(port),
        failure_domain: "a".to_owned(),
        ready,
        feed: None,
    })
}

#[test]
fn leaving_instance_knows_who_else_takes_callers_and_when_one_is_back() {
    let leave = |known: &mut Known, now: f64| {
        known.leave(OwnLeaving {
            instance: "b".to_owned(),
            since: at(now),
            grace: Duration::from_secs(8),
            known_from: at(now + 3.0),
            answers_until: at(now + 7.0),
        });
    };
    let mut known = Known::default();
    assert_eq!(known.leaving(), None);
    known.put("a", member(1, true), 1, at(0.0));
    known.put("b", member(2, true), 2, at(0.0));
    leave(&mut known, 4.0);
    known.put("b", member(2, false), 3, at(4.0));
    let leaving = known.leaving().unwrap();
    assert_eq!(leaving.back_at, None, "the other one takes callers");
    assert!(!leaving.is_announced(at(6.9)) && leaving.is_announced(at(7.1)));
    assert!(leaving.can_finish(Duration::from_secs(3), at(7.9)));
    assert!(!leaving.can_finish(Duration::from_secs(3), at(8.1)));
    known.put("a", member(1, false), 4, at(5.0));
    known.put("a", member(1, false), 5, at(6.0));
    let back_at = known.leaving().unwrap().back_at.unwrap();
    assert!(back_at > at(12.0) && back_at < at(13.0), "{back_at:?}");
    assert_eq!(known.left_since(at(4.5)), [address(1)]);
}
