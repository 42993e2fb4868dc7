//! The known state through changes and outages of the key-value service.

use {
    balance::rendezvous,
    entry::{
        Item, ItemName, KnownState, LoadingRecord, MemberRecord, OwnShutdown, RecentVersion,
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
    let mut registration = TargetRegistration::new("engines", address(port));
    registration.models = vec![LoadedModel {
        model: "m".to_owned(),
        version: 1,
    }];
    Item::Target(registration)
}

fn recent(version: u64, replaces: u64) -> Item {
    Item::Recent(RecentVersion { version, replaces })
}

fn target_name(id: &str) -> ItemName {
    ItemName::Target(id.to_owned())
}

fn is_known(known: &KnownState, id: &str) -> bool {
    known.targets().any(|target| target.id == id)
}

proptest! {
    #[test]
    fn configuration_never_goes_back(versions in prop::collection::vec(any::<u8>(), 1..20)) {
        let mut known = KnownState::default();
        let mut newest = 0;
        for version in versions {
            let config = RouteConfig::default().version(version.into());
            known.put("", Item::Configuration(Box::new(config)), 1, START);
            known.delete(&ItemName::Configuration, START);
            newest = newest.max(u64::from(version));
            assert_eq!(known.view(START).configuration_version(), newest);
        }
    }
}

#[test]
fn removed_target_disappears_immediately() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    known.delete(&target_name("a"), at(0.0));
    assert!(!is_known(&known, "a"));
}

#[test]
fn target_expired_in_an_outage_is_removed_unless_it_registers_again() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    known.put("b", target(2), 1, START);
    known.service_recovered(at(0.0));
    known.delete(&target_name("a"), at(0.1));
    known.delete(&target_name("b"), at(0.1));
    assert!(is_known(&known, "a"), "it may register again soon");
    known.put("b", target(2), 2, at(1.0));
    known.expire(at(2.4));
    assert!(is_known(&known, "a"));
    known.expire(at(2.6));
    assert!(!is_known(&known, "a"));
    assert!(is_known(&known, "b"));
}

/// Guards against calls to targets that left after a single request to the service failed.
#[test]
fn removed_target_disappears_at_once_after_a_disruption_too_short_for_a_lapse() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    known.confirm(at(0.0));
    known.service_recovered(at(2.2));
    known.delete(&target_name("a"), at(2.3));
    assert!(!is_known(&known, "a"));
}

/// Guards against calls to targets that left while only this instance was cut off from the service.
#[test]
fn removed_target_disappears_once_the_service_is_known_to_have_been_there() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    known.put("b", target(2), 1, START);
    known.confirm(at(0.0));
    known.service_recovered(at(5.5));
    known.delete(&target_name("a"), at(5.5));
    assert!(is_known(&known, "a"), "its registration may have lapsed");
    known.rule_out_lapse(at(5.6));
    assert!(!is_known(&known, "a"));
    known.delete(&target_name("b"), at(5.7));
    assert!(!is_known(&known, "b"));
}

/// Guards against calls to a target whose registration was overwritten with something unreadable: that
/// is no lapse.
#[test]
fn target_whose_registration_became_unreadable_is_not_kept_after_an_outage() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    known.service_recovered(at(0.0));
    known.remove(&target_name("a"), at(0.1));
    assert!(!is_known(&known, "a"));
}

/// Guards against calls that reach a target after it has stopped serving.
#[test]
fn target_removed_after_the_outage_is_kept_for_less_time_than_it_goes_on_serving() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    known.confirm(at(0.0));
    known.service_recovered(at(5.5));
    known.confirm(at(5.5));
    known.delete(&target_name("a"), at(6.3));
    known.expire(at(7.7));
    assert!(is_known(&known, "a"));
    known.expire(at(7.9));
    assert!(!is_known(&known, "a"));
}

#[test]
fn draining_target_is_not_kept_through_an_outage() {
    let mut known = KnownState::default();
    let mut registration = TargetRegistration::new("engines", address(1));
    registration.leaving = true;
    known.put("a", Item::Target(registration), 1, START);
    known.service_recovered(at(0.0));
    known.delete(&target_name("a"), at(0.1));
    assert!(!is_known(&known, "a"));
}

#[test]
fn restarted_target_starts_with_empty_state() {
    let mut known = KnownState::default();
    known.put("a", target(1), 1, START);
    let first = known.targets().next().unwrap().call_stats.clone();
    first.record_version("m", 7);
    known.put("a", target(1), 2, START);
    assert_eq!(known.targets().next().unwrap().version("m"), Some(7));
    let mut restarted = TargetRegistration::new("engines", address(1));
    restarted.started_unix_ms = 99;
    known.put("a", Item::Target(restarted), 3, START);
    assert_eq!(known.targets().next().unwrap().version("m"), None);
}

