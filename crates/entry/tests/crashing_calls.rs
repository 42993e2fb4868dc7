//! Calls that crash every target which begins to answer them, and come again and again.

mod support;

use {
    futures::future::join_all,
    std::time::Duration,
    support::{
        OutgoingCall,
        crashing_fleet::{Fleet, NEWS_DELAY, TARGETS_COUNT},
        crashing_target::ArrivedCall,
    },
    tokio::time::sleep,
};

/// Number of crashes after which [`NEWS_DELAY`] starts.
const TOLERATED_CRASHES_COUNT: usize = 3;
/// Number of the deadly calls that may reach targets after that.
const TOLERATED_CALLS_COUNT: usize = 3;
/// Number of times that each deadly call comes after that.
const LATER_CALLS_COUNT: usize = 30;
/// Number of these that come directly one after the other.
const BURST_CALLS_COUNT: usize = 10;
/// Pause between two such bursts.
const BURSTS_GAP: Duration = Duration::from_millis(500);
/// Time from a crash until the target listens again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time after which a crash counts for certain, and the next one has no common cause with it.
const CRASH_COUNT_TIME: Duration = Duration::from_millis(500);
/// Time from sound calls until the deadly one that comes while targets run them.
const DEADLY_DELAY: Duration = Duration::from_millis(20);
/// Number of different deadly calls that each come once.
const ROUNDS_COUNT: usize = 7;

/// Sends a deadly call until every instance refuses it, or so many crashes have been seen that it
/// must.
async fn crash_targets(fleet: &mut Fleet, deadly: &OutgoingCall) {
    fleet
        .crash_targets(TOLERATED_CRASHES_COUNT, async |fleet| {
            fleet.send(deadly).await
        })
        .await;
}

/// Checks that each instance answers a sound call.
async fn check_answered(fleet: &mut Fleet, sound: &OutgoingCall) {
    for _ in 0..fleet.instances.len() {
        assert_eq!(fleet.send(sound).await, Some(200), "{sound:?}");
    }
}

/// Waits for the news to spread. Then sends the deadly call in bursts to one instance after the
/// other, and a sound one after each, and checks that hardly any of the former reach targets and
/// all of the latter are answered.
async fn check_refused(fleet: &Fleet, deadly: &OutgoingCall, sound: &OutgoingCall) {
    sleep(NEWS_DELAY).await;
    let before = fleet.arrived_count(ArrivedCall::is_deadly);
    let mut sound_statuses = Vec::new();
    for turn in 0..LATER_CALLS_COUNT {
        if turn > 0 && turn % BURST_CALLS_COUNT == 0 {
            sleep(BURSTS_GAP).await;
        }
        let instance = &fleet.instances[turn % fleet.instances.len()];
        instance.send(deadly).await;
        sound_statuses.push(instance.send(sound).await);
    }
    let later_count = fleet.arrived_count(ArrivedCall::is_deadly) - before;
    assert!(
        later_count <= TOLERATED_CALLS_COUNT,
        "{later_count} deadly calls reached targets"
    );
    assert_eq!(sound_statuses, [Some(200); LATER_CALLS_COUNT]);
}

#[tokio::test]
async fn calls_that_crash_targets_stop_reaching_targets() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let deadly = OutgoingCall::get("/deadly");
    crash_targets(&mut fleet, &deadly).await;
    check_refused(&fleet, &deadly, &OutgoingCall::get("/sound")).await;
}

#[tokio::test]
async fn retried_calls_that_crash_a_target_in_each_attempt_stop_reaching_them() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let deadly = OutgoingCall::get("/retried/deadly");
    crash_targets(&mut fleet, &deadly).await;
    check_refused(&fleet, &deadly, &OutgoingCall::get("/retried/sound")).await;
}

#[tokio::test]
async fn calls_with_a_body_that_crashes_targets_stop_reaching_them() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let deadly = OutgoingCall::post("/once/", "deadly order");
    crash_targets(&mut fleet, &deadly).await;
    let sound = OutgoingCall::post("/once/", "sound order");
    check_refused(&fleet, &deadly, &sound).await;
}

#[tokio::test]
async fn prompts_whose_own_part_crashes_engines_stop_reaching_engines() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let deadly = OutgoingCall::prompt("template,session,deadly-own");
    let sound = OutgoingCall::prompt("template,session,sound-own");
    crash_targets(&mut fleet, &deadly).await;
    check_refused(&fleet, &deadly, &sound).await;
}

#[tokio::test]
async fn restarted_instances_know_the_calls_that_crash_targets() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let deadly = OutgoingCall::get("/deadly");
    crash_targets(&mut fleet, &deadly).await;
    fleet.start_instances().await;
    check_refused(&fleet, &deadly, &OutgoingCall::get("/sound")).await;
}

#[tokio::test]
async fn crashes_under_calls_during_an_outage_of_the_service_count_after_it() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let deadly = OutgoingCall::get("/deadly");
    fleet.kv.set_faults(|faults| faults.unreachable = true);
    fleet.kv.cut_watches();
    for _ in 1..TOLERATED_CRASHES_COUNT {
        fleet.send(&deadly).await;
        sleep(CRASH_COUNT_TIME).await;
    }
    assert_eq!(fleet.crashes_count(), TOLERATED_CRASHES_COUNT - 1);
    fleet.kv.set_faults(|faults| faults.unreachable = false);
    fleet
        .crash_targets(1, async |fleet| fleet.send(&deadly).await)
        .await;
    check_refused(&fleet, &deadly, &OutgoingCall::get("/sound")).await;
}

#[tokio::test]
async fn calls_of_another_account_or_with_another_body_are_not_refused_for_a_deadly_one() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let sound = OutgoingCall::post("/accounts/", "order").key("sound-key");
    let other_body = OutgoingCall::post("/accounts/", "deadly order").key("sound-key");
    let other_account = OutgoingCall::post("/accounts/", "order").key("deadly-key");
    for deadly in [other_body, other_account] {
        crash_targets(&mut fleet, &deadly).await;
    }
    sleep(NEWS_DELAY).await;
    check_answered(&mut fleet, &sound).await;
}

#[tokio::test]
async fn sound_calls_that_are_beside_crashes_are_not_quarantined() {
    let mut fleet = Fleet::start(RESTART_DELAY).await;
    let popular = ["/slow-popular", "/retried/slow-popular"].map(OutgoingCall::get);
    let mut cut_count = 0;
    for round in 0..ROUNDS_COUNT {
        let deadly = OutgoingCall::get(&format!("/deadly-{round}"));
        let one = &fleet.instances[0];
        let crash = async {
            sleep(DEADLY_DELAY).await;
            one.send(&deadly).await
        };
        let (_, sound_statuses) = tokio::join!(crash, send_to_all_targets(&fleet, &popular));
        let cut = sound_statuses.iter().filter(|it| **it != Some(200));
        cut_count += cut.count();
        sleep(CRASH_COUNT_TIME).await;
    }
    assert!(cut_count > 0, "no sound call was at a target that crashed");
    sleep(NEWS_DELAY).await;
    for sound in &popular {
        check_answered(&mut fleet, sound).await;
    }
}

/// Sends the calls from each instance at the same time, so often that each target has some.
async fn send_to_all_targets(fleet: &Fleet, calls: &[OutgoingCall]) -> Vec<Option<u16>> {
    let instances = fleet.instances.iter();
    let sent = instances.flat_map(|instance| {
        let calls = calls.iter().cycle().take(TARGETS_COUNT);
        calls.map(|call| instance.send(call))
    });
    join_all(sent).await
}
