//! Instances follow the key-value service through aggregators.

mod support;

use {
    feed::{FollowAnswer, FollowClient, FollowedEvent},
    std::time::Duration,
    support::{
        delete,
        follower_fleet::{FleetMember, FollowerFleet},
        put, wait_until,
    },
    tokio::{io::AsyncReadExt, net::TcpListener, time::sleep},
};

/// Time over which calls are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Longer than an instance stays in force with old state before it tries another source.
const SUSPENSION: Duration = Duration::from_secs(6);

/// Guards against a change of behaviour of deployments that have no aggregators.
#[tokio::test]
async fn small_deployment_watches_the_service_as_before() {
    let fleet = FollowerFleet::start(4, 2).await;
    let calls = fleet.calls_in(COUNTED_TIME).await;
    println!("4 instances: {calls:?} in {COUNTED_TIME:?}");
    for member in &fleet.members {
        assert!(member.watch_count() > 0, "{}", member.name);
    }
    assert_eq!(fleet.lines("service_source"), Vec::<String>::new());
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
}

/// Guards against calls that grow with the product of instances and changes.
async fn check_calls(instances_count: usize, domains_count: usize) {
    let fleet = FollowerFleet::start(instances_count, domains_count).await;
    println!("{instances_count} instances, start: {:?}", fleet.kv.calls());
    fleet.settle().await;
    println!(
        "{instances_count} instances, settled: {:?}",
        fleet.kv.calls()
    );
    let followers_before = fleet.follower_watch_count();
    let calls = fleet.calls_in(COUNTED_TIME).await;
    println!("{instances_count} instances: {calls:?} in {COUNTED_TIME:?}");
    let by_followers_count = fleet.follower_watch_count() - followers_before;
    println!("of these, {by_followers_count} answers to watches of followers");
    assert_eq!(calls.range_count, 0);
    let version = fleet.configure().await;
    let took = fleet.wait_for_version(version, &[]).await;
    println!("{instances_count} instances: in force after {took:?}");
    let lines = fleet.lines("service_source").len();
    println!("{instances_count} instances: {lines} changes of sources");
    // Each of them would have at least one answer for each change, twice a second.
    let own_watches_count = fleet.followers().len() as u64 * 2 * COUNTED_TIME.as_secs();
    assert!(
        by_followers_count < own_watches_count / 4,
        "{by_followers_count}"
    );
}

#[tokio::test]
async fn followers_of_40_instances_do_not_watch_the_service() {
    check_calls(40, 4).await;
}

#[tokio::test]
async fn followers_of_128_instances_do_not_watch_the_service() {
    check_calls(128, 3).await;
}

/// Guards against instances that wake on each other's registration: each of 128 instances would see
/// up to 127 of them.
#[tokio::test]
async fn start_of_128_instances_wakes_few_watches() {
    let (time, call_delay) = (Duration::from_millis(300), Duration::from_millis(20));
    let fleet = FollowerFleet::start_within(time, call_delay, 128, 3).await;
    let calls = fleet.kv.calls();
    println!("128 instances that start within {time:?}: {calls:?}");
    assert!(calls.watch_count < 128 * 5, "{calls:?}");
    fleet.settle().await;
    println!("settled: {:?}", fleet.kv.calls());
}

/// Fails aggregators of the first failure domain right before a configuration is written, and waits
/// until that is in force everywhere else. Then has them recover, if `recover` is given, and waits
/// until it is in force there too.
async fn check_failure<Fail>(
    what: &str,
    failing_count: usize,
    fail: Fail,
    recover: Option<fn(&FleetMember)>,
) where
    Fail: Fn(&FleetMember),
{
    let fleet = FollowerFleet::start(40, 4).await;
    fleet.settle().await;
    let failing = &fleet.aggregators_of(0)[..failing_count];
    let names: Vec<&str> = failing.iter().map(|it| it.name.as_str()).collect();
    for member in failing {
        fail(member);
    }
    let mut longest = Duration::ZERO;
    for _ in 0..8 {
        let version = fleet.configure().await;
        longest = longest.max(fleet.wait_for_version(version, &names).await);
        sleep(Duration::from_millis(200)).await;
    }
    println!("{failing_count} aggregators {what}: in force after at most {longest:?}");
    let Some(recover) = recover else {
        return;
    };
    for member in failing {
        recover(member);
    }
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
    fleet.settle().await;
}