#[test]
fn every_named_version_keeps_its_own_deadline() {
    let bound = Duration::from_secs(7);
    let mut known = KnownState::default();
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
        "a newer version does not extend the deadline of an older one"
    );
    assert_eq!(wanted.min_required_version(at(12.1), bound), 3);
}

#[test]
fn version_received_late_counts_from_the_last_confirmation() {
    let mut known = KnownState::default();
    known.confirm(at(0.0));
    known.put("m", Item::Version(2), 1, at(2.6));
    assert_eq!(
        known.wanted()["m"].max_age(at(3.0)),
        Some(Duration::from_secs(3))
    );
}

#[test]
fn version_received_after_a_suspension_counts_from_the_last_confirmation() {
    let mut known = KnownState::default();
    known.confirm(at(0.0));
    known.note_suspension();
    known.put("m", Item::Version(2), 1, at(2.0));
    known.confirm(at(2.0));
    known.put("m", Item::Version(3), 2, at(2.5));
    let wanted = &known.wanted()["m"];
    let bound = Duration::from_secs(7);
    assert_eq!(wanted.min_required_version(at(7.0), bound), 2);
    assert_eq!(wanted.max_age(at(3.5)), Some(Duration::from_secs(1)));
}

#[test]
fn restarted_instance_uses_no_weights_past_their_deadline() {
    let bound = Duration::from_secs(7);
    let mut known = KnownState::default();
    known.put("m", Item::Version(3), 1, at(0.0));
    known.confirm(at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(0.0), bound), 3);
}

#[test]
fn restarted_instance_uses_older_weights_while_newer_ones_are_marked_recent() {
    let bound = Duration::from_secs(7);
    let mut known = KnownState::default();
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
fn expired_mark_makes_an_unknown_version_required() {
    let bound = Duration::from_secs(7);
    let mut known = KnownState::default();
    known.put("m", Item::Version(4), 1, at(0.0));
    known.put("m", recent(3, 2), 2, at(0.0));
    known.put("m", recent(4, 2), 3, at(0.0));
    known.delete(&ItemName::Recent("m".to_owned(), 2), at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(1.0), bound), 2);
    known.delete(&ItemName::Recent("m".to_owned(), 3), at(1.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(1.0), bound), 3);
}

#[test]
fn mark_without_a_deletion_expires_with_the_version_bound() {
    let bound = Duration::from_secs(7);
    let mut known = KnownState::default();
    known.put("m", Item::Version(3), 1, at(0.0));
    known.put("m", recent(3, 0), 2, at(0.0));
    assert_eq!(known.wanted()["m"].min_required_version(at(6.9), bound), 0);
    assert_eq!(known.wanted()["m"].min_required_version(at(7.0), bound), 3);
}

