//! Prompts with a part that crashes every engine which begins to answer them.

mod support;

use {
    keyvalue::{KeyValue, MemoryKv},
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
    async fn start() -> Self {
        let (kv, log) = (MemoryKv::new(), Arc::default());
        put(&kv, "operators/configuration", "1").await;
        for name in ["a", "b", "c", "d", "e", "f"] {
            CrashingEngine::start(name, &kv.peer(), &log).await;
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

    /// Starts three instances in place of the present ones.
    async fn start_instances(&mut self) {
        for instance in self.instances.drain(..) {
            instance.stop.cancel();
            instance.ended.await.unwrap().unwrap();
        }
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

    /// Sends prompts of these parts, one of which crashes engines, until every instance refuses them,
    /// or so many crashes have been seen that it must. Then waits for the news to spread.
    async fn crash_engines(&mut self, parts: &str) {
        let before = self.crashes_count();
        let mut refusals_in_a_row_count = 0;
        while self.crashes_count() < before + TOLERATED_CRASHES_COUNT {
            let is_refused = self.prompt(parts).await == Some(503);
            refusals_in_a_row_count = if is_refused {
                refusals_in_a_row_count + 1
            } else {
                0
            };
            if refusals_in_a_row_count == self.instances.len() {
                break;
            }
            sleep(Duration::from_millis(300)).await;
        }
        sleep(NEWS_DELAY).await;
    }

    /// Sends prompts of these parts, and sound ones between, and checks that hardly any of the
    /// former reach engines and all of the latter are answered.
    async fn check_quarantine(&mut self, parts: &str) {
        let part = parts.rsplit(',').next().unwrap();
        let before = self.arrived_count(part);
        let mut sound_statuses = Vec::new();
        for _ in 0..15 {
            self.prompt(parts).await;
            sound_statuses.push(self.prompt("template,session").await);
        }
        let later_count = self.arrived_count(part) - before;
        assert!(later_count <= TOLERATED_PROMPTS_COUNT, "{later_count}");
        assert_eq!(sound_statuses, [Some(200); 15]);
    }

    /// Log lines of all instances that name a quarantined part.
    fn quarantined_lines(&self) -> Vec<String> {
        let lines = self.instances.iter();
        lines
            .flat_map(|it| it.lines(r#""state":"quarantined""#))
            .collect()
    }
}

#[tokio::test]
async fn prompts_with_a_part_that_crashes_engines_stop_reaching_engines() {
    let mut fleet = Fleet::start().await;
    fleet.crash_engines("template,session,deadly").await;
    fleet.check_quarantine("template,session,deadly").await;
}

#[tokio::test]
async fn two_parts_that_crash_engines_both_stop_reaching_them() {
    let mut fleet = Fleet::start().await;
    fleet.crash_engines("template,deadly-1").await;
    fleet.crash_engines("template,session,deadly-2").await;
    fleet.check_quarantine("template,deadly-1").await;
    fleet.check_quarantine("template,session,deadly-2").await;
}

#[tokio::test]
async fn restarted_instances_know_the_parts_that_crash_engines() {
    let mut fleet = Fleet::start().await;
    fleet.crash_engines("template,deadly").await;
    fleet.start_instances().await;
    fleet.check_quarantine("template,deadly").await;
}

#[tokio::test]
async fn crashes_seen_during_an_outage_of_the_service_count_after_it() {
    let mut fleet = Fleet::start().await;
    fleet.kv.set_faults(|faults| faults.unreachable = true);
    fleet.kv.cut_watches();
    fleet.prompt("template,deadly").await;
    sleep(Duration::from_millis(500)).await;
    fleet.kv.set_faults(|faults| faults.unreachable = false);
    wait_until("the crashes are in the service", async || {
        let range = fleet.kv.range("rattan/suspects/").await;
        range.is_ok_and(|range| !range.pairs.is_empty())
    })
    .await;
    fleet.crash_engines("template,deadly").await;
    fleet.check_quarantine("template,deadly").await;
}

#[tokio::test]
async fn sound_parts_that_are_beside_crashes_are_not_quarantined() {
    let mut fleet = Fleet::start().await;
    for round in 0..8 {
        let deadly = format!("template,deadly-{round},own");
        let sound = format!("template,session-{round},own");
        let [one, two, three] = fleet.instances.as_slice() else {
            panic!("three instances are started");
        };
        tokio::join!(
            one.prompt("d", &deadly),
            one.prompt("s1", &sound),
            two.prompt("s2", &sound),
            three.prompt("s3", &sound),
        );
        sleep(Duration::from_millis(900)).await;
    }
    for round in 0..8 {
        let status = fleet.prompt(&format!("template,session-{round}")).await;
        assert_eq!(status, Some(200));
    }
    let lines = fleet.quarantined_lines();
    assert!(lines.is_empty(), "{lines:?}");
}
