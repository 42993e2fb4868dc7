//! The in-memory key-value service comes back from copies and names no incarnation.

use {
    futures::{StreamExt, future::join_all},
    keyvalue::{KeyValue, KvError, KvFaults, MemoryKv, Op, Txn},
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

const TTL: Duration = Duration::from_secs(2);
/// Number of handles that call a sound service at once, and how often each does.
const HANDLES_COUNT: u64 = 40;
const ROUNDS_COUNT: u64 = 50;

fn put(key: &str) -> Txn {
    Txn {
        success: vec![Op::Put(key.to_owned(), "x".into(), None)],
        ..Txn::default()
    }
}

fn is_restored<Output>(answer: &Result<Output, KvError>) -> bool {
    matches!(answer, Err(KvError::Restored { .. }))
}

fn changes_count(kv: &MemoryKv) -> u64 {
    kv.incarnation().borrow().changes_count
}

#[tokio::test]
async fn lower_revision_is_a_return() {
    for call in ["range", "txn", "watch"] {
        let kv = MemoryKv::new();
        let copy = kv.take_copy();
        for _ in 0..4 {
            kv.txn(put("/lost")).await.unwrap();
        }
        let mut events = pin!(kv.watch("", 5));
        kv.restore(&copy);
        let is_news = match call {
            "range" => is_restored(&kv.range("").await),
            "txn" => is_restored(&kv.txn(put("/a")).await),
            _ => {
                let ended = events.next().await.unwrap();
                assert!(matches!(ended, Err(KvError::Compacted { .. })), "{ended:?}");
                is_restored(&kv.range("").await)
            }
        };
        assert!(is_news, "{call}");
        assert_eq!(changes_count(&kv), 1, "{call}");
        assert_eq!(kv.incarnation().borrow().number, 0, "{call}");
        assert!(kv.range("").await.is_ok(), "{call} counts once");
    }
}

/// Guards against a fake that knows more than a client can.
#[tokio::test]
async fn return_is_noticed_by_proof_only() {
    let kv = MemoryKv::new();
    let lease = kv.grant(TTL).await.unwrap().id;
    kv.txn(put("/a")).await.unwrap();
    let copy = kv.take_copy();
    let writer = kv.peer();
    writer.txn(put("/lost")).await.unwrap();
    kv.restore(&copy);
    assert!(kv.keep_alive(lease).await.is_ok());
    assert!(kv.range("").await.is_ok(), "not below what it knew");
    assert_eq!(changes_count(&kv), 0);
    assert!(is_restored(&writer.range("").await));
}

#[tokio::test(start_paused = true)]
async fn late_answer_proves_nothing() {
    let kv = MemoryKv::new();
    kv.txn(put("/a")).await.unwrap();
    kv.set_faults(|faults| faults.answer_delay = TTL);
    let slow = kv.clone();
    let late = tokio::spawn(async move { slow.range("").await });
    sleep(TTL / 2).await;
    kv.set_faults(|faults| faults.answer_delay = Duration::ZERO);
    kv.txn(put("/a")).await.unwrap();
    assert!(late.await.unwrap().is_ok());
    assert!(kv.range("").await.is_ok());
    assert_eq!(changes_count(&kv), 0);
}

/// Calls the service in all ways, and gives some calls up before they are answered.
async fn call_in_all_ways(kv: MemoryKv, seed: u64) {
    let mut from = 1;
    for round in 0..ROUNDS_COUNT {
        let number = seed * 31 + round * 17;
        kv.set_faults(|faults| {
            faults.call_delay = Duration::from_millis(number % 7);
            faults.answer_delay = Duration::from_millis(number % 11);
            faults.lost_answer_count = u32::from(number.is_multiple_of(13));
            faults.unreachable = number.is_multiple_of(19);
        });
        let patience = Duration::from_millis(if round % 5 == 0 { 4 } else { 100 });
        let failed = match number % 4 {
            0 => timeout(patience, kv.range("")).await.map(Result::err),
            1 => timeout(patience, kv.grant(TTL)).await.map(Result::err),
            2 => {
                let mut events = pin!(kv.watch_within("", from, Duration::from_millis(1)));
                let event = timeout(patience, events.next()).await;
                let failed = event.map(|it| it.and_then(Result::err));
                from = kv.revision() + 1;
                failed
            }
            _ => timeout(patience, kv.txn(put(&format!("/{seed}"))))
                .await
                .map(Result::err),
        };
        let is_news = matches!(failed, Ok(Some(KvError::Restored { .. })));
        assert!(!is_news, "handle {seed} in round {round}");
        if number.is_multiple_of(23) {
            kv.compact();
            kv.expire_leases();
        }
    }
}

/// Guards against a sound service that is taken for one that went back.
#[tokio::test(start_paused = true)]
async fn sound_service_never_came_back() {
    let kv = MemoryKv::new();
    let handles = (0..HANDLES_COUNT).map(|index| {
        if index % 2 == 0 {
            kv.clone()
        } else {
            kv.peer()
        }
    });
    let handles: Vec<MemoryKv> = handles.collect();
    let calls = handles.iter().zip(0..);
    join_all(calls.map(|(kv, seed)| call_in_all_ways(kv.clone(), seed))).await;
    for handle in handles {
        handle.set_faults(|faults| *faults = KvFaults::default());
        assert!(handle.range("").await.is_ok());
        assert_eq!(changes_count(&handle), 0);
    }
}
