//! The in-memory key-value service follows the rules of etcd, also while faults are injected.

use {
    futures::StreamExt,
    keyvalue::{Compare, Event, KeyValue, KvError, MemoryKv, Op, Txn},
    std::{pin::pin, time::Duration},
};

fn put(key: &str, value: &str) -> Txn {
    Txn {
        success: vec![Op::Put(key.to_owned(), value.to_owned().into(), None)],
        ..Txn::default()
    }
}

fn create(key: &str) -> Txn {
    Txn {
        compares: vec![Compare::Absent(key.to_owned())],
        ..put(key, "first")
    }
}

#[tokio::test]
async fn one_of_two_creates_succeeds() {
    let kv = MemoryKv::new();
    assert!(kv.txn(create("/a")).await.unwrap().succeeded);
    assert!(!kv.peer().txn(create("/a")).await.unwrap().succeeded);
}

#[tokio::test]
async fn nested_transactions_share_one_revision() {
    let kv = MemoryKv::new();
    kv.txn(put("/a", "old")).await.unwrap();
    let batch = Txn {
        success: vec![Op::Txn(create("/a")), Op::Txn(create("/b"))],
        ..Txn::default()
    };
    let outcome = kv.txn(batch).await.unwrap();
    let succeeded: Vec<bool> = outcome.nested.iter().map(|inner| inner.succeeded).collect();
    assert_eq!(succeeded, [false, true]);
    assert_eq!(outcome.revision, 2);
}

#[tokio::test]
async fn a_key_written_twice_is_refused() {
    let batch = Txn {
        success: vec![Op::Txn(create("/a")), Op::Txn(create("/a"))],
        ..Txn::default()
    };
    let refused = MemoryKv::new().txn(batch).await;
    assert!(matches!(refused, Err(KvError::Refused { .. })));
}

#[tokio::test(start_paused = true)]
async fn a_write_without_an_answer_took_effect_or_will_later() {
    let kv = MemoryKv::new();
    let reader = kv.peer();
    kv.set_faults(|faults| faults.lost_answer_count = 1);
    assert!(matches!(
        kv.txn(put("/lost", "x")).await,
        Err(KvError::Unknown { .. })
    ));
    assert_eq!(reader.range("/lost").await.unwrap().pairs.len(), 1);

    kv.set_faults(|faults| {
        faults.late_call_count = 1;
        faults.late_call_delay = Duration::from_secs(1);
    });
    assert!(kv.txn(put("/late", "x")).await.is_err());
    assert!(reader.range("/late").await.unwrap().pairs.is_empty());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(reader.range("/late").await.unwrap().pairs.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_watch_reports_changes_and_an_expired_lease() {
    let kv = MemoryKv::new();
    let lease = kv.grant(Duration::from_secs(5)).await.unwrap();
    let bound = Op::Put("/w/a".to_owned(), "x".into(), Some(lease.id));
    kv.txn(Txn {
        success: vec![bound],
        ..Txn::default()
    })
    .await
    .unwrap();
    kv.txn(put("/other", "x")).await.unwrap();
    let watch = kv.watch("/w/", 1).take(4).collect::<Vec<_>>().await;
    let events: Vec<Event> = watch.into_iter().map(Result::unwrap).collect();
    assert!(matches!(&events[0], Event::Put(pair) if pair.key == "/w/a"));
    assert_eq!(events[1], Event::Progress(1));
    assert_eq!(events[2], Event::Delete("/w/a".to_owned(), 3));
    let renewed = kv.keep_alive(lease.id).await;
    assert!(matches!(renewed, Err(KvError::Refused { .. })));
}

#[tokio::test]
async fn a_watch_ends_when_cut_and_when_compacted() {
    let kv = MemoryKv::new();
    let mut watch = pin!(kv.watch("/", 1));
    kv.cut_watches();
    assert!(matches!(
        watch.next().await,
        Some(Err(KvError::Unknown { .. }))
    ));
    assert!(watch.next().await.is_none());

    kv.txn(put("/a", "1")).await.unwrap();
    kv.txn(put("/a", "2")).await.unwrap();
    kv.compact();
    let mut watch = pin!(kv.watch("/", 1));
    let ended = watch.next().await;
    assert_eq!(ended, Some(Err(KvError::Compacted { revision: 2 })));
}
