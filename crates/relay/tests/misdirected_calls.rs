//! What a target shows that refuses a call since it has other weights.

mod support;

use {
    relay::{TargetStats, boot_time},
    std::sync::Arc,
    support::{
        World, caller,
        scripted::{Scripted, Step, answer},
    },
};

/// A relay before a target that has version 1 by its own word, while 2 and 3 are wanted.
async fn world(target: &Scripted) -> (World, Arc<TargetStats>) {
    let world = World::start(&[target]).await;
    let mut view = support::view(&[target]);
    let wanted = view.wanted_versions.entry("m".to_owned()).or_default();
    wanted.add(2, Some(boot_time()), boot_time());
    wanted.add(3, Some(boot_time()), boot_time());
    let call_stats = view.pools["pool"][0].call_stats.clone();
    world.view.store(Arc::new(view));
    (world, call_stats)
}

async fn refusing(times: usize) -> Scripted {
    let refusal = Step::Say(answer("421 Misdirected Request", "", ""));
    Scripted::start("one", vec![refusal; times]).await
}

const PROMPT: &str = "parts: t:64,s:64,o:9\r\n";

#[tokio::test]
async fn target_with_other_weights_is_not_taken_for_newer_than_it_must_be() {
    let target = refusing(1).await;
    let (world, call_stats) = world(&target).await;
    caller::call(world.address, "/once/7", PROMPT).await;
    assert_eq!(call_stats.observed_version("m"), Some(2));
}

#[tokio::test]
async fn target_that_was_taken_for_newer_than_it_is_counts_by_its_own_word_again() {
    let target = refusing(1).await;
    let (world, call_stats) = world(&target).await;
    call_stats.record_version("m", 3);
    caller::call(world.address, "/once/7", PROMPT).await;
    assert_eq!(call_stats.observed_version("m"), None);
}
