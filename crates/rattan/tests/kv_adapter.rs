//! Tests the key-value adapter against the stand-in that the other tests use.

use {
    bytes::Bytes,
    futures::StreamExt,
    keyvalue::{Compare, EtcdKv, EtcdSettings, Event, KeyValue, KvError, Op, Txn},
    serde_json::json,
    standin::{
        Server,
        kv::{Kv, KvSettings},
    },
    std::{pin::pin, time::Duration},
};

async fn start() -> (Server<Kv>, EtcdKv) {
    let server = Kv::start(KvSettings::default()).await.expect("a free port");
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: vec![server.address],
        timeout: Duration::from_secs(5),
    });
    (server, kv)
}

fn create(key: &str, value: &str) -> Txn {
    Txn {
        compares: vec![Compare::Absent(key.to_owned())],
        success: vec![Op::Put(key.to_owned(), Bytes::from(value.to_owned()), None)],
        failure: vec![Op::Get(key.to_owned())],
    }
}

#[tokio::test]
async fn create_if_absent_returns_the_existing_value() {
    let (_server, kv) = start().await;
    assert!(kv.txn(create("c/a", "one")).await.expect("up").succeeded);
    let second = kv.txn(create("c/a", "two")).await.expect("up");
    assert!(!second.succeeded);
    assert_eq!(second.pairs[0].value, "one");
    let both = Txn {
        success: vec![Op::Txn(create("c/a", "x")), Op::Txn(create("c/b", "x"))],
        ..Txn::default()
    };
    let nested = kv.txn(both).await.expect("up").nested;
    let succeeded: Vec<bool> = nested.iter().map(|outcome| outcome.succeeded).collect();
    assert_eq!(succeeded, [false, true]);
    assert_eq!(kv.range("c/").await.expect("up").pairs.len(), 2);
}

#[tokio::test]
async fn watch_delivers_changes_and_progress() {
    let (_server, kv) = start().await;
    let revision = kv.txn(create("w/a", "one")).await.expect("up").revision;
    let mut watch = pin!(kv.watch("w/", revision));
    let first = watch.next().await.expect("an event").expect("no error");
    assert!(matches!(first, Event::Put(pair) if pair.key == "w/a"));
    let progress = watch.next().await.expect("an event").expect("no error");
    assert_eq!(progress, Event::Progress(revision));
    let delete = Txn {
        success: vec![Op::Delete("w/a".to_owned())],
        ..Txn::default()
    };
    let deleted_at = kv.txn(delete).await.expect("up").revision;
    loop {
        match watch.next().await.expect("an event").expect("no error") {
            Event::Progress(_) => {}
            event => {
                assert_eq!(event, Event::Delete("w/a".to_owned(), deleted_at));
                break;
            }
        }
    }
}

#[tokio::test]
async fn compacted_watch_and_lost_answer_give_different_errors() {
    let (server, kv) = start().await;
    kv.txn(create("w/a", "one")).await.expect("up");
    kv.txn(create("w/b", "one")).await.expect("up");
    server
        .set_faults(&json!({"compact": true}))
        .expect("known faults");
    let mut watch = pin!(kv.watch("w/", 1));
    let ended = watch.next().await.expect("an event");
    assert_eq!(ended, Err(KvError::Compacted { revision: 3 }));
    server
        .set_faults(&json!({"lose_answers": 1}))
        .expect("known faults");
    let lost = kv.txn(create("w/c", "one")).await;
    assert!(matches!(lost, Err(KvError::Unknown { .. })));
    assert_eq!(kv.range("w/").await.expect("up").pairs.len(), 3);
}

#[tokio::test]
async fn leases_are_renewed_and_revoked() {
    let (_server, kv) = start().await;
    let lease = kv.grant(Duration::from_secs(30)).await.expect("up");
    let put = Op::Put("l/a".to_owned(), Bytes::new(), Some(lease.id));
    let txn = Txn {
        success: vec![put],
        ..Txn::default()
    };
    kv.txn(txn).await.expect("up");
    assert_eq!(kv.keep_alive(lease.id).await.expect("up").ttl, lease.ttl);
    kv.revoke(lease.id).await.expect("up");
    assert!(kv.range("l/").await.expect("up").pairs.is_empty());
    let lapsed = kv.keep_alive(lease.id).await;
    assert!(matches!(lapsed, Err(KvError::Refused { .. })));
}
