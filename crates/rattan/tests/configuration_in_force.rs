//! Guards against accepted configuration changes that are lost, reverted or not in force on every
//! daemon. Operators race through real daemons while the key-value service fails and daemons are
//! frozen and replaced.

#[path = "../../configuration/tests/support/journal.rs"]
mod journal;
#[path = "../../configuration/tests/support/spec.rs"]
mod spec;
mod support;

use {
    hyper::{Method, StatusCode},
    journal::Journal,
    keyvalue::{EtcdKv, EtcdSettings, KeyValue, Op, Txn},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    spec::{Ended, Operation, Values},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicI32, Ordering},
        },
        time::{Duration, Instant},
    },
    support::{
        http::Connection,
        test_system::{OPERATOR_KEY, TestSystem, TestSystemSettings},
    },
    tokio::time::sleep,
};

const ENTRIES_COUNT: usize = 4;
const OPERATORS_COUNT: u64 = 3;
const CHANGES_COUNT: usize = 70;
const FAULTS_COUNT: u32 = 16;
/// Longest time after the end of the faults until an accepted change is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
const NAMES: [&str; 2] = ["a", "b"];
const RULES_PATH: &str = "/v1/operator/placement_rule";

/// State that operators and observers share.
struct Run {
    entries: Mutex<Vec<SocketAddr>>,
    journal: Mutex<Journal>,
    /// Last revision observed on each entry.
    revisions: Mutex<BTreeMap<SocketAddr, u64>>,
    reverts: Mutex<Vec<String>>,
    observed_count: AtomicI32,
    next_value: AtomicI32,
    /// If set, changes are written here directly, without the daemons and without compare-and-swap.
    unconditional_kv: Option<EtcdKv>,
}

/// Both objects as returned by one read.
struct Read {
    values: Values,
    revisions: [Option<u64>; 2],
}

impl Run {
    fn entry(&self, rng: &mut ChaCha8Rng) -> SocketAddr {
        let entries = self.entries.lock().unwrap();
        entries[rng.random_range(0..entries.len())]
    }

    async fn operate(self: Arc<Self>, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..CHANGES_COUNT {
            sleep(Duration::from_millis(rng.random_range(0..80))).await;
            let Some(read) = self.read(self.entry(&mut rng)).await else {
                continue;
            };
            sleep(Duration::from_millis(rng.random_range(0..40))).await;
            let chosen = rng.random_range(1..4);
            self.change(self.entry(&mut rng), &read, chosen).await;
        }
    }

    /// Reads both objects; returns `None` if the answer does not come from the key-value service.
    async fn read(&self, entry: SocketAddr) -> Option<Read> {
        let id = self.journal.lock().unwrap().record_call();
        let mut operator = Connection::open(entry, OPERATOR_KEY).await.ok()?;
        let listed = operator
            .json(Method::GET, RULES_PATH, &Value::Null)
            .await
            .ok()?;
        if listed["confirmed_age_ms"] != 0 {
            return None;
        }
        let find = |name: &str| {
            let objects = listed["objects"].as_array()?;
            objects.iter().find(|found| found["object"]["name"] == name)
        };
        let value = |name| find(name).and_then(|found| found["object"]["precedence"].as_i64());
        let values = NAMES.map(|name| i32::try_from(value(name).unwrap_or(0)).expect("small"));
        let revisions = NAMES.map(|name| find(name).and_then(|found| found["revision"].as_u64()));
        let operation = Operation::Read(Some(values));
        self.journal.lock().unwrap().record_answer(id, operation);
        Some(Read { values, revisions })
    }

    /// Changes the chosen objects (bit 0 and bit 1) on condition that they still are as read.
    async fn change(&self, entry: SocketAddr, read: &Read, chosen: u8) {
        let is_chosen = |index: usize| chosen >> index & 1 == 1;
        let expected = [0, 1].map(|index| is_chosen(index).then_some(read.values[index]));
        let new = expected.map(|it| it.map(|_| self.next_value.fetch_add(1, Ordering::Relaxed)));
        let id = self.journal.lock().unwrap().record_call();
        let ended = match &self.unconditional_kv {
            Some(kv) => change_unconditionally(kv, new).await,
            None => change(entry, read, new).await.unwrap_or(None),
        };
        let mut journal = self.journal.lock().unwrap();
        let operation = Operation::Change {
            expected,
            new,
            ended,
        };
        match ended {
            Some(_) => journal.record_answer(id, operation),
            None => journal.record_unknown(id, expected, new),
        }
    }

