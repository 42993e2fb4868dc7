//! One simulated run: concurrent operators change the configuration, instances follow it, and
//! faults are injected. All states observed are checked.

use {
    super::{
        faults::{OPERATOR_CALL_DELAY, clear_faults, inject_fault},
        instance::Instance,
        journal::Journal,
        spec::{Ended, Values},
        values,
    },
    bytes::Bytes,
    catalog::Revision,
    configuration::{CONFIG_PREFIX, Snapshot},
    futures::StreamExt,
    keyvalue::{KeyValue, MemoryKv},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicI32, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

const OPERATORS_COUNT: u64 = 3;
const INSTANCES_COUNT: usize = 4;
const FAULTS_COUNT: usize = 40;
/// Time after the faults end within which a change must be in force at every instance.
const CONVERGENCE_TIME: Duration = Duration::from_secs(8);

/// Implementation under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Implementation {
    /// The writer and follower of this crate.
    Real,
    /// A writer without compare-and-swap.
    BlindWriter,
    /// Instances that publish the latest arrival, even if its revision is lower.
    LastArrived,
}

/// Result of one run.
#[derive(Debug, Default)]
pub struct Report {
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Operators' calls and answers in order, one per line.
    pub history: String,
    /// Whether the operators' history is linearizable.
    pub is_linearizable: bool,
    /// Number of times an instance reverted to a lower revision.
    pub reverted_count: usize,
    /// Number of operators' calls with an answer.
    pub answers_count: usize,
    /// Number of changes that were accepted.
    pub applied_count: usize,
    /// Number of changes rejected because of another operator's change.
    pub conflict_count: usize,
    /// Number of changes whose outcome is unknown.
    pub unknown_count: usize,
    /// Number of instance states that were checked.
    pub observed_count: usize,
    /// Number of instances that were replaced.
    pub replaced_count: usize,
}

pub struct Simulation {
    pub(super) implementation: Implementation,
    service: MemoryKv,
    pub(super) journal: Mutex<Journal>,
    instances: Mutex<Vec<Instance>>,
    service_states: Mutex<BTreeMap<Revision, Values>>,
    last_revisions: Mutex<BTreeMap<usize, Revision>>,
    report: Mutex<Report>,
    pub(super) next_value: AtomicI32,
}

/// Runs one simulation; the same seed gives the same run.
pub async fn run(implementation: Implementation, seed: u64) -> Report {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let simulation = Simulation::new(implementation, &mut rng);
    let recorder = tokio::spawn(simulation.clone().record_service_states());
    let observer = tokio::spawn(simulation.clone().observe_instances());
    let exchange = tokio::spawn(simulation.clone().exchange_snapshots(rng.random()));
    let operator_kvs: Vec<MemoryKv> = (0..OPERATORS_COUNT)
        .map(|_| simulation.service.peer())
        .collect();
    for kv in &operator_kvs {
        kv.set_faults(|faults| faults.call_delay = OPERATOR_CALL_DELAY);
    }
    let operators: Vec<_> = operator_kvs
        .iter()
        .enumerate()
        .map(|(number, kv)| {
            tokio::spawn(
                simulation
                    .clone()
                    .run_operator(number, kv.clone(), rng.random()),
            )
        })
        .collect();
    simulation
        .clone()
        .inject_faults(&operator_kvs, &mut rng)
        .await;
    for operator in operators {
        operator.await.expect("operator");
    }
    simulation.check_convergence(&operator_kvs).await;
    for task in [recorder, observer, exchange] {
        task.abort();
    }
    simulation.finish()
}

pub(super) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().expect("lock")
}

impl Simulation {
    fn new(implementation: Implementation, rng: &mut ChaCha8Rng) -> Arc<Self> {
        let service = MemoryKv::new();
        let is_incorrect = implementation == Implementation::LastArrived;
        let instances = (0..INSTANCES_COUNT)
            .map(|number| Instance::start(number, service.peer(), is_incorrect, rng.random()))
            .collect();
        Arc::new(Self {
            implementation,
            service,
            journal: Mutex::default(),
            instances: Mutex::new(instances),
            service_states: Mutex::default(),
            last_revisions: Mutex::default(),
            report: Mutex::default(),
            next_value: AtomicI32::new(1),
        })
    }

