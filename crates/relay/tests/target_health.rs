//! Whose fault a failed call was, and what that means for its targets.

mod support;

use {
    std::time::Duration,
    support::{
        World, caller,
        scripted::{Scripted, Step, answer},
    },
};

/// Enough that each target is chosen twice.
const CALLS_COUNT: usize = 60;

fn failures() -> Vec<Step> {
    let failure = answer("500 Internal Server Error", "stamp: s\r\n", "why");
    vec![Step::Say(failure); CALLS_COUNT]
}

/// Names of the targets that are left out.
fn left_out(world: &World) -> Vec<String> {
    let view = world.view.load();
    let targets = view.pools["pool"].iter();
    let left_out = targets.filter(|target| target.call_stats.is_left_out(Duration::ZERO));
    left_out.map(|target| target.id.clone()).collect()
}

#[tokio::test]
async fn call_that_fails_everywhere_shows_nothing_of_its_targets() {
    let one = Scripted::start("one", failures()).await;
    let two = Scripted::start("two", failures()).await;
    let world = World::start(&[&one, &two]).await;
    for _ in 0..CALLS_COUNT {
        let got = caller::call(world.address, "/idempotent/7", "").await;
        assert_eq!(got.status, 500);
    }
    assert!(left_out(&world).is_empty(), "{:?}", left_out(&world));
}

#[tokio::test]
async fn target_that_fails_what_another_answers_is_left_out() {
    let one = Scripted::start("one", failures()).await;
    let two = Scripted::start("two", vec![]).await;
    let world = World::start(&[&one, &two]).await;
    for _ in 0..CALLS_COUNT {
        let got = caller::call(world.address, "/idempotent/7", "").await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(left_out(&world), ["one"]);
}

#[tokio::test]
async fn target_that_fails_calls_that_nobody_else_gets_is_left_out() {
    let one = Scripted::start("one", failures()).await;
    let world = World::start(&[&one]).await;
    for _ in 0..2 {
        let got = caller::call(world.address, "/once/7", "").await;
        assert_eq!(got.status, 500);
    }
    assert_eq!(left_out(&world), ["one"]);
}
