//! Instances before targets that crash on certain calls.

use {
    super::{
        Instance, OutgoingCall,
        crashing_target::{ArrivedCall, CrashingTarget, TargetLog},
        put, wait_until,
    },
    keyvalue::MemoryKv,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Number of targets.
pub const TARGETS_COUNT: usize = 6;
/// Time within which every instance must know of crashes.
pub const NEWS_DELAY: Duration = Duration::from_secs(3);
/// Pause between two calls that crash targets, so that the crashes have no common cause.
const CRASHES_GAP: Duration = Duration::from_millis(300);
/// Number of deadly calls after which [`Fleet::crash_targets`] gives up.
const MAX_DEADLY_CALLS_COUNT: usize = 50;

/// Three instances before six targets.
pub struct Fleet {
    pub kv: MemoryKv,
    pub instances: Vec<Instance>,
    log: Arc<Mutex<TargetLog>>,
    next_call: usize,
}

impl Fleet {
    /// Starts six targets that listen again `restart_delay` after a crash, and three instances.
    /// Waits until a sound prompt was answered by each.
    pub async fn start(restart_delay: Duration) -> Self {
        let (kv, log) = (MemoryKv::new(), Arc::default());
        put(&kv, "operators/configuration", "1").await;
        for index in 0..TARGETS_COUNT {
            let name = format!("target{index}");
            CrashingTarget::start(&name, &kv.peer(), &log, restart_delay);
        }
        let mut fleet = Self {
            kv,
            instances: Vec::new(),
            log,
            next_call: 0,
        };
        fleet.start_instances().await;
        fleet
    }

    /// Starts three instances in place of the present ones.
    pub async fn start_instances(&mut self) {
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

    /// Number for the next call, and the instance that it goes to.
    pub fn next_call(&mut self) -> (usize, &Instance) {
        self.next_call += 1;
        let index = self.next_call;
        (index, &self.instances[index % self.instances.len()])
    }

    /// Sends a call to the next instance; returns the status of its answer.
    pub async fn send(&mut self, call: &OutgoingCall) -> Option<u16> {
        let (_, instance) = self.next_call();
        instance.send(call).await
    }

    pub fn crashes_count(&self) -> usize {
        self.log.lock().unwrap().crashes_count
    }

    /// Number of calls that have reached targets and meet `condition`.
    pub fn arrived_count<Condition>(&self, condition: Condition) -> usize
    where
        Condition: Fn(&ArrivedCall) -> bool,
    {
        let log = self.log.lock().unwrap();
        log.arrived.iter().filter(|call| condition(call)).count()
    }

    /// Has `send_deadly` send calls that crash targets, until every instance refuses them or
    /// `crashes_count` further crashes have been seen.
    pub async fn crash_targets<SendDeadly>(
        &mut self,
        crashes_count: usize,
        mut send_deadly: SendDeadly,
    ) where
        SendDeadly: AsyncFnMut(&mut Self) -> Option<u16>,
    {
        let limit = self.crashes_count() + crashes_count;
        let mut refusals_in_a_row_count = 0;
        for _ in 0..MAX_DEADLY_CALLS_COUNT {
            let is_refused = send_deadly(self).await == Some(503);
            refusals_in_a_row_count = if is_refused {
                refusals_in_a_row_count + 1
            } else {
                0
            };
            sleep(CRASHES_GAP).await;
            let is_refused_by_all = refusals_in_a_row_count == self.instances.len();
            if is_refused_by_all || self.crashes_count() >= limit {
                return;
            }
        }
        panic!("the calls neither crash targets nor are refused");
    }
}
