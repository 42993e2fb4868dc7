//! Cached parts of an isolated account are kept apart, also after the operators have changed which accounts are isolated.

mod support;

use {
    parts::{CachedPart, Change, part_key},
    relay::{View, boot_time, salt_version},
    routes::{Account, RouteTable},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
    support::{
        KEY, TestRelay, caller,
        scripted_target::{ScriptedTarget, Step},
    },
};

const PROMPT: &str = "parts: t:64,s:64,o:9\r\n";
const ACCOUNTS: [&str; 3] = ["bakery", "chain", "depot"];

/// A view in which these accounts are isolated, and in which the test's key belongs to `calling`.
fn view(target: &ScriptedTarget, isolated: &[&str], calling: &str) -> Arc<View> {
    let mut view = support::view(&[target]);
    let accounts = ACCOUNTS.map(|name| Account {
        name: name.to_owned(),
        keys: vec![if name == calling { KEY } else { name }.to_owned()],
        isolated: isolated.contains(&name),
        ..Account::default()
    });
    let config = view.route_table.as_ref().unwrap().config().clone();
    let table = RouteTable::new(config.accounts(accounts.to_vec()));
    view.route_table = Some(Arc::new(table));
    Arc::new(view)
}

/// Salt of a prompt that `calling` sends while these accounts are isolated.
async fn salt(
    relay: &TestRelay,
    target: &ScriptedTarget,
    isolated: &[&str],
    calling: &str,
) -> String {
    relay.view.store(view(target, isolated, calling));
    let response = caller::call(relay.address, "/once/7", PROMPT).await;
    assert_eq!(response.status, 200, "{response:?}");
    let arrived = target.arrived();
    arrived.last().unwrap().header("salt").unwrap().to_owned()
}

/// Guards against cached parts that an account has made before it was isolated.
#[tokio::test]
async fn no_part_is_shared_with_an_account_that_is_isolated_now() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let mut makers: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
    let configurations: [&[&str]; 9] = [
        &[],
        &["chain"],
        &["chain", "depot"],
        &["depot"],
        &["bakery", "chain", "depot"],
        &[],
        &["bakery"],
        &["depot", "bakery"],
        &["chain"],
    ];
    for isolated in configurations {
        for calling in ACCOUNTS {
            let salt = salt(&relay, &target, isolated, calling).await;
            assert_eq!(salt_version(&salt), Some(1));
            let makers = makers.entry(salt.clone()).or_default();
            makers.insert(calling);
            let is_walled = makers.iter().any(|maker| isolated.contains(maker));
            assert!(
                !is_walled || makers.len() == 1,
                "{salt}: {makers:?}, isolated {isolated:?}"
            );
        }
    }
}

#[tokio::test]
async fn accounts_that_are_not_isolated_share_their_parts() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    for isolated in [&[][..], &["depot"]] {
        let bakery = salt(&relay, &target, isolated, "bakery").await;
        let chain = salt(&relay, &target, isolated, "chain").await;
        assert_eq!(bakery, chain);
    }
}

#[tokio::test]
async fn part_of_an_account_that_is_isolated_now_is_not_fetched() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let shared = salt(&relay, &target, &[], "chain").await;
    let place = ([127, 0, 0, 1], 9).into();
    {
        let mut cache_index = relay.cache_index.lock().unwrap();
        cache_index.set_store(parts::Store::new(place, 10_000));
        cache_index.set_reported(place, boot_time());
        let parts = vec![CachedPart {
            part: part_key(&shared, "s"),
            tokens: 64,
        }];
        cache_index.apply(&Change::Held { place, parts }, Duration::ZERO);
    }
    salt(&relay, &target, &[], "bakery").await;
    salt(&relay, &target, &["chain"], "bakery").await;
    let arrived = target.arrived();
    assert_eq!(arrived[1].header("fetch"), Some("127.0.0.1:9"));
    assert_eq!(arrived[2].header("fetch"), None);
}

/// Guards against a retry that uses parts by the configuration under which the call arrived.
#[tokio::test]
async fn retry_uses_no_part_of_an_account_that_was_isolated_meanwhile() {
    let broken = Step::RespondThenClose(String::new());
    let target = ScriptedTarget::start("one", vec![broken]).await;
    let other = ScriptedTarget::start("two", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    relay.view.store(view(&target, &[], "bakery"));
    let connection = caller::send(relay.address, "/idempotent/7", PROMPT).await;
    while target.arrived().is_empty() {
        tokio::task::yield_now().await;
    }
    relay.view.store(view(&other, &["chain"], "bakery"));
    let response = caller::read_response(connection).await;
    assert_eq!(response.status, 200, "{response:?}");
    let salts = [&target, &other].map(|it| it.arrived()[0].header("salt").unwrap().to_owned());
    assert_ne!(salts[0], salts[1]);
}