    /// Polls the revision in force on every entry.
    async fn observe(self: Arc<Self>) {
        loop {
            let entries = self.entries.lock().unwrap().clone();
            for entry in entries {
                if let Ok(revision) = revision_in_force(entry).await {
                    self.record_revision(entry, revision);
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn record_revision(&self, entry: SocketAddr, revision: u64) {
        self.observed_count.fetch_add(1, Ordering::Relaxed);
        let before = self.revisions.lock().unwrap().insert(entry, revision);
        if before.is_some_and(|before| revision < before) {
            let text = format!("{entry} went back from {before:?} to {revision}");
            self.reverts.lock().unwrap().push(text);
        }
    }
}

async fn revision_in_force(entry: SocketAddr) -> io::Result<u64> {
    let mut operator = Connection::open(entry, OPERATOR_KEY).await?;
    let status = operator
        .json(Method::GET, "/v1/operator/status", &Value::Null)
        .await?;
    Ok(status["revision"].as_u64().unwrap_or_default())
}

fn rule(index: usize, value: i32) -> Value {
    json!({"kind": "placement_rule", "name": NAMES[index], "precedence": value})
}

async fn change(
    entry: SocketAddr,
    read: &Read,
    new: [Option<i32>; 2],
) -> io::Result<Option<Ended>> {
    let changes: Vec<Value> = (0..2)
        .filter_map(|index| {
            let mut change = json!({"put": rule(index, new[index]?)});
            if let Some(revision) = read.revisions[index] {
                change["revision"] = json!(revision);
            }
            Some(change)
        })
        .collect();
    let mut operator = Connection::open(entry, OPERATOR_KEY).await?;
    let path = "/v1/operator/apply";
    let (status, body) = operator.call(Method::POST, path, &json!(changes)).await?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    Ok(match (status, body["error"]["outcome"].as_str()) {
        (StatusCode::OK, _) => Some(Ended::Applied),
        (StatusCode::CONFLICT, Some("not_run")) => Some(Ended::Conflict),
        (_, Some("not_run")) => Some(Ended::Nothing),
        _ => None,
    })
}

/// Changes objects with one unconditional write for each.
async fn change_unconditionally(kv: &EtcdKv, new: [Option<i32>; 2]) -> Option<Ended> {
    for (index, value) in new.into_iter().enumerate() {
        let Some(value) = value else { continue };
        let key = format!("/rattan/config/placement_rule/{}", NAMES[index]);
        let op = Op::Put(key, rule(index, value).to_string().into(), None);
        let txn = Txn {
            success: vec![op],
            ..Txn::default()
        };
        if kv.txn(txn).await.is_err() {
            return Some(Ended::Nothing);
        }
    }
    Some(Ended::Applied)
}

/// Injects faults into the key-value service; every third time, also freezes a daemon, and every
/// sixth time replaces it. Returns the number of replaced daemons.
async fn inject_faults(
    system: &mut TestSystem,
    run: &Run,
    rng: &mut ChaCha8Rng,
) -> io::Result<usize> {
    let mut replaced_count = 0;
    for number in 0..FAULTS_COUNT {
        sleep(Duration::from_millis(rng.random_range(50..250))).await;
        let duration = Duration::from_millis(rng.random_range(100..600));
        let faults = match number % 6 {
            0 => json!({"lose_answers": 2}),
            1 => json!({"down": true}),
            2 => json!({"delay_ms": 150}),
            3 => json!({"watch_gap": true, "compact": true}),
            4 => json!({"hang": true}),
            _ => json!({"lose_answers": 1, "watch_gap": true}),
        };
        system.kv.set_faults(&faults).map_err(io::Error::other)?;
        let frozen = rng.random_range(0..system.entries.len());
        if number % 3 == 1 {
            system.entries[frozen].signal("STOP");
        }
        sleep(duration).await;
        if number % 3 == 1 {
            system.entries[frozen].signal("CONT");
        }
        if number % 6 == 1 {
            replace_entry(system, run, frozen).await?;
            replaced_count += 1;
        }
        let healed = json!({"down": false, "hang": false, "delay_ms": 0});
        system.kv.set_faults(&healed).map_err(io::Error::other)?;
    }
    Ok(replaced_count)
}

/// Kills a daemon while the key-value service is down and starts another one, which takes the
/// configuration that is in force at its peers.
async fn replace_entry(system: &mut TestSystem, run: &Run, number: usize) -> io::Result<()> {
    let mut old = system.entries.remove(number);
    run.entries
        .lock()
        .unwrap()
        .retain(|entry| *entry != old.address);
    old.signal("KILL");
    old.exit(Duration::from_secs(5)).await;
    let highest = run.revisions.lock().unwrap().values().copied().max();
    let entry = system.add_entry().await?;
    let revision = revision_in_force(entry).await?;
    if Some(revision) < highest {
        let text = format!("{entry} started at {revision}, another had {highest:?}");
        run.reverts.lock().unwrap().push(text);
    }
    run.entries.lock().unwrap().push(entry);
    Ok(())
}

/// Waits until every entry has revision `last` or a newer one in force; returns how long it took.
async fn wait_in_force(run: &Run, last: u64) -> Option<Duration> {
    let started = Instant::now();
    let entries = run.entries.lock().unwrap().clone();
    while started.elapsed() < IN_FORCE_WITHIN {
        let mut in_force = true;
        for entry in &entries {
            let revision = revision_in_force(*entry).await.unwrap_or_default();
            in_force &= revision >= last;
        }
        if in_force {
            return Some(started.elapsed());
        }
        sleep(Duration::from_millis(10)).await;
    }
    None
}

async fn run(unconditional_kv: bool, seed: u64) -> io::Result<(Arc<Run>, TestSystem, usize)> {
    let settings = TestSystemSettings {
        entries_count: ENTRIES_COUNT,
        engines_count: 1,
        ..TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"))
    };
    let mut system = TestSystem::start(settings).await?;
    let kv = EtcdKv::new(EtcdSettings {
        endpoints: vec![system.kv.address],
        timeout: Duration::from_secs(1),
    });
    let run = Arc::new(Run {
        entries: Mutex::new(system.entries.iter().map(|entry| entry.address).collect()),
        journal: Mutex::default(),
        revisions: Mutex::default(),
        reverts: Mutex::default(),
        observed_count: AtomicI32::new(0),
        next_value: AtomicI32::new(1),
        unconditional_kv: unconditional_kv.then_some(kv),
    });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let observer = tokio::spawn(run.clone().observe());
    let operators: Vec<_> = (0..OPERATORS_COUNT)
        .map(|_| tokio::spawn(run.clone().operate(rng.random())))
        .collect();
    let replaced_count = if unconditional_kv {
        0
    } else {
        inject_faults(&mut system, &run, &mut rng).await?
    };
    for operator in operators {
        operator.await.map_err(io::Error::other)?;
    }
    observer.abort();
    let deadline = Instant::now() + IN_FORCE_WITHIN;
    while run.read(run.entry(&mut rng)).await.is_none() {
        assert!(Instant::now() < deadline, "the service is back");
        sleep(Duration::from_millis(50)).await;
    }
    Ok((run, system, replaced_count))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_changes_are_in_force_on_every_daemon() {
    let (run, system, replaced_count) = run(false, 1).await.expect("run");
    let listed = {
        let entry = run.entries.lock().unwrap()[0];
        let mut operator = Connection::open(entry, OPERATOR_KEY).await.expect("entry");
        operator
            .json(Method::GET, RULES_PATH, &Value::Null)
            .await
            .expect("list")
    };
    let last = listed["revision"].as_u64().expect("revision");
    let took = wait_in_force(&run, last).await;
    let reverts = run.reverts.lock().unwrap().clone();
    assert_eq!(reverts, Vec::<String>::new());
    let mut journal = run.journal.lock().unwrap();
    println!(
        "{} operations answered ({} accepted, {} conflicts), {} unknown, {} revisions observed, {} \
         daemons replaced, last change in force after {took:?}",
        journal.answers_count(),
        journal.ended_count(Ended::Applied),
        journal.ended_count(Ended::Conflict),
        journal.unknown_count(),
        run.observed_count.load(Ordering::Relaxed),
        replaced_count,
    );
    assert!(
        journal.ended_count(Ended::Applied) > 0,
        "nothing was accepted"
    );
    assert!(
        journal.is_linearizable(),
        "operators' history is not linearizable"
    );
    assert!(took.is_some(), "revision {last} is not in force everywhere");
    drop(system);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unconditional_writes_are_detected() {
    let (run, _world, _) = run(true, 1).await.expect("run");
    let linearizable = run.journal.lock().unwrap().is_linearizable();
    assert!(!linearizable, "the check does not see lost updates");
}