#[tokio::test]
async fn configuration_is_in_force_though_aggregators_are_killed() {
    check_failure("killed", 1, FleetMember::kill, None).await;
    check_failure("killed", 2, FleetMember::kill, None).await;
}

#[tokio::test]
async fn configuration_is_in_force_though_aggregators_are_suspended() {
    let suspend = |member: &FleetMember| member.suspend(SUSPENSION);
    let resumes: Option<fn(&FleetMember)> = Some(|_| {});
    check_failure("suspended", 1, suspend, resumes).await;
    check_failure("suspended", 2, suspend, resumes).await;
}

#[tokio::test]
async fn configuration_is_in_force_though_aggregators_are_cut_off() {
    for count in [1, 2] {
        let reconnect: Option<fn(&FleetMember)> = Some(FleetMember::reconnect);
        check_failure("cut off", count, FleetMember::cut_off, reconnect).await;
        let what = "cut off silently";
        check_failure(what, count, FleetMember::cut_off_silently, reconnect).await;
    }
}

#[tokio::test]
async fn configuration_is_in_force_though_aggregators_drain_or_stop() {
    check_failure("drained", 2, FleetMember::drain, None).await;
    check_failure("stopped", 2, FleetMember::stop, None).await;
}

/// Guards against instances that keep old state though an instance beside them has the new one.
#[tokio::test]
async fn instances_that_can_not_reach_the_service_go_on_through_an_aggregator() {
    let fleet = FollowerFleet::start(40, 4).await;
    fleet.settle().await;
    let cut_off = [&fleet.followers()[0], fleet.aggregators_of(1)[0]];
    for member in cut_off {
        member.cut_off();
    }
    for _ in 0..4 {
        let version = fleet.configure().await;
        fleet.wait_for_version(version, &[]).await;
        sleep(Duration::from_secs(1)).await;
    }
    for member in cut_off {
        member.reconnect();
    }
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
}

/// Guards against instances that keep targets that have left, since they take a cut of their aggregators
/// for an outage of the service.
#[tokio::test]
async fn instances_whose_aggregators_are_cut_off_are_in_no_outage() {
    let fleet = FollowerFleet::start(40, 4).await;
    fleet.settle().await;
    let cut_off = fleet.aggregators_of(0);
    for member in cut_off {
        member.cut_off();
    }
    let names = cut_off.map(|member| member.name.as_str());
    sleep(SUSPENSION).await;
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &names).await;
    for member in &fleet.members {
        let is_cut_off = names.contains(&member.name.as_str());
        assert_eq!(member.outages_count() > 0, is_cut_off, "{}", member.name);
    }
    // They learn of it through an aggregator of another domain.
    fleet.wait_for_version(version, &[]).await;
}

/// Guards against an end of the changes, or an older state, after the service was away.
#[tokio::test]
async fn all_instances_go_on_after_the_service_was_away() {
    let fleet = FollowerFleet::start(40, 4).await;
    fleet.settle().await;
    for member in &fleet.members {
        member.cut_off();
    }
    sleep(Duration::from_secs(4)).await;
    let version = fleet.configure().await;
    for member in &fleet.members {
        member.reconnect();
    }
    let took = fleet.wait_for_version(version, &[]).await;
    println!("in force {took:?} after the service was back");
    wait_until("each instance notices the outage", async || {
        fleet.lines("\"event\":\"outage\"").len() == fleet.members.len()
    })
    .await;
    fleet.settle().await;
}

