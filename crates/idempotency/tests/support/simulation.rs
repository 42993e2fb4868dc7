//! A seeded simulation of instances, callers and faults, which records what ran and the history of
//! all operations.

use {
    super::{ClaimSpec, Observation, Operation, RequestGuard},
    keyvalue::{KvFaults, MemoryKv},
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    todc_utils::{Action, History, WGLChecker},
    tokio::time::{Instant, sleep},
};

const INSTANCE_COUNT: usize = 3;
const CALLER_COUNT: usize = 4;
const ATTEMPTS_PER_CALLER: usize = 5;
const REQUESTS: [(&str, &str); 2] = [("acme", "same-key"), ("bolt", "same-key")];
/// How long faults are switched on and off.
const FAULT_TIME: Duration = Duration::from_mins(1);

type Events = Vec<(usize, Action<Operation>)>;

/// What one or more runs showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunReport {
    /// Seeds in which a request ran more than once or a history was not linearizable.
    pub failed_seeds: Vec<u64>,
    /// Number of operations in all histories.
    pub operation_count: usize,
    /// Number of requests that ran.
    pub ran_count: usize,
    /// Number of requests that ran more than once.
    pub repeated_count: usize,
    /// Number of histories that were not linearizable.
    pub not_linearizable_count: usize,
}

impl RunReport {
    /// Adds the report of another run.
    pub fn add(&mut self, other: Self) {
        self.failed_seeds.extend(other.failed_seeds);
        self.operation_count += other.operation_count;
        self.ran_count += other.ran_count;
        self.repeated_count += other.repeated_count;
        self.not_linearizable_count += other.not_linearizable_count;
    }
}

/// State that all callers share.
pub struct Simulation<Claims> {
    instances: Vec<Claims>,
    runs_by_request: Mutex<BTreeMap<usize, Vec<u64>>>,
    histories: Mutex<BTreeMap<usize, Events>>,
    next_attempt: AtomicU64,
    next_process: AtomicUsize,
}

