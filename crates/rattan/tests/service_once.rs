//! Guards against running a call to a plain service twice, and against answers of other calls or a
//! false "not run". Daemons are killed and frozen while the key-value service and connections fail;
//! what callers were told is checked against the ledger of the service.

mod support;

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    standin::{
        Server,
        relay::{Relay, RelaySettings},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    support::{
        chaos::inject_faults,
        objects::{self, ACCOUNT, CALLER_KEY},
        service_calls::{History, ServiceCall, send},
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::time::sleep,
};

/// Number of fault rounds in one run.
const ROUNDS_COUNT: usize = 14;
/// Number of concurrent callers.
const CALLERS_COUNT: usize = 16;
/// Most attempts at one call.
const MAX_ATTEMPTS_COUNT: usize = 6;

struct Run {
    history: Arc<Mutex<History>>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
}

async fn start(entries_count: usize) -> (TestSystem, Server<Relay>) {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = entries_count;
    settings.flags = vec![
        ("kv-timeout-ms", "500".to_owned()),
        ("service-timeout-ms", "700".to_owned()),
    ];
    let system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let relay = Relay::start(RelaySettings::to(system.service.address))
        .await
        .expect("a relay");
    let further = [
        objects::account("frio", "another-caller-key"),
        objects::service("service-1", relay.role().address),
    ];
    system.apply(&further).await.expect("applied");
    (system, relay)
}

/// Returns the call of this number. Both accounts use the same idempotency keys.
fn service_call(number: usize, path: &str) -> ServiceCall {
    let (account, caller_key) = match number % 2 {
        0 => (ACCOUNT, CALLER_KEY),
        _ => ("frio", "another-caller-key"),
    };
    ServiceCall {
        account: account.to_owned(),
        caller_key: caller_key.to_owned(),
        idempotency_key: format!("key-{}", number / 2),
        path: path.to_owned(),
    }
}

/// Runs one caller, which makes one call after another, each through random entries until it is
/// answered.
async fn call(run: Arc<Run>, caller: usize, seed: u64, path: &'static str) {
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000 + caller as u64);
    for round in 0.. {
        let service_call = service_call(caller + round * CALLERS_COUNT, path);
        for _ in 0..MAX_ATTEMPTS_COUNT {
            let entries = lock(&run.entries).clone();
            if entries.is_empty() {
                return;
            }
            let address = entries[random.random_range(0..entries.len())];
            let result = send(address, &service_call).await;
            let is_answer = result.is_answer();
            lock(&run.history).record(&service_call, result);
            if is_answer {
                break;
            }
            sleep(Duration::from_millis(random.random_range(10..200))).await;
        }
    }
}

/// Runs callers and faults concurrently, and returns the history once the faults are over.
async fn run_with_faults(seed: u64, path: &'static str) -> (TestSystem, History) {
    let (mut system, relay) = start(3).await;
    let run = Arc::new(Run {
        history: Arc::default(),
        entries: Arc::new(Mutex::new(addresses(&system))),
    });
    let callers: Vec<_> = (0..CALLERS_COUNT)
        .map(|caller| tokio::spawn(call(run.clone(), caller, seed, path)))
        .collect();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..ROUNDS_COUNT {
        inject_faults(&mut system, &relay, &mut random, 1).await;
        *lock(&run.entries) = addresses(&system);
    }
    lock(&run.entries).clear();
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    let history = std::mem::take(&mut *lock(&run.history));
    (system, history)
}

fn addresses(system: &TestSystem) -> Vec<SocketAddr> {
    system.entries.iter().map(|entry| entry.address).collect()
}

fn lock<Value>(mutex: &Mutex<Value>) -> std::sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_call_runs_twice_under_faults() {
    for seed in [1, 2] {
        let (system, history) = run_with_faults(seed, "/book").await;
        let ledger = system.service.role().ledger();
        let findings = history.findings(&ledger);
        println!(
            "seed {seed}: {} attempts, {} executions, {} orders answered, {findings:?}",
            history.attempt_count,
            ledger.len(),
            history.answered_count(),
        );
        assert!(history.answered_count() > 20, "too little was answered");
        assert_eq!(findings, support::service_calls::Findings::default());
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_runs_without_claims_are_detected() {
    let (system, history) = run_with_faults(1, "/status").await;
    let findings = history.findings(&system.service.role().ledger());
    println!("{} orders ran more than once", findings.repeated.len());
    assert!(!findings.repeated.is_empty());
}
