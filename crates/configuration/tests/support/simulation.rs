//! One run: operators race, instances follow, faults strike, and everything seen is checked.

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
/// A change must be in force everywhere this long after the faults are over.
const CONVERGENCE_TIME: Duration = Duration::from_secs(8);

/// Which way is tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Implementation {
    /// The crate's writer and follower.
    Real,
    /// Writes without compare-and-swap.
    BlindWriter,
    /// Instances that publish what arrived last.
    LastArrived,
}

/// What one run saw.
#[derive(Debug, Default)]
pub struct Report {
    /// What must not happen and did.
    pub violations: Vec<String>,
    /// Operators' calls and answers in order.
    pub history: String,
    /// Whether operators saw changes take effect one at a time.
    pub is_linearizable: bool,
    /// Times that an instance went back to a lower revision.
    pub reverted_count: usize,
    /// Operators' calls with an answer.
    pub answers_count: usize,
    /// Changes that were accepted.
    pub applied_count: usize,
    /// Changes refused for another operator's change.
    pub conflict_count: usize,
    /// Operators' calls that ended unknown.
    pub unknown_count: usize,
    /// States of instances that were looked at.
    pub observed_count: usize,
    /// Instances replaced.
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

/// Runs everything once; the same seed gives the same run.
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

    /// Records what the service held at each revision, over a way without faults.
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

    /// Looks at every instance again and again.
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

    /// Peers exchange snapshots, some of which arrive late.
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

    /// The service is down for everybody.
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

    /// An instance is replaced while the service is away from it; it asks its peers.
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

    /// What the peers of a replacement answer, with the revision that each has in force.
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

    /// Heals everything but one instance's watch, which stays silent, waits, and compares every
    /// instance with the service.
    async fn check_convergence(&self, operators: &[MemoryKv]) {
        sleep(Duration::from_secs(6)).await; // Faults that are under way are over.
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

    /// A change that the silent watch does not tell, with peers' snapshots not helping either.
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
