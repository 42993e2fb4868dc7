//! The in-memory key-value service comes back from copies.

use {
    futures::StreamExt,
    keyvalue::{Event, KeyValue, KvError, MemoryKv, Op, Txn},
    std::{pin::pin, time::Duration},
};

const TTL: Duration = Duration::from_secs(2);

fn put(key: &str) -> Txn {
    Txn {
        success: vec![Op::Put(key.to_owned(), "x".into(), None)],
        ..Txn::default()
    }
}

fn is_restored<Output>(answer: &Result<Output, KvError>) -> bool {
    matches!(answer, Err(KvError::Restored { .. }))
}

async fn keys(kv: &MemoryKv) -> Vec<String> {
    let pairs = kv.range("").await.unwrap().pairs;
    pairs.into_iter().map(|pair| pair.key).collect()
}

#[tokio::test]
async fn copy_brings_back_keys_and_revisions_twice() {
    let kv = MemoryKv::with_incarnation();
    let copied = kv.txn(put("/a")).await.unwrap().revision;
    let copy = kv.take_copy();
    for number in [2, 3] {
        kv.txn(put("/lost")).await.unwrap();
        kv.restore(&copy);
        assert!(is_restored(&kv.range("").await));
        assert_eq!(kv.incarnation().borrow().number, number);
        assert_eq!(keys(&kv).await, ["/a"]);
        let again = kv.txn(put("/again")).await.unwrap().revision;
        assert_eq!(again, copied + 1, "the revision is given out again");
    }
}

#[tokio::test(start_paused = true)]
async fn leases_granted_since_the_copy_are_gone_and_others_go_on() {
    let kv = MemoryKv::with_incarnation();
    let kept = kv.grant(TTL).await.unwrap().id;
    let copy = kv.take_copy();
    let lost = kv.grant(TTL).await.unwrap().id;
    tokio::time::sleep(TTL * 2).await;
    kv.restore(&copy);
    assert!(is_restored(&kv.keep_alive(lost).await));
    assert!(matches!(
        kv.keep_alive(lost).await,
        Err(KvError::Refused { .. })
    ));
    assert!(kv.keep_alive(kept).await.is_ok());
}

#[tokio::test]
async fn watch_ends_at_a_return_and_not_before() {
    let kv = MemoryKv::with_incarnation();
    kv.txn(put("/a")).await.unwrap();
    let copy = kv.take_copy();
    let mut events = pin!(kv.watch("", 1));
    assert!(matches!(events.next().await, Some(Ok(Event::Put(_)))));
    assert!(matches!(events.next().await, Some(Ok(Event::Progress(1)))));
    kv.restore(&copy);
    assert!(is_restored(&events.next().await.unwrap()));
    assert!(events.next().await.is_none());
}

#[tokio::test]
async fn watch_beyond_the_end_of_the_history_is_refused() {
    let kv = MemoryKv::new();
    kv.txn(put("/a")).await.unwrap();
    let mut events = pin!(kv.watch("", 3));
    let ended = events.next().await.unwrap();
    assert!(matches!(ended, Err(KvError::Compacted { .. })), "{ended:?}");
}

/// Guards against an instance that learns of a return from the answers to another one.
#[tokio::test]
async fn each_connection_learns_of_a_return_by_its_own_answers() {
    let kv = MemoryKv::with_incarnation();
    let peer = kv.peer();
    assert!(kv.range("").await.is_ok() && peer.range("").await.is_ok());
    kv.restore(&kv.take_copy());
    assert!(is_restored(&kv.range("").await));
    assert_eq!(peer.incarnation().borrow().changes_count, 0);
    assert!(is_restored(&peer.range("").await));
}
