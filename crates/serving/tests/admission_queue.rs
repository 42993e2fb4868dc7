//! Every queued request is admitted in the end, and a request that is cancelled frees its slot.

use {
    admission::Limits,
    catalog::ClientAccount,
    cluster::{Member, MemberState, Members},
    serving::AdmissionQueue,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
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
    });
    let account = account("kitchens");
    let permit = queue.admit(&account, 1, 0).await.expect("the only slot");
    let second = timeout(Duration::from_secs(20), queue.admit(&account, 1, 0)).await;
    let refused = second.expect("at once").expect_err("no room");
    assert!(!refused.retry_after.is_zero());
    drop(permit);
    assert!(queue.admit(&account, 1, 0).await.is_ok());
}

/// Time after which instances grant their parts of the limits.
const SETTLING_TIME: Duration = Duration::from_millis(2_100);

fn member(index: u16) -> Member {
    Member {
        instance: format!("entry-{index:03}"),
        address: ([127, 0, 0, 1], 10_000 + index).into(),
        peer_address: ([127, 0, 0, 1], 20_000 + index).into(),
        region: "region-0".to_owned(),
        failure_domain: format!("fd-{}", index % 3),
        state: MemberState::Live,
        incarnation: 1,
    }
}

/// Queues of instances that all know each other, after their parts have settled.
async fn settled_queues(instances_count: u16) -> Vec<AdmissionQueue> {
    let members = Members::new("region-0".to_owned(), (0..instances_count).map(member));
    let members = Arc::new(members);
    let limits = Limits {
        max_wait: Duration::ZERO,
        ..Limits::default()
    };
    let queues: Vec<AdmissionQueue> = (0..instances_count)
        .map(|index| {
            let queue = AdmissionQueue::new(limits);
            queue.set_members(&member(index).instance, &members);
            queue
        })
        .collect();
    sleep(SETTLING_TIME).await;
    for (index, queue) in (0..instances_count).zip(&queues) {
        queue.set_members(&member(index).instance, &members);
    }
    queues
}

#[tokio::test]
async fn instances_together_run_no_more_than_the_limit_and_one_each() {
    for instances_count in [1, 5, 31, 78, 320] {
        let account = account("kitchens");
        let mut permits = Vec::new();
        for queue in settled_queues(instances_count).await {
            let before = permits.len();
            while let Ok(permit) = queue.admit(&account, 1, 0).await {
                permits.push(permit);
            }
            assert!(permits.len() > before, "each instance runs a request");
        }
        println!("{instances_count}: {}", permits.len());
        let allowed_count = 100 + usize::from(instances_count);
        assert!(permits.len() <= allowed_count, "{}", permits.len());
        assert!(permits.len() >= 80, "{}", permits.len());
    }
}

#[tokio::test]
async fn instances_together_admit_no_more_tokens_than_the_limit() {
    const TOKENS_PER_S: u64 = 10_000;
    const BURST_S: u64 = 10;
    const COST_TOKENS: u64 = 10;
    for instances_count in [1, 5, 31, 78, 320] {
        let account = ClientAccount {
            tokens_per_s: TOKENS_PER_S,
            ..account("kitchens")
        };
        let mut admitted_tokens = 0;
        let begun_at = std::time::Instant::now();
        for queue in settled_queues(instances_count).await {
            while queue.admit(&account, COST_TOKENS, 0).await.is_ok() {
                admitted_tokens += COST_TOKENS;
            }
        }
        println!("{instances_count}: {admitted_tokens} tokens");
        let refilled_tokens = TOKENS_PER_S * (begun_at.elapsed().as_secs() + 1);
        assert!(admitted_tokens <= TOKENS_PER_S * BURST_S + refilled_tokens);
        assert!(admitted_tokens >= TOKENS_PER_S * BURST_S / 2);
    }
}
