//! Which calls are let in, and what the target learns of the caller.

mod support;

use {
    parts::{CachedPart, Change, part_key},
    relay::{TargetState, View, boot_time},
    std::{sync::Arc, time::Duration},
    support::{
        KEY, World, caller,
        scripted::{Scripted, Step},
    },
};

#[tokio::test]
async fn account_comes_from_the_key_and_the_key_stays_here() {
    let target = Scripted::start("one", vec![]).await;
    let world = World::start(&[&target]).await;
    let got = caller::call(world.address, "/once/7", "account: other\r\n").await;
    assert_eq!(got.status, 200);
    let arrived = &target.arrived()[0];
    assert_eq!(arrived.header("account"), Some("chain"));
    assert!(!arrived.head.contains(KEY));
    assert_eq!(arrived.header("target"), Some("one"));
    assert!(arrived.head.starts_with("POST /once/7 HTTP/1.1"));
}

#[tokio::test]
async fn unknown_route_is_refused_only_by_a_current_view() {
    let target = Scripted::start("one", vec![]).await;
    let world = World::start(&[&target]).await;
    assert_eq!(caller::call(world.address, "/none/", "").await.status, 404);
    let stale = View {
        confirmed_at: boot_time().saturating_sub(Duration::from_mins(1)),
        ..support::view(&[&target])
    };
    world.view.store(Arc::new(stale));
    assert_eq!(caller::call(world.address, "/none/", "").await.status, 503);
    assert_eq!(
        caller::call(world.address, "/once/", "").await.status,
        200,
        "known routes work"
    );
}

#[tokio::test]
async fn instance_without_a_configuration_refuses_nothing_for_good() {
    let world = World::start(&[]).await;
    world.view.store(Arc::new(View::default()));
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

#[tokio::test]
async fn call_without_any_target_is_refused_at_once() {
    let world = World::start(&[]).await;
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 503);
}

#[tokio::test]
async fn targets_that_load_or_leave_get_nothing_while_others_can() {
    let one = Scripted::start("one", vec![]).await;
    let two = Scripted::start("two", vec![]).await;
    let world = World::start(&[&one, &two]).await;
    let mut view = support::view(&[&one, &two]);
    view.loading.insert("one".to_owned());
    world.view.store(Arc::new(view));
    for _ in 0..10 {
        assert_eq!(caller::call(world.address, "/once/7", "").await.status, 200);
    }
    assert!(one.arrived().is_empty());
}

#[tokio::test]
async fn weights_past_their_bound_are_not_used() {
    let one = Scripted::start("one", vec![]).await;
    let world = World::start(&[&one]).await;
    let mut view = support::view(&[&one]);
    let long_ago = boot_time().saturating_sub(Duration::from_secs(20));
    view.wanted_versions
        .entry("m".to_owned())
        .or_default()
        .add(2, Some(long_ago), long_ago);
    view.wanted_versions
        .entry("m".to_owned())
        .or_default()
        .add(3, Some(boot_time()), boot_time());
    world.view.store(Arc::new(view));
    let got = caller::call(world.address, "/stream/7", "parts: t:64,s:64,o:9\r\n").await;
    assert_eq!(got.status, 503);
    assert!(one.arrived().is_empty());
}

/// A view of `target` that doesn't know its weights.
fn without_weights(target: &Scripted) -> View {
    let mut view = support::view(&[target]);
    let state = TargetState {
        models: Vec::new(),
        ..(*view.pools["pool"][0]).clone()
    };
    view.pools.insert("pool".to_owned(), vec![Arc::new(state)]);
    view
}

#[tokio::test]
async fn target_of_unknown_weights_gets_no_prompt_once_weights_were_named() {
    let one = Scripted::start("one", vec![]).await;
    let world = World::start(&[&one]).await;
    let mut view = without_weights(&one);
    let wanted = view.wanted_versions.entry("m".to_owned()).or_default();
    wanted.add(2, Some(boot_time()), boot_time());
    world.view.store(Arc::new(view));
    let headers = "parts: t:64,s:64,o:9\r\n";
    let got = caller::call(world.address, "/once/7", headers).await;
    assert_eq!(got.status, 503);
    assert!(one.arrived().is_empty());
}

#[tokio::test]
async fn prompt_to_a_target_of_unknown_weights_is_salted_too() {
    let one = Scripted::start("one", vec![]).await;
    let world = World::start(&[&one]).await;
    world.view.store(Arc::new(without_weights(&one)));
    caller::call(world.address, "/once/7", "parts: t:64,s:64,o:9\r\n").await;
    assert_eq!(one.arrived()[0].header("salt"), Some("0"));
}

#[tokio::test]
async fn call_that_would_begin_past_the_bound_of_its_weights_is_not_sent() {
    let one = Scripted::start("one", vec![]).await;
    let world = World::start(&[&one]).await;
    let mut view = support::view(&[&one]);
    let named = boot_time().saturating_sub(Duration::from_secs(5));
    let wanted = view.wanted_versions.entry("m".to_owned()).or_default();
    wanted.add(2, Some(named), named);
    let call_stats = view.pools["pool"][0].call_stats.clone();
    world.view.store(Arc::new(view));
    let headers = "parts: t:64,s:64,o:9\r\n";
    let got = caller::call(world.address, "/once/7", headers).await;
    assert_eq!(got.status, 200, "two seconds before the bound: {got:?}");
    call_stats.record_start_delay(Duration::from_secs(1_000), Duration::ZERO);
    let got = caller::call(world.address, "/once/7", headers).await;
    assert_eq!(
        got.status, 503,
        "its queue reaches beyond the bound: {got:?}"
    );
}

#[tokio::test]
async fn call_that_is_given_up_shows_how_long_calls_wait() {
    let one = Scripted::start("one", vec![Step::Silence]).await;
    let world = World::start(&[&one]).await;
    let call_stats = world.view.load().pools["pool"][0].call_stats.clone();
    assert_eq!(call_stats.start_delay(Duration::ZERO), Duration::ZERO);
    caller::call(world.address, "/resumable/7", "parts: t:64,s:64,o:9\r\n").await;
    assert!(call_stats.start_delay(Duration::ZERO) > Duration::from_millis(100));
}

#[tokio::test]
async fn stored_parts_of_the_same_weights_are_fetched() {
    let one = Scripted::start("one", vec![]).await;
    let world = World::start(&[&one]).await;
    let place = ([127, 0, 0, 1], 9).into();
    {
        let mut cache_index = world.cache_index.lock().unwrap();
        cache_index.set_store(parts::Store::new(place, 10_000));
        let parts = vec![CachedPart {
            part: part_key("1", "s"),
            tokens: 64,
        }];
        cache_index.apply(&Change::Held { place, parts }, Duration::ZERO);
    }
    let headers = "parts: t:64,s:64,o:9\r\n";
    caller::call(world.address, "/once/7", headers).await;
    world.cache_index.lock().unwrap().clear(place);
    caller::call(world.address, "/once/7", headers).await;
    let arrived = one.arrived();
    assert_eq!(arrived[0].header("fetch"), Some("127.0.0.1:9"));
    assert_eq!(arrived[0].header("salt"), Some("1"));
    assert_eq!(arrived[1].header("fetch"), None);
}
