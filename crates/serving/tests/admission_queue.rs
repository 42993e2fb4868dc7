//! Requests that wait at the gate get their turn, and those that go away leave nothing behind.

use {
    admission::Limits,
    catalog::ClientAccount,
    serving::AdmissionQueue,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::timeout},
};

const RUNNING_COUNT: u32 = 4;

fn account(name: &str) -> ClientAccount {
    ClientAccount {
        name: name.to_owned(),
        labels: catalog::Labels::default(),
        key_digests: Vec::new(),
        max_running_count: 100,
        tokens_per_s: 1_000_000_000,
        weight: 1,
    }
}

fn gate() -> AdmissionQueue {
    AdmissionQueue::new(Limits {
        max_running_count: RUNNING_COUNT,
        max_wait: Duration::from_mins(1),
        ..Limits::default()
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_more_run_than_the_limit_and_all_get_their_turn() {
    let gate = gate();
    let (running, most) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut tasks = JoinSet::new();
    for number in 0..200 {
        let (gate, running, most) = (gate.clone(), running.clone(), most.clone());
        tasks.spawn(async move {
            let account = account(if number % 2 == 0 { "large" } else { "small" });
            let pass = gate.admit(&account, 100, 0).await.expect("a turn");
            let now_running = running.fetch_add(1, Ordering::SeqCst) + 1;
            most.fetch_max(now_running, Ordering::SeqCst);
            tokio::task::yield_now().await;
            running.fetch_sub(1, Ordering::SeqCst);
            drop(pass);
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no panic");
    }
    assert!(most.load(Ordering::SeqCst) <= RUNNING_COUNT);
    assert_eq!(gate.counts(), (0, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_that_go_away_leave_no_slot_taken() {
    let gate = gate();
    for round in 0..200_u64 {
        let account = account("kitchens");
        let mut passes = Vec::new();
        for _ in 0..RUNNING_COUNT {
            passes.push(gate.admit(&account, 1, 0).await.expect("a free slot"));
        }
        let waiting = tokio::spawn({
            let (gate, account) = (gate.clone(), account.clone());
            async move { gate.admit(&account, 1, 0).await.is_ok() }
        });
        if round % 3 != 0 {
            tokio::task::yield_now().await;
        }
        // The waiter goes away while a slot is handed to it.
        drop(passes.pop());
        waiting.abort();
        let _ = waiting.await;
        drop(passes);
        assert_eq!(gate.counts(), (0, 0), "round {round}");
    }
}

#[tokio::test]
async fn a_long_wait_is_refused_at_once() {
    let gate = AdmissionQueue::new(Limits {
        max_running_count: 1,
        max_wait: Duration::ZERO,
        ..Limits::default()
    });
    let account = account("kitchens");
    let pass = gate.admit(&account, 1, 0).await.expect("the only slot");
    let second = timeout(Duration::from_secs(20), gate.admit(&account, 1, 0)).await;
    let refused = second.expect("at once").expect_err("no room");
    assert!(!refused.retry_after.is_zero());
    drop(pass);
    assert!(gate.admit(&account, 1, 0).await.is_ok());
}
