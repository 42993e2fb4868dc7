//! Every queued request is admitted in the end, and a request that is cancelled frees its slot.

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

const MAX_RUNNING_COUNT: u32 = 4;

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

fn queue() -> AdmissionQueue {
    AdmissionQueue::new(Limits {
        max_running_count: MAX_RUNNING_COUNT,
        max_wait: Duration::from_mins(1),
        ..Limits::default()
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn running_requests_stay_within_the_limit_and_all_are_admitted() {
    let queue = queue();
    let (running, most_running) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let mut tasks = JoinSet::new();
    for number in 0..200 {
        let (queue, running, most_running) = (queue.clone(), running.clone(), most_running.clone());
        tasks.spawn(async move {
            let account = account(if number % 2 == 0 { "large" } else { "small" });
            let permit = queue.admit(&account, 100, 0).await.expect("a turn");
            let now_running = running.fetch_add(1, Ordering::SeqCst) + 1;
            most_running.fetch_max(now_running, Ordering::SeqCst);
            tokio::task::yield_now().await;
            running.fetch_sub(1, Ordering::SeqCst);
            drop(permit);
        });
    }
    while let Some(ended) = tasks.join_next().await {
        ended.expect("no panic");
    }
    assert!(most_running.load(Ordering::SeqCst) <= MAX_RUNNING_COUNT);
    assert_eq!(queue.counts(), (0, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancelled_callers_leave_no_slot_taken() {
    let queue = queue();
    for round in 0..200_u64 {
        let account = account("kitchens");
        let mut permits = Vec::new();
        for _ in 0..MAX_RUNNING_COUNT {
            permits.push(queue.admit(&account, 1, 0).await.expect("a free slot"));
        }
        let waiting = tokio::spawn({
            let (queue, account) = (queue.clone(), account.clone());
            async move { queue.admit(&account, 1, 0).await.is_ok() }
        });
        if round % 3 != 0 {
            tokio::task::yield_now().await;
        }
        // The waiting request is cancelled while a slot is being handed to it.
        drop(permits.pop());
        waiting.abort();
        let _ = waiting.await;
        drop(permits);
        assert_eq!(queue.counts(), (0, 0), "round {round}");
    }
}

#[tokio::test]
async fn request_with_a_long_expected_wait_is_refused_immediately() {
    let queue = AdmissionQueue::new(Limits {
        max_running_count: 1,
        max_wait: Duration::ZERO,
        ..Limits::default()
    });
    let account = account("kitchens");
    let permit = queue.admit(&account, 1, 0).await.expect("the only slot");
    let second = timeout(Duration::from_secs(20), queue.admit(&account, 1, 0)).await;
    let refused = second.expect("at once").expect_err("no room");
    assert!(!refused.retry_after.is_zero());
    drop(permit);
    assert!(queue.admit(&account, 1, 0).await.is_ok());
}
