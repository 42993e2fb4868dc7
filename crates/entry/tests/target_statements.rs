//! What targets state of themselves in their answers, beside what their registrations say.

mod support;

use {
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{Instance, put, target::Target, wait_until},
    tokio::time::{sleep, timeout},
};

/// Time that a target takes for a call.
const WORK: Duration = Duration::from_millis(5);
/// Number of calls in each check.
const CALLS_COUNT: usize = 40;

/// An instance before two targets, `a` and `b`.
struct Fleet {
    kv: MemoryKv,
    a: Target,
    _b: Target,
    instance: Instance,
}

impl Fleet {
    async fn start() -> Self {
        let kv = MemoryKv::new();
        put(&kv, "operators/configuration", "1").await;
        let (a, b) = (Target::start(WORK).await, Target::start(WORK).await);
        put(&kv, "targets/a", &registration(&a, 1)).await;
        put(&kv, "targets/b", &registration(&b, 1)).await;
        let instance = Instance::start("one", kv.clone());
        wait_until("both targets", async || {
            instance.call("/x").await;
            a.calls_count() > 0 && b.calls_count() > 0
        })
        .await;
        Self {
            kv,
            a,
            _b: b,
            instance,
        }
    }

    /// Sends calls, which must all be answered with success, and returns how many of them reached `a`.
    async fn calls_of_a(&self) -> usize {
        let before_count = self.a.calls_count();
        for _ in 0..CALLS_COUNT {
            let (status, _) = self.instance.call("/x").await.unwrap();
            assert_eq!(status, 200);
        }
        self.a.calls_count() - before_count
    }

    /// Has `a` state that it leaves, and calls it until it has.
    async fn let_a_leave(&self) {
        self.a.set_leaving(true);
        let before_count = self.a.calls_count();
        let told = async {
            while self.a.calls_count() == before_count {
                self.instance.call("/x").await;
            }
        };
        timeout(Duration::from_secs(10), told).await.unwrap();
    }
}

/// Registration of a target that started at `started_unix_ms`.
fn registration(target: &Target, started_unix_ms: u64) -> String {
    format!("{} 1 v1 {started_unix_ms}", target.address)
}

#[tokio::test]
async fn leaving_target_gets_no_calls_while_the_service_is_away() {
    let fleet = Fleet::start().await;
    fleet.kv.set_faults(|faults| faults.unreachable = true);
    fleet.kv.cut_watches();
    fleet.let_a_leave().await;
    assert_eq!(fleet.calls_of_a().await, 0);
}

#[tokio::test]
async fn registration_that_is_read_again_does_not_bring_a_leaving_target_back() {
    let fleet = Fleet::start().await;
    fleet.let_a_leave().await;
    put(&fleet.kv, "targets/a", &registration(&fleet.a, 1)).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.calls_of_a().await, 0);
}

#[tokio::test]
async fn registration_that_lapses_and_returns_does_not_bring_a_leaving_target_back() {
    let fleet = Fleet::start().await;
    fleet.let_a_leave().await;
    support::delete(&fleet.kv, "targets/a").await;
    sleep(Duration::from_millis(200)).await;
    put(&fleet.kv, "targets/a", &registration(&fleet.a, 1)).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.calls_of_a().await, 0);
}

#[tokio::test]
async fn leaving_target_that_restarts_under_its_id_is_used_at_once() {
    let fleet = Fleet::start().await;
    fleet.let_a_leave().await;
    fleet.a.set_leaving(false);
    put(&fleet.kv, "targets/a", &registration(&fleet.a, 2)).await;
    sleep(Duration::from_millis(200)).await;
    assert!(fleet.calls_of_a().await > 0);
}

#[tokio::test]
async fn target_gets_no_calls_before_the_time_that_it_named() {
    let fleet = Fleet::start().await;
    fleet.a.set_retry_after(Some(30.0));
    assert!(fleet.calls_of_a().await > 0, "the first call is refused");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.calls_of_a().await, 0);
}
