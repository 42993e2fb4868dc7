//! Prompts with a part that crashes every engine which begins to answer them.

mod support;

use {
    keyvalue::KeyValue,
    std::time::Duration,
    support::{
        crashing_fleet::{Fleet, NEWS_DELAY},
        wait_until,
    },
    tokio::time::sleep,
};

/// Number of crashes after which [`NEWS_DELAY`] starts.
const TOLERATED_CRASHES_COUNT: usize = 5;
/// Number of prompts with the part that may reach engines after that.
const TOLERATED_PROMPTS_COUNT: usize = 3;
/// Time from a crash until the engine listens again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Sends a prompt of the shared `parts` and one of its own to the next instance.
async fn send_prompt(fleet: &mut Fleet, parts: &str) -> Option<u16> {
    let (index, instance) = fleet.next_call();
    instance
        .prompt(&format!("c{index}"), &format!("{parts},own-{index}"))
        .await
}

/// Number of prompts with `part` that have reached engines.
fn arrived_count(fleet: &Fleet, part: &str) -> usize {
    fleet.arrived_count(|call| call.parts.iter().any(|it| it == part))
}

/// Sends prompts of these parts, one of which crashes engines, until every instance refuses them,
/// or so many crashes have been seen that it must. Then waits for the news to spread.
async fn crash_engines(fleet: &mut Fleet, parts: &str) {
    fleet
        .crash_targets(TOLERATED_CRASHES_COUNT, async |fleet| {
            send_prompt(fleet, parts).await
        })
        .await;
    sleep(NEWS_DELAY).await;
}

/// Sends prompts of these parts, and sound ones between, and checks that hardly any of the
/// former reach engines and all of the latter are answered.
async fn check_quarantine(fleet: &mut Fleet, parts: &str) {
    let part = parts.rsplit(',').next().unwrap();
    let before = arrived_count(fleet, part);
    let mut sound_statuses = Vec::new();
    for _ in 0..15 {
        send_prompt(fleet, parts).await;
        sound_statuses.push(send_prompt(fleet, "template,session").await);
    }
    let later_count = arrived_count(fleet, part) - before;
    assert!(later_count <= TOLERATED_PROMPTS_COUNT, "{later_count}");
    assert_eq!(sound_statuses, [Some(200); 15]);
}

/// Log lines of all instances that name a quarantined part.
fn quarantined_lines(fleet: &Fleet) -> Vec<String> {
    let instances = fleet.instances.iter();
    instances
        .flat_map(|it| it.lines(r#""state":"quarantined""#))
        .collect()
}

#[tokio::test]
async fn prompts_with_a_part_that_crashes_engines_stop_reaching_engines() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    crash_engines(&mut fleet, "template,session,deadly").await;
    check_quarantine(&mut fleet, "template,session,deadly").await;
}

#[tokio::test]
async fn two_parts_that_crash_engines_both_stop_reaching_them() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    crash_engines(&mut fleet, "template,deadly-1").await;
    crash_engines(&mut fleet, "template,session,deadly-2").await;
    check_quarantine(&mut fleet, "template,deadly-1").await;
    check_quarantine(&mut fleet, "template,session,deadly-2").await;
}

#[tokio::test]
async fn restarted_instances_know_the_parts_that_crash_engines() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    crash_engines(&mut fleet, "template,deadly").await;
    fleet.start_instances().await;
    check_quarantine(&mut fleet, "template,deadly").await;
}

#[tokio::test]
async fn crashes_seen_during_an_outage_of_the_service_count_after_it() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    fleet.kv.set_faults(|faults| faults.unreachable = true);
    fleet.kv.cut_watches();
    send_prompt(&mut fleet, "template,deadly").await;
    sleep(Duration::from_millis(500)).await;
    fleet.kv.set_faults(|faults| faults.unreachable = false);
    wait_until("the crashes are in the service", async || {
        let range = fleet.kv.range("rattan/suspects/").await;
        range.is_ok_and(|range| !range.pairs.is_empty())
    })
    .await;
    crash_engines(&mut fleet, "template,deadly").await;
    check_quarantine(&mut fleet, "template,deadly").await;
}

#[tokio::test]
async fn sound_parts_that_are_beside_crashes_are_not_quarantined() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    for round in 0..8 {
        let deadly = format!("template,deadly-{round},own");
        let sound = format!("template,session-{round},own");
        let [one, two, three] = fleet.instances.as_slice() else {
            panic!("three instances are started");
        };
        tokio::join!(
            one.prompt("d", &deadly),
            one.prompt("s1", &sound),
            two.prompt("s2", &sound),
            three.prompt("s3", &sound),
        );
        sleep(Duration::from_millis(900)).await;
    }
    for round in 0..8 {
        let status = send_prompt(&mut fleet, &format!("template,session-{round}")).await;
        assert_eq!(status, Some(200));
    }
    let lines = quarantined_lines(&fleet);
    assert!(lines.is_empty(), "{lines:?}");
}