/// Guards against changes of two incarnations that are mixed.
#[tokio::test]
async fn all_instances_read_again_after_the_service_came_back_from_a_copy() {
    let fleet = FollowerFleet::start(40, 4).await;
    put(&fleet.kv, "targets/old", "127.0.0.1:9 1").await;
    fleet.settle().await;
    let copy = fleet.kv.take_copy();
    put(&fleet.kv, "targets/lost", "127.0.0.1:9 1").await;
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
    fleet.wait_for_targets(&["old", "lost"], &[]).await;
    fleet.kv.restore(&copy);
    let newer = fleet.configure().await;
    fleet.wait_for_version(newer, &[]).await;
    put(&fleet.kv.peer(), "targets/new", "127.0.0.1:9 1").await;
    fleet.wait_for_targets(&["old", "new"], &[]).await;
    fleet.settle().await;
}

/// Guards against a target that stays away since its registration is the same as before.
#[tokio::test]
async fn registration_that_returns_unchanged_is_passed_on() {
    let fleet = FollowerFleet::start(40, 4).await;
    put(&fleet.kv, "targets/one", "127.0.0.1:9 1").await;
    put(&fleet.kv, "targets/two", "127.0.0.1:9 1").await;
    fleet.wait_for_targets(&["one", "two"], &[]).await;
    fleet.settle().await;
    delete(&fleet.kv, "targets/one").await;
    fleet.wait_for_targets(&["two"], &[]).await;
    put(&fleet.kv, "targets/one", "127.0.0.1:9 1").await;
    fleet.wait_for_targets(&["one", "two"], &[]).await;
    // Deleted and written again before anyone has asked.
    delete(&fleet.kv, "targets/one").await;
    put(&fleet.kv, "targets/one", "127.0.0.1:9 1").await;
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
    fleet.wait_for_targets(&["one", "two"], &[]).await;
}

/// Guards against traffic to all instances for each renewal of a registration.
#[tokio::test]
async fn registration_that_is_written_again_unchanged_is_not_passed_on() {
    let fleet = FollowerFleet::start(40, 4).await;
    put(&fleet.kv, "targets/one", "127.0.0.1:9 1").await;
    fleet.wait_for_targets(&["one"], &[]).await;
    fleet.settle().await;
    let since = fleet.kv.revision();
    for _ in 0..10 {
        put(&fleet.kv, "targets/one", "127.0.0.1:9 1").await;
    }
    put(&fleet.kv, "targets/one", "127.0.0.1:9 2").await;
    let version = fleet.configure().await;
    fleet.wait_for_version(version, &[]).await;
    let mut client = FollowClient::new(fleet.aggregators_of(0)[0].feed);
    let patience = Duration::from_secs(10);
    let answer = client.follow(1, since, Duration::ZERO, patience).await;
    let Ok(FollowAnswer::Changes(changes)) = answer else {
        panic!("{answer:?}");
    };
    let of_target = |event: &&FollowedEvent| matches!(event, FollowedEvent::Put { key, .. } if key == "targets/one");
    assert_eq!(changes.events.iter().filter(of_target).count(), 1);
}

/// Guards against instances without changes where the aggregators are of a build that passes none on.
#[tokio::test]
async fn configuration_is_in_force_though_aggregators_can_not_pass_it_on() {
    let fleet = FollowerFleet::start_beside(40, 2, async |kv| {
        for index in 0..4 {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
            let address = listener.local_addr().unwrap();
            // As an old build does, closes a connection after a call that it does not know.
            tokio::spawn(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    tokio::spawn(async move { stream.read(&mut [0; 64]).await });
                }
            });
            let domain = index % 2;
            let record = format!(
                r#"{{"address":"{address}","failure_domain":"domain-{domain}","ready":true,
                    "feed":"{address}","link_bits_per_s":1000000000}}"#
            );
            put(kv, &format!("rattan/members/old-{index}"), &record).await;
        }
    })
    .await;
    for _ in 0..4 {
        let version = fleet.configure().await;
        fleet.wait_for_version(version, &[]).await;
        sleep(Duration::from_secs(1)).await;
    }
}
