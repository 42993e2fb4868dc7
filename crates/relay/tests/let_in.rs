//! Admission of calls, eligibility of targets, and the metadata that a target receives.

mod support;

use {
    parts::{CachedPart, Change, part_key},
    relay::{TargetState, View, boot_time},
    routes::{RouteConfig, RouteTable},
    std::{sync::Arc, time::Duration},
    support::{
        KEY, TestRelay, caller,
        scripted_target::{ScriptedTarget, Step},
    },
};

#[tokio::test]
async fn target_gets_the_account_of_the_key_but_not_the_key() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let response = caller::call(relay.address, "/once/7", "account: other\r\n").await;
    assert_eq!(response.status, 200);
    let arrived = &target.arrived()[0];
    assert_eq!(arrived.header("account"), Some("chain"));
    assert!(!arrived.head.contains(KEY));
    assert_eq!(arrived.header("target"), Some("one"));
    assert!(arrived.head.starts_with("POST /once/7 HTTP/1.1"));
}

#[tokio::test]
async fn unknown_route_is_rejected_only_by_a_current_view() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    assert_eq!(caller::call(relay.address, "/none/", "").await.status, 404);
    let stale = View {
        confirmed_at: boot_time().saturating_sub(Duration::from_mins(1)),
        ..support::view(&[&target])
    };
    relay.view.store(Arc::new(stale));
    assert_eq!(caller::call(relay.address, "/none/", "").await.status, 503);
    assert_eq!(
        caller::call(relay.address, "/once/", "").await.status,
        200,
        "an outdated view still serves known routes"
    );
}

#[tokio::test]
async fn instance_without_a_configuration_asks_callers_to_retry() {
    let relay = TestRelay::start(&[]).await;
    relay.view.store(Arc::new(View::default()));
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

/// Guards against opening all routes to everybody once a configuration takes the last account away.
#[tokio::test]
async fn no_key_is_accepted_once_no_account_is_left() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let config = RouteConfig::default().version(8).routes(support::routes());
    let mut view = support::view(&[&target]);
    view.route_table = Some(Arc::new(RouteTable::new(config.accounts(vec![]))));
    relay.view.store(Arc::new(view));
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 401, "{response:?}");
    assert_eq!(target.arrived().len(), 0);
}

#[tokio::test]
async fn call_is_refused_if_the_pool_has_no_target() {
    let relay = TestRelay::start(&[]).await;
    let response = caller::call(relay.address, "/once/7", "").await;
    assert_eq!(response.status, 503);
}

#[tokio::test]
async fn loading_target_gets_no_calls_while_another_is_available() {
    let one = ScriptedTarget::start("one", vec![]).await;
    let two = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&one, &two]).await;
    let mut view = support::view(&[&one, &two]);
    view.loading.insert("one".to_owned());
    relay.view.store(Arc::new(view));
    for _ in 0..10 {
        assert_eq!(caller::call(relay.address, "/once/7", "").await.status, 200);
    }
    assert!(one.arrived().is_empty());
}

#[tokio::test]
async fn target_with_overdue_weights_gets_no_calls() {
    let one = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
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
    relay.view.store(Arc::new(view));
    let response = caller::call(relay.address, "/stream/7", "parts: t:64,s:64,o:9\r\n").await;
    assert_eq!(response.status, 503);
    assert!(one.arrived().is_empty());
}

/// A view of `target` in which its weights are not known.
fn view_without_weights(target: &ScriptedTarget) -> View {
    let mut view = support::view(&[target]);
    let state = TargetState {
        models: Vec::new(),
        ..(*view.pools["pool"][0]).clone()
    };
    view.pools.insert("pool".to_owned(), vec![Arc::new(state)]);
    view
}

#[tokio::test]
async fn target_with_unknown_weights_gets_no_prompts_once_a_version_is_wanted() {
    let one = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
    let mut view = view_without_weights(&one);
    let wanted = view.wanted_versions.entry("m".to_owned()).or_default();
    wanted.add(2, Some(boot_time()), boot_time());
    relay.view.store(Arc::new(view));
    let headers = "parts: t:64,s:64,o:9\r\n";
    let response = caller::call(relay.address, "/once/7", headers).await;
    assert_eq!(response.status, 503);
    assert!(one.arrived().is_empty());
}

#[tokio::test]
async fn prompt_to_a_target_with_unknown_weights_is_salted_with_version_zero() {
    let one = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
    relay.view.store(Arc::new(view_without_weights(&one)));
    caller::call(relay.address, "/once/7", "parts: t:64,s:64,o:9\r\n").await;
    assert_eq!(one.arrived()[0].header("salt"), Some("0"));
}

#[tokio::test]
async fn call_that_would_start_on_overdue_weights_is_not_sent() {
    let one = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
    let mut view = support::view(&[&one]);
    let requested_at = boot_time().saturating_sub(Duration::from_secs(5));
    let wanted = view.wanted_versions.entry("m".to_owned()).or_default();
    wanted.add(2, Some(requested_at), requested_at);
    let call_stats = view.pools["pool"][0].call_stats.clone();
    relay.view.store(Arc::new(view));
    let headers = "parts: t:64,s:64,o:9\r\n";
    let response = caller::call(relay.address, "/once/7", headers).await;
    assert_eq!(
        response.status, 200,
        "two seconds before version 1 is overdue: {response:?}"
    );
    call_stats.record_start_delay(Duration::from_secs(1_000), Duration::ZERO);
    let response = caller::call(relay.address, "/once/7", headers).await;
    assert_eq!(
        response.status, 503,
        "the call would start after version 1 is overdue: {response:?}"
    );
}

#[tokio::test]
async fn abandoned_call_raises_the_start_delay_of_its_target() {
    let one = ScriptedTarget::start("one", vec![Step::NeverRespond]).await;
    let relay = TestRelay::start(&[&one]).await;
    let call_stats = relay.view.load().pools["pool"][0].call_stats.clone();
    assert_eq!(call_stats.start_delay(Duration::ZERO), Duration::ZERO);
    caller::call(relay.address, "/resumable/7", "parts: t:64,s:64,o:9\r\n").await;
    assert!(call_stats.start_delay(Duration::ZERO) > Duration::from_millis(100));
}

#[tokio::test]
async fn stored_parts_of_the_target_weights_are_fetched() {
    let one = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&one]).await;
    let place = ([127, 0, 0, 1], 9).into();
    {
        let mut cache_index = relay.cache_index.lock().unwrap();
        cache_index.set_store(parts::Store::new(place, 10_000));
        cache_index.set_reported(place, relay::boot_time());
        let parts = vec![CachedPart {
            part: part_key("1", "s"),
            tokens: 64,
        }];
        cache_index.apply(&Change::Held { place, parts }, Duration::ZERO);
    }
    let headers = "parts: t:64,s:64,o:9\r\n";
    caller::call(relay.address, "/once/7", headers).await;
    relay.cache_index.lock().unwrap().clear(place, boot_time());
    caller::call(relay.address, "/once/7", headers).await;
    let arrived = one.arrived();
    assert_eq!(arrived[0].header("fetch"), Some("127.0.0.1:9"));
    assert_eq!(arrived[0].header("salt"), Some("1"));
    assert_eq!(arrived[1].header("fetch"), None);
}
