//! Prompts with a part that crashes every engine which begins to answer them.

mod support;

use {
    keyvalue::MemoryKv,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    support::{
        Instance,
        crashing_engine::{CrashingEngine, EngineLog},
        put, wait_until,
    },
    tokio::time::sleep,
};

const DEADLY: &[&str] = &["deadly"];
/// Number of crashes after which [`NEWS_DELAY`] starts.
const TOLERATED_CRASHES_COUNT: usize = 5;
/// Time within which every instance must know of the part.
const NEWS_DELAY: Duration = Duration::from_secs(3);
/// Number of prompts with the part that may reach engines after that.
const TOLERATED_PROMPTS_COUNT: usize = 3;

struct Fleet {
    kv: MemoryKv,
    log: Arc<Mutex<EngineLog>>,
    instances: Vec<Instance>,
    next_call: usize,
}

impl Fleet {
    /// Starts six engines and three instances, and waits until a sound prompt was answered by each.
    async fn start(deadly_parts: &'static [&'static str]) -> Self {
        let (kv, log) = (MemoryKv::new(), Arc::default());
        put(&kv, "operators/configuration", "1").await;
        for name in ["a", "b", "c", "d", "e", "f"] {
            CrashingEngine::start(name, &kv, deadly_parts, &log).await;
        }
        let mut fleet = Self {
            kv,
            log,
            instances: Vec::new(),
            next_call: 0,
        };
        fleet.start_instances().await;
        fleet
    }

    async fn start_instances(&mut self) {
        for name in ["one", "two", "three"] {
            self.instances.push(Instance::start(name, self.kv.clone()));
        }
        for instance in &self.instances {
            wait_until("a sound prompt is answered", async || {
                instance.prompt("start", "template,session,own").await == Some(200)
            })
            .await;
        }
    }

    /// Sends a prompt of the shared `parts` and one of its own to the next instance.
    async fn prompt(&mut self, parts: &str) -> Option<u16> {
        self.next_call += 1;
        let index = self.next_call;
        let instance = &self.instances[index % self.instances.len()];
        instance
            .prompt(&format!("c{index}"), &format!("{parts},own-{index}"))
            .await
    }

    fn crashes_count(&self) -> usize {
        self.log.lock().unwrap().crashes_count
    }

    /// Number of prompts with `part` that have reached engines.
    fn arrived_count(&self, part: &str) -> usize {
        let log = self.log.lock().unwrap();
        let has_part = |parts: &&String| parts.split(',').any(|it| it == part);
        log.arrived.iter().filter(has_part).count()
    }

    /// Sends prompts with the deadly part until so many crashes have been seen that every instance
    /// must know of it, then waits for the news to spread.
    async fn crash_engines(&mut self) {
        for _ in 0..40 {
            if self.crashes_count() >= TOLERATED_CRASHES_COUNT {
                break;
            }
            self.prompt("template,session,deadly").await;
            sleep(Duration::from_millis(300)).await;
        }
        sleep(NEWS_DELAY).await;
    }
}

#[tokio::test]
async fn prompts_with_a_part_that_crashes_engines_stop_reaching_engines() {
    let mut fleet = Fleet::start(DEADLY).await;
    fleet.crash_engines().await;
    let before = fleet.arrived_count("deadly");
    let mut sound_statuses = Vec::new();
    for _ in 0..30 {
        fleet.prompt("template,session,deadly").await;
        sound_statuses.push(fleet.prompt("template,session").await);
    }
    let later_count = fleet.arrived_count("deadly") - before;
    assert!(later_count <= TOLERATED_PROMPTS_COUNT, "{later_count}");
    assert_eq!(sound_statuses, [Some(200); 30]);
}