#[test]
fn mark_does_not_affect_an_instance_that_received_the_version() {
    let bound = Duration::from_secs(7);
    let mut known = KnownState::default();
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
fn announced_targets_get_no_calls_until_the_record_is_deleted() {
    let mut known = KnownState::default();
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
    assert_eq!(loaded.version("m"), Some(2), "known before its own report");
    known.delete(&ItemName::Loading, START);
    assert!(known.view(START).loading.is_empty());
}

#[test]
fn draining_instances_are_not_counted() {
    let mut known = KnownState::default();
    for (name, ready) in [("a", true), ("b", true), ("c", false)] {
        let record = MemberRecord {
            address: address(1),
            failure_domain: "d".to_owned(),
            ready,
            feed: None,
            peer_calls: None,
            link_bits_per_s: None,
            highest_fencing: 0,
            fencing_holder: String::new(),
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
        peer_calls: None,
        link_bits_per_s: None,
        highest_fencing: 0,
        fencing_holder: String::new(),
    })
}

/// Guards against the work of instances being dealt out anew, twice, because several of them were cut off
/// from the service together and lost their records.
#[test]
fn instance_that_was_cut_off_too_stays_until_it_registers_again() {
    let mut known = KnownState::default();
    known.put("a", member(1, true), 1, at(0.0));
    known.put("b", member(2, true), 2, at(0.0));
    known.confirm(at(0.0));
    known.service_recovered(at(5.0));
    known.delete(&ItemName::Member("a".to_owned()), at(5.0));
    known.rule_out_lapse(at(5.1));
    known.delete(&ItemName::Member("b".to_owned()), at(5.2));
    assert_eq!(known.view(at(5.2)).instances_count, 2);
    known.put("b", member(2, true), 3, at(6.0));
    known.expire(at(7.6));
    assert_eq!(
        *known.view(at(7.6)).instance_seeds,
        ["b"].map(rendezvous::member_seed)
    );
}

#[test]
fn view_has_the_seeds_of_ready_instances_in_name_order() {
    let mut known = KnownState::default();
    for (name, ready) in [("c", true), ("a", true), ("b", false), ("d", true)] {
        known.put(name, member(1, ready), 1, START);
    }
    known.put("c", member(1, false), 2, START);
    known.put("b", member(1, true), 2, START);
    let seeds = ["a", "b", "d"].map(rendezvous::member_seed);
    assert_eq!(*known.view(START).instance_seeds, seeds);
}

#[test]
fn draining_instance_knows_ready_peers_and_the_next_restart() {
    let begin_shutdown = |known: &mut KnownState, now: f64| {
        known.begin_shutdown(OwnShutdown {
            instance: "b".to_owned(),
            started_at: at(now),
            grace_period: Duration::from_secs(8),
            announced_at: at(now + 3.0),
            answer_deadline: at(now + 7.0),
        });
    };
    let mut known = KnownState::default();
    assert_eq!(known.shutdown(), None);
    known.put("a", member(1, true), 1, at(0.0));
    known.put("b", member(2, true), 2, at(0.0));
    begin_shutdown(&mut known, 4.0);
    known.put("b", member(2, false), 3, at(4.0));
    let shutdown = known.shutdown().unwrap();
    assert_eq!(shutdown.back_at, None, "the other instance is ready");
    assert!(!shutdown.is_announced(at(6.9)) && shutdown.is_announced(at(7.1)));
    assert!(shutdown.can_finish(Duration::from_secs(3), at(7.9)));
    assert!(!shutdown.can_finish(Duration::from_secs(3), at(8.1)));
    known.put("a", member(1, false), 4, at(5.0));
    known.put("a", member(1, false), 5, at(6.0));
    let back_at = known.shutdown().unwrap().back_at.unwrap();
    assert!(back_at > at(12.0) && back_at < at(13.0), "{back_at:?}");
    assert_eq!(known.unready_after(at(4.5)), [address(1)]);
}

fn domain_target(port: u16, failure_domain: &str) -> Item {
    let mut registration = TargetRegistration::new("engines", address(port));
    failure_domain.clone_into(&mut registration.failure_domain);
    Item::Target(registration)
}

fn evacuation(failure_domain: &str) -> ItemName {
    ItemName::Evacuation(failure_domain.to_owned())
}

/// Ids of the targets that may get calls.
fn targets_in_use(known: &KnownState) -> Vec<String> {
    let view = known.view(START);
    let targets = view.targets_in_use("engines");
    targets.map(|target| target.id.clone()).collect()
}

/// Guards against calls to the targets of an evacuated failure domain, also of those that register later,
/// and against a domain that stays empty afterwards.
#[test]
fn targets_of_an_evacuated_domain_are_not_used_until_the_key_is_gone() {
    let mut known = KnownState::default();
    known.put("a", domain_target(1, "east"), 1, START);
    known.put("b", domain_target(2, "west"), 1, START);
    known.put("east", Item::Evacuation, 2, at(1.0));
    known.put("c", domain_target(3, "east"), 3, at(2.0));
    assert_eq!(targets_in_use(&known), ["b"]);
    assert_eq!(known.targets().count(), 3, "they stay known");
    known.delete(&evacuation("east"), at(3.0));
    assert_eq!(targets_in_use(&known), ["a", "b", "c"]);
}

/// Guards against an evacuation that ends because the service is away: the last known state holds.
#[test]
fn evacuation_lasts_while_the_service_is_away() {
    let mut known = KnownState::default();
    known.put("a", domain_target(1, "east"), 1, START);
    known.put("east", Item::Evacuation, 2, START);
    known.confirm(START);
    known.expire(at(600.0));
    known.service_recovered(at(600.0));
    known.expire(at(700.0));
    assert!(targets_in_use(&known).is_empty());
}

/// Guards against an evacuation that an operator ended and that is kept like a registration which may
/// have expired in an outage: keys of operators do not expire.
#[test]
fn evacuation_ends_at_once_after_an_outage() {
    let mut known = KnownState::default();
    known.put("a", domain_target(1, "east"), 1, START);
    known.put("east", Item::Evacuation, 2, START);
    known.confirm(START);
    known.service_recovered(at(5.5));
    known.delete(&evacuation("east"), at(5.6));
    assert_eq!(targets_in_use(&known), ["a"]);
}

/// Guards against a key with a wrong name that stops calls.
#[test]
fn evacuation_of_an_unknown_domain_changes_nothing() {
    let mut known = KnownState::default();
    known.put("nowhere", Item::Evacuation, 1, START);
    known.put("a", domain_target(1, "east"), 2, START);
    known.put("b", target(2), 2, START);
    assert_eq!(targets_in_use(&known), ["a", "b"]);
}