    /// Records the values that the service held at each revision, over a connection without faults.
    async fn record_service_states(self: Arc<Self>) {
        let kv = self.service.peer();
        loop {
            let range = kv.range(CONFIG_PREFIX).await.expect("no faults");
            let mut snapshot = Snapshot::from_range(&range);
            let mut events = Box::pin(kv.watch(CONFIG_PREFIX, range.revision + 1));
            let mut batch = Vec::new();
            while let Some(Ok(event)) = events.next().await {
                let keyvalue::Event::Progress(revision) = event else {
                    batch.push(event);
                    continue;
                };
                snapshot = snapshot.with_changes(revision, &std::mem::take(&mut batch));
                lock(&self.service_states).insert(revision, values(&snapshot.catalog));
            }
        }
    }

    /// Checks every instance periodically.
    async fn observe_instances(self: Arc<Self>) {
        loop {
            self.check_instances();
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn check_instances(&self) {
        for instance in lock(&self.instances).iter() {
            let catalog = instance.source.snapshot().catalog.clone();
            self.check_state(instance.number, catalog.revision, values(&catalog));
        }
    }

    /// Checks that an instance did not revert and has the values that the service held at its
    /// revision.
    fn check_state(&self, number: usize, revision: Revision, found: Values) {
        let mut report = lock(&self.report);
        report.observed_count += 1;
        let previous_revision = lock(&self.last_revisions)
            .insert(number, revision)
            .unwrap_or(0);
        if revision < previous_revision {
            let text =
                format!("instance {number} went back from {previous_revision} to {revision}");
            report.violations.push(text);
            report.reverted_count += 1;
        }
        let service_state = lock(&self.service_states).get(&revision).copied();
        if service_state.is_some_and(|service_state| service_state != found) {
            let text =
                format!("instance {number} has {found:?} at {revision}, not {service_state:?}");
            report.violations.push(text);
        }
    }

    /// Lets random pairs of peers exchange snapshots, which arrive after a random delay.
    async fn exchange_snapshots(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        loop {
            sleep(Duration::from_millis(rng.random_range(50..300))).await;
            let instances = lock(&self.instances);
            let (from, to) = (rng.random_range(0..4), rng.random_range(0..4));
            let cut = instances[from].is_cut_from_peers || instances[to].is_cut_from_peers;
            let Some(json) = instances[from].source.export().filter(|_| !cut) else {
                continue;
            };
            let source = instances[to].source.clone();
            let delay = Duration::from_millis(rng.random_range(0..1_000));
            tokio::spawn(async move {
                sleep(delay).await;
                source.offer(&json);
            });
        }
    }

    async fn inject_faults(self: Arc<Self>, operators: &[MemoryKv], rng: &mut ChaCha8Rng) {
        for _ in 0..FAULTS_COUNT {
            sleep(Duration::from_millis(rng.random_range(20..500))).await;
            let number = rng.random_range(0..INSTANCES_COUNT);
            match rng.random_range(0..12) {
                0 => self.service.compact(),
                1 => lock(&self.instances)[number].is_cut_from_peers ^= true,
                2 => self.replace_instance(number, rng).await,
                3 => self.start_outage(operators, rng),
                4..7 => {
                    let kv = lock(&self.instances)[number].kv.clone();
                    inject_fault(&kv, rng);
                }
                _ => inject_fault(&operators[rng.random_range(0..operators.len())], rng),
            }
        }
    }

    /// Makes the service unreachable for all operators and instances for some time.
    fn start_outage(&self, operators: &[MemoryKv], rng: &mut ChaCha8Rng) {
        let duration = Duration::from_millis(rng.random_range(500..5_000));
        let mut affected_kvs = operators.to_vec();
        affected_kvs.extend(
            lock(&self.instances)
                .iter()
                .map(|instance| instance.kv.clone()),
        );
        for kv in affected_kvs {
            kv.set_faults(|faults| faults.unreachable = true);
            kv.cut_watches();
            tokio::spawn(async move {
                sleep(duration).await;
                kv.set_faults(|faults| faults.unreachable = false);
            });
        }
    }

    /// Replaces an instance while it cannot reach the service, so that it starts with the snapshots
    /// of its peers. It must start with the newest of them.
    async fn replace_instance(&self, number: usize, rng: &mut ChaCha8Rng) {
        let kv = self.service.peer();
        let duration = Duration::from_millis(rng.random_range(0..3_000));
        let answer_delay = Duration::from_millis(rng.random_range(0..1_500));
        kv.set_faults(|faults| {
            faults.unreachable = true;
            faults.answer_delay = answer_delay;
        });
        let replaced_count = {
            let mut report = lock(&self.report);
            report.replaced_count += 1;
            report.replaced_count
        };
        let is_incorrect = self.implementation == Implementation::LastArrived;
        let replacement = number + INSTANCES_COUNT * replaced_count;
        let instance = Instance::start(replacement, kv.clone(), is_incorrect, rng.random());
        let source = instance.source.clone();
        lock(&self.instances)[number] = instance;
        let offers = self.offers_to(replacement);
        for (_, json) in &offers {
            source.offer(json);
        }
        source.mark_peers_asked();
        tokio::spawn(async move {
            sleep(duration).await;
            kv.set_faults(|faults| faults.unreachable = false);
        });
        source.ready().await;
        let highest = offers.iter().map(|(revision, _)| *revision).max();
        let revision = source.snapshot().catalog.revision;
        if Some(revision) < highest {
            let text =
                format!("instance {replacement} began at {revision}, a peer had {highest:?}");
            lock(&self.report).violations.push(text);
        }
    }

    /// Snapshots that the peers send to a replacement, each with the revision in force at the peer.
    fn offers_to(&self, replacement: usize) -> Vec<(Revision, Bytes)> {
        let instances = lock(&self.instances);
        let peers = instances
            .iter()
            .filter(|peer| !peer.is_cut_from_peers && peer.number != replacement);
        peers
            .filter_map(|peer| {
                let revision = peer.source.snapshot().catalog.revision;
                Some((revision, peer.source.export()?))
            })
            .collect()
    }

    /// Ends all faults but one silent watch, makes a final change, waits, and checks that every
    /// instance has the same configuration as the service.
    async fn check_convergence(&self, operators: &[MemoryKv]) {
        sleep(Duration::from_secs(6)).await; // Temporary faults have ended by then.
        operators.iter().for_each(clear_faults);
        for instance in lock(&self.instances).iter() {
            clear_faults(&instance.kv);
        }
        let silent_kv = lock(&self.instances)[0].kv.clone();
        silent_kv.set_faults(|faults| faults.watches_silent = true);
        sleep(Duration::from_secs(1)).await;
        self.make_final_change().await;
        sleep(CONVERGENCE_TIME).await;
        let last = self.read(&self.service.peer()).await.expect("no faults");
        let expected = (last.catalog.revision, values(&last.catalog));
        for instance in lock(&self.instances).iter() {
            let catalog = instance.source.snapshot().catalog.clone();
            let found = (catalog.revision, values(&catalog));
            if found != expected {
                let text = format!(
                    "instance {} has {found:?}, not {expected:?}",
                    instance.number
                );
                lock(&self.report).violations.push(text);
            }
        }
    }

    /// Makes a change that the instance with the silent watch must detect by itself: it is also cut
    /// off from its peers' snapshots.
    async fn make_final_change(&self) {
        lock(&self.instances)[0].is_cut_from_peers = true;
        let kv = self.service.peer();
        let snapshot = self.read(&kv).await.expect("no faults");
        let expected = values(&snapshot.catalog).map(Some);
        let new = [0, 1].map(|_| Some(self.next_value.fetch_add(1, Ordering::Relaxed)));
        self.change(&kv, &snapshot, expected, new, "last").await;
    }

    fn finish(&self) -> Report {
        let mut report = std::mem::take(&mut *lock(&self.report));
        let mut journal = std::mem::take(&mut *lock(&self.journal));
        report.applied_count = journal.ended_count(Ended::Applied);
        report.conflict_count = journal.ended_count(Ended::Conflict);
        report.answers_count = journal.answers_count();
        report.unknown_count = journal.unknown_count();
        report.history = journal.to_string();
        report.is_linearizable = journal.is_linearizable();
        if !report.is_linearizable {
            report
                .violations
                .push("operators' history is not linearizable".to_owned());
        }
        report
    }
}
