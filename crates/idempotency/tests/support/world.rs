//! One seeded run: instances, callers, faults, the ledger of what ran, and the history.

use {
    super::{ClaimSpec, Guard, Operation, Seen},
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
/// Faults are switched on and off until then.
const FAULT_TIME: Duration = Duration::from_mins(1);

type Events = Vec<(usize, Action<Operation>)>;

/// What a run showed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Seeds with a repeated request or a history without a valid order.
    pub failed_seeds: Vec<u64>,
    /// Operations in all histories.
    pub operation_count: usize,
    /// Requests that ran.
    pub ran_count: usize,
    /// Requests that ran more than once.
    pub repeated_count: usize,
    /// Histories without a valid order.
    pub not_linearizable_count: usize,
}

impl Verdict {
    /// Adds what another run showed.
    pub fn add(&mut self, other: Self) {
        self.failed_seeds.extend(other.failed_seeds);
        self.operation_count += other.operation_count;
        self.ran_count += other.ran_count;
        self.repeated_count += other.repeated_count;
        self.not_linearizable_count += other.not_linearizable_count;
    }
}

/// State that callers share.
pub struct World<Claims> {
    instances: Vec<Claims>,
    ledger: Mutex<BTreeMap<usize, Vec<u64>>>,
    histories: Mutex<BTreeMap<usize, Events>>,
    next_attempt: AtomicU64,
    next_process: AtomicUsize,
}

impl<Claims> World<Claims>
where
    Claims: Guard,
{
    /// Runs one seed to its end in paused time.
    pub async fn run(seed: u64) -> Verdict {
        let kv = MemoryKv::new();
        let handles: Vec<MemoryKv> = (0..INSTANCE_COUNT).map(|_| kv.peer()).collect();
        let instances = handles.iter().enumerate();
        let world = Arc::new(Self {
            instances: instances
                .map(|(index, handle)| Claims::start(handle.clone(), index))
                .collect(),
            ledger: Mutex::default(),
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
            tasks.push(tokio::spawn(world.clone().call(random)));
        }
        for task in tasks {
            task.await.unwrap();
        }
        world.verdict(seed)
    }

    /// One caller: attempts through random instances, one after another.
    async fn call(self: Arc<Self>, mut random: ChaCha8Rng) {
        let mut ending = Vec::new();
        for _ in 0..ATTEMPTS_PER_CALLER {
            sleep(up_to(&mut random, 8000)).await;
            let request = random.random_range(0..REQUESTS.len());
            let instance = random.random_range(0..INSTANCE_COUNT);
            let own = ChaCha8Rng::seed_from_u64(random.next_u64());
            if let Some(won) = self.attempt(request, instance).await {
                let run = self.clone().run_won(request, instance, won, own);
                ending.push(tokio::spawn(run));
            }
        }
        for run in ending {
            run.await.unwrap();
        }
    }

    /// Claims once and records what was seen.
    async fn attempt(&self, request: usize, instance: usize) -> Option<(u64, Claims::Won)> {
        let attempt = self.next_attempt.fetch_add(1, Ordering::SeqCst);
        let (account, key) = REQUESTS[request];
        let process = self.called(request);
        let seen = self.instances[instance].claim(account, key).await;
        let (operation, won) = match seen {
            Seen::Won(won) => (Operation::Won { attempt, instance }, Some((attempt, won))),
            Seen::Done(answer) => (Operation::Done(answer), None),
            Seen::Pending(holder) => (Operation::Pending(holder), None),
            Seen::Unknown => (Operation::Unknown, None),
            Seen::NotRun => (Operation::NotRun(instance), None),
        };
        self.returned(request, process, operation);
        won
    }

    /// Runs a request that was won. The instance may freeze or die at each step.
    async fn run_won(
        self: Arc<Self>,
        request: usize,
        instance: usize,
        (attempt, won): (u64, Claims::Won),
        mut random: ChaCha8Rng,
    ) {
        let guard = &self.instances[instance];
        // Freezes between claim and send, at times past the bound.
        sleep(up_to(&mut random, 14_000)).await;
        if random.random_bool(0.1) {
            return;
        }
        if !guard.may_send(&won) || random.random_bool(0.15) {
            let process = self.called(request);
            guard.release(won).await;
            guard.idle().await;
            return self.returned(request, process, Operation::Released(attempt));
        }
        self.ledger
            .lock()
            .unwrap()
            .entry(request)
            .or_default()
            .push(attempt);
        sleep(up_to(&mut random, 3000)).await;
        if random.random_bool(0.1) {
            return;
        }
        let process = self.called(request);
        let operation = if random.random_bool(0.25) {
            guard.mark_unknown(won).await;
            Operation::Lost(attempt)
        } else {
            let answer = attempt;
            guard.complete(won, answer).await;
            Operation::Completed { attempt, answer }
        };
        guard.idle().await;
        self.returned(request, process, operation);
    }

    fn called(&self, request: usize) -> usize {
        let process = self.next_process.fetch_add(1, Ordering::SeqCst);
        // The checker reads the operation from the response only.
        self.record(request, process, Action::Call(Operation::Unknown));
        process
    }

    fn returned(&self, request: usize, process: usize, operation: Operation) {
        self.record(request, process, Action::Response(operation));
    }

    fn record(&self, request: usize, process: usize, action: Action<Operation>) {
        let mut histories = self.histories.lock().unwrap();
        histories
            .entry(request)
            .or_default()
            .push((process, action));
    }

    fn verdict(&self, seed: u64) -> Verdict {
        let ledger = self.ledger.lock().unwrap();
        let mut verdict = Verdict {
            ran_count: ledger.len(),
            repeated_count: ledger.values().filter(|runs| runs.len() > 1).count(),
            ..Verdict::default()
        };
        for events in self.histories.lock().unwrap().values() {
            verdict.operation_count += events.len() / 2;
            let history = History::from_actions(events.clone());
            if !WGLChecker::<ClaimSpec>::is_linearizable(history) {
                verdict.not_linearizable_count += 1;
            }
        }
        if verdict.repeated_count + verdict.not_linearizable_count > 0 {
            verdict.failed_seeds.push(seed);
        }
        verdict
    }
}

/// Switches random faults of one instance's handle, often two at once, then all off.
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

fn up_to(random: &mut ChaCha8Rng, most_ms: u64) -> Duration {
    Duration::from_millis(random.random_range(0..=most_ms))
}
