//! Registrations that disappear around a time in which the key-value service gave no answers.

mod support;

use {
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{Instance, delete, keep_current, put, target::Target, wait_until},
    tokio::time::sleep,
};

/// Time that a target takes for a call.
const WORK: Duration = Duration::from_millis(5);
/// Time without answers that lets registrations lapse.
const LONG_CUT: Duration = Duration::from_secs(3);
/// Time in which an instance asks the others whether the service was there.
const ASKING_TIME: Duration = Duration::from_millis(700);
/// Number of calls in each check.
const CALLS_COUNT: usize = 40;

/// Two instances, each with a connection of its own to the service, before two targets.
struct Fleet {
    kv: MemoryKv,
    kv_of_one: MemoryKv,
    kv_of_two: MemoryKv,
    leaving: Target,
    _staying: Target,
    one: Instance,
    _two: Instance,
}

impl Fleet {
    async fn start() -> Self {
        let kv = MemoryKv::new();
        keep_current(&kv);
        put(&kv, "operators/configuration", "1").await;
        let (leaving, staying) = (Target::start(WORK).await, Target::start(WORK).await);
        put(&kv, "targets/leaving", &format!("{} 1", leaving.address)).await;
        put(&kv, "targets/staying", &format!("{} 1", staying.address)).await;
        let (kv_of_one, kv_of_two) = (kv.peer(), kv.peer());
        let one = Instance::start("one", kv_of_one.clone());
        let two = Instance::start("two", kv_of_two.clone());
        wait_until("each instance knows the other", async || {
            one.addresses().await.len() == 2 && two.addresses().await.len() == 2
        })
        .await;
        let fleet = Self {
            kv,
            kv_of_one,
            kv_of_two,
            leaving,
            _staying: staying,
            one,
            _two: two,
        };
        wait_until("calls", async || fleet.calls_of_leaving().await > 0).await;
        fleet
    }

    /// Sends calls to the first instance, and returns how many of them reached the leaving target.
    async fn calls_of_leaving(&self) -> usize {
        let before_count = self.leaving.calls_count();
        for _ in 0..CALLS_COUNT {
            let (status, _) = self.one.call("/x").await.unwrap();
            assert_eq!(status, 200);
        }
        self.leaving.calls_count() - before_count
    }

    /// Waits until the first instance follows the service again.
    async fn follows_again(&self) {
        wait_until("the service is followed again", async || {
            !self.one.lines("is followed again").is_empty()
        })
        .await;
    }
}

fn cut(kv: &MemoryKv) {
    kv.set_faults(|faults| faults.unreachable = true);
    kv.cut_watches();
}

fn heal(kv: &MemoryKv) {
    kv.set_faults(|faults| faults.unreachable = false);
}

/// Guards against calls to a target that left after only one instance was cut off from the service:
/// its registration cannot have lapsed because of that.
#[tokio::test]
async fn target_that_leaves_after_a_cut_of_one_instance_gets_no_calls() {
    let fleet = Fleet::start().await;
    cut(&fleet.kv_of_one);
    sleep(LONG_CUT).await;
    heal(&fleet.kv_of_one);
    fleet.follows_again().await;
    delete(&fleet.kv, "targets/leaving").await;
    sleep(ASKING_TIME).await;
    assert_eq!(fleet.calls_of_leaving().await, 0);
}

/// Guards the same for a target that left during the cut.
#[tokio::test]
async fn target_that_left_during_a_cut_of_one_instance_gets_no_calls() {
    let fleet = Fleet::start().await;
    cut(&fleet.kv_of_one);
    sleep(LONG_CUT).await;
    delete(&fleet.kv, "targets/leaving").await;
    heal(&fleet.kv_of_one);
    fleet.follows_again().await;
    sleep(ASKING_TIME).await;
    assert_eq!(fleet.calls_of_leaving().await, 0);
}

/// Guards against giving up the targets whose registrations lapsed while the service was away for
/// everybody.
#[tokio::test]
async fn target_that_lapsed_while_the_service_was_away_for_all_gets_calls() {
    let fleet = Fleet::start().await;
    cut(&fleet.kv_of_one);
    cut(&fleet.kv_of_two);
    sleep(LONG_CUT).await;
    delete(&fleet.kv, "targets/leaving").await;
    heal(&fleet.kv_of_one);
    heal(&fleet.kv_of_two);
    fleet.follows_again().await;
    sleep(ASKING_TIME).await;
    assert!(fleet.calls_of_leaving().await > 0);
}