impl<Claims> Simulation<Claims>
where
    Claims: RequestGuard,
{
    /// Runs one seed to its end in simulated time.
    pub async fn run(seed: u64) -> RunReport {
        let kv = MemoryKv::new();
        let handles: Vec<MemoryKv> = (0..INSTANCE_COUNT).map(|_| kv.peer()).collect();
        let instances = handles.iter().enumerate();
        let simulation = Arc::new(Self {
            instances: instances
                .map(|(index, handle)| Claims::start(handle.clone(), index))
                .collect(),
            runs_by_request: Mutex::default(),
            histories: Mutex::default(),
            next_attempt: AtomicU64::new(1),
            next_process: AtomicUsize::new(0),
        });
        let mut tasks = Vec::new();
        for (index, handle) in handles.into_iter().enumerate() {
            let random = ChaCha8Rng::seed_from_u64(seed * 100 + index as u64);
            tasks.push(tokio::spawn(switch_faults(handle, random)));
        }
        for caller in 0..CALLER_COUNT {
            let random = ChaCha8Rng::seed_from_u64(seed * 100 + 50 + caller as u64);
            tasks.push(tokio::spawn(simulation.clone().run_caller(random)));
        }
        for task in tasks {
            task.await.unwrap();
        }
        simulation.report(seed)
    }

    /// Runs one caller, which makes attempts through random instances, one after another.
    async fn run_caller(self: Arc<Self>, mut random: ChaCha8Rng) {
        let mut runs = Vec::new();
        for _ in 0..ATTEMPTS_PER_CALLER {
            sleep(up_to(&mut random, 8000)).await;
            let request = random.random_range(0..REQUESTS.len());
            let instance = random.random_range(0..INSTANCE_COUNT);
            let run_random = ChaCha8Rng::seed_from_u64(random.next_u64());
            if let Some(permit) = self.attempt(request, instance).await {
                let run = self
                    .clone()
                    .run_claimed(request, instance, permit, run_random);
                runs.push(tokio::spawn(run));
            }
        }
        for run in runs {
            run.await.unwrap();
        }
    }

    /// Makes one attempt to claim a request and records what was observed.
    async fn attempt(&self, request: usize, instance: usize) -> Option<(u64, Claims::Permit)> {
        let attempt = self.next_attempt.fetch_add(1, Ordering::SeqCst);
        let (account, key) = REQUESTS[request];
        let process = self.record_call(request);
        let observation = self.instances[instance].claim(account, key).await;
        let (operation, permit) = match observation {
            Observation::Acquired(permit) => (
                Operation::Acquired { attempt, instance },
                Some((attempt, permit)),
            ),
            Observation::Done(answer) => (Operation::Done(answer), None),
            Observation::Pending(holder) => (Operation::Pending(holder), None),
            Observation::Unknown => (Operation::Unknown, None),
            Observation::NotRun => (Operation::NotRun(instance), None),
        };
        self.record_response(request, process, operation);
        permit
    }

    /// Runs a request that was claimed. The instance may freeze or die at each step.
    async fn run_claimed(
        self: Arc<Self>,
        request: usize,
        instance: usize,
        (attempt, permit): (u64, Claims::Permit),
        mut random: ChaCha8Rng,
    ) {
        let guard = &self.instances[instance];
        // Freezes between claim and send, sometimes for longer than the claim may be sent.
        sleep(up_to(&mut random, 14_000)).await;
        if random.random_bool(0.1) {
            return;
        }
        if !guard.may_send(&permit) || random.random_bool(0.15) {
            let process = self.record_call(request);
            guard.release(permit).await;
            guard.wait_idle().await;
            return self.record_response(request, process, Operation::Released(attempt));
        }
        self.runs_by_request
            .lock()
            .unwrap()
            .entry(request)
            .or_default()
            .push(attempt);
        sleep(up_to(&mut random, 3000)).await;
        if random.random_bool(0.1) {
            return;
        }
        let process = self.record_call(request);
        let operation = if random.random_bool(0.25) {
            guard.mark_unknown(permit).await;
            Operation::OutcomeLost(attempt)
        } else {
            let answer = attempt;
            guard.complete(permit, answer).await;
            Operation::Completed { attempt, answer }
        };
        guard.wait_idle().await;
        self.record_response(request, process, operation);
    }

    fn record_call(&self, request: usize) -> usize {
        let process = self.next_process.fetch_add(1, Ordering::SeqCst);
        // The checker reads the operation from the response only.
        self.record(request, process, Action::Call(Operation::Unknown));
        process
    }

    fn record_response(&self, request: usize, process: usize, operation: Operation) {
        self.record(request, process, Action::Response(operation));
    }

    fn record(&self, request: usize, process: usize, action: Action<Operation>) {
        let mut histories = self.histories.lock().unwrap();
        histories
            .entry(request)
            .or_default()
            .push((process, action));
    }

    fn report(&self, seed: u64) -> RunReport {
        let runs_by_request = self.runs_by_request.lock().unwrap();
        let mut report = RunReport {
            ran_count: runs_by_request.len(),
            repeated_count: runs_by_request
                .values()
                .filter(|runs| runs.len() > 1)
                .count(),
            ..RunReport::default()
        };
        for events in self.histories.lock().unwrap().values() {
            report.operation_count += events.len() / 2;
            let history = History::from_actions(events.clone());
            if !WGLChecker::<ClaimSpec>::is_linearizable(history) {
                report.not_linearizable_count += 1;
            }
        }
        if report.repeated_count + report.not_linearizable_count > 0 {
            report.failed_seeds.push(seed);
        }
        report
    }
}

/// Switches random faults of one instance's handle on and off, often two at once, and finally all
/// off.
async fn switch_faults(kv: MemoryKv, mut random: ChaCha8Rng) {
    let end = Instant::now() + FAULT_TIME;
    while Instant::now() < end {
        let faults = random_faults(&mut random);
        kv.set_faults(|current| *current = faults);
        sleep(up_to(&mut random, 5000)).await;
    }
    kv.set_faults(|current| *current = KvFaults::default());
}

fn random_faults(random: &mut ChaCha8Rng) -> KvFaults {
    let mut faults = KvFaults {
        call_delay: up_to(random, 40),
        answer_delay: up_to(random, 40),
        late_call_delay: up_to(random, 8000),
        ..KvFaults::default()
    };
    for _ in 0..random.random_range(0..3) {
        match random.random_range(0..6) {
            0 => faults.unreachable = true,
            1 => faults.paused = true,
            2 => faults.lost_call_count = 2,
            3 => faults.lost_answer_count = 2,
            4 => faults.late_call_count = 2,
            _ => faults.lost_read_count = 1,
        }
    }
    faults
}

fn up_to(random: &mut ChaCha8Rng, max_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(0..=max_ms))
}
