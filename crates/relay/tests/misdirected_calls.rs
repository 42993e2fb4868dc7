//! Refusals by targets whose weights are not the version that the relay assumed.

mod support;

use {
    relay::{TargetStats, boot_time},
    std::sync::Arc,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
};

/// A relay in front of a target that reported version 1, while versions 2 and 3 are wanted.
async fn start_relay(target: &ScriptedTarget) -> (TestRelay, Arc<TargetStats>) {
    let relay = TestRelay::start(&[target]).await;
    let mut view = support::view(&[target]);
    let wanted = view.wanted_versions.entry("m".to_owned()).or_default();
    wanted.add(2, Some(boot_time()), boot_time());
    wanted.add(3, Some(boot_time()), boot_time());
    let call_stats = view.pools["pool"][0].call_stats.clone();
    relay.view.store(Arc::new(view));
    (relay, call_stats)
}

async fn misdirecting_target(times: usize) -> ScriptedTarget {
    let refusal = Step::Respond(answer("421 Misdirected Request", "", ""));
    ScriptedTarget::start("one", vec![refusal; times]).await
}

const PROMPT: &str = "parts: t:64,s:64,o:9\r\n";

#[tokio::test]
async fn misdirected_call_implies_only_the_next_wanted_version() {
    let target = misdirecting_target(1).await;
    let (relay, call_stats) = start_relay(&target).await;
    caller::call(relay.address, "/once/7", PROMPT).await;
    assert_eq!(call_stats.observed_version("m"), Some(2));
}

#[tokio::test]
async fn misdirected_call_for_the_newest_version_restores_the_reported_version() {
    let target = misdirecting_target(1).await;
    let (relay, call_stats) = start_relay(&target).await;
    call_stats.record_version("m", 3);
    caller::call(relay.address, "/once/7", PROMPT).await;
    assert_eq!(call_stats.observed_version("m"), None);
}
