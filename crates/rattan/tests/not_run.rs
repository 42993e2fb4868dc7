//! Guards against refusals that falsely say "not run".
//!
//! Engines and services record what they ran. A request refused as `not_run` must not be among it,
//! whichever step of its attempts failed.

mod support;

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    standin::{
        Server,
        engine::Engine,
        relay::{Relay, RelaySettings},
        service::{Service, ServiceSettings},
    },
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration},
    support::{
        caller::{End, ReceivedAnswer, send},
        objects::{self, CALLER_KEY, MODEL, SERVICE},
        seed::seeds,
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::{task::JoinSet, time::sleep},
};

const CALLERS_COUNT: u64 = 12;
const REQUESTS_PER_CALLER_COUNT: u64 = 25;

fn settings() -> TestSystemSettings {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = 1;
    settings.flags = vec![
        ("service-timeout-ms", "300".to_owned()),
        ("load-interval-ms", "50".to_owned()),
    ];
    settings
}

async fn complete(address: SocketAddr, prompt: &str) -> ReceivedAnswer {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 4, "stream": true});
    send(address, CALLER_KEY, "/v1/completions", &body, None).await
}

/// Ids of all requests that an engine ran at least in part.
fn executed_request_ids<'a>(
    engines: impl IntoIterator<Item = &'a Arc<Engine>>,
) -> BTreeSet<String> {
    let audits = engines.into_iter().map(|engine| engine.audit());
    let runs = audits.flat_map(|audit| audit.runs);
    runs.map(|run| run.request_id).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_that_dies_in_a_prompt_may_have_run_it() {
    let mut settings = settings();
    settings.engines_count = 1;
    settings.engine.prefill_tokens_per_s = 1_000;
    let mut system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let dying = system.engines.remove(0);
    let engine = Arc::clone(dying.role());
    let probes = engine.audit().runs.len();
    let address = system.entries[0].address;
    let caller = tokio::spawn(async move { complete(address, &"x".repeat(8_000)).await });
    while engine.audit().runs.len() == probes && !caller.is_finished() {
        sleep(Duration::from_millis(5)).await;
    }
    dying.stop().await;
    let received = caller.await.expect("no panic");
    assert!(executed_request_ids([&engine]).contains(&received.request));
    assert!(received.is_refused("unknown"), "{received:?}");
}

/// A system in which one engine is also configured through a relay, and a second service only so.
struct Fixture {
    system: TestSystem,
    service: Server<Service>,
    engine_relay: Server<Relay>,
    service_relay: Server<Relay>,
}

impl Fixture {
    async fn start() -> Self {
        let system = TestSystem::start(settings())
            .await
            .expect("the system starts");
        let service = Service::start(ServiceSettings::default()).await;
        let service = service.expect("a free port");
        let relay = |to| Relay::start(RelaySettings::to(to));
        let engine_relay = relay(system.engines[0].address).await.expect("a free port");
        let service_relay = relay(service.address).await.expect("a free port");
        let objects = [
            objects::engine("engine-relayed", engine_relay.role().address),
            objects::service("service-relayed", service_relay.role().address),
        ];
        system.apply(&objects).await.expect("accepted");
        Self {
            system,
            service,
            engine_relay,
            service_relay,
        }
    }

    /// Ids of all requests that a target ran at least in part.
    fn executed_request_ids(&self) -> BTreeSet<String> {
        let mut ids = executed_request_ids(self.system.engines.iter().map(Server::role));
        for service in [&self.service, &self.system.service] {
            let ledger = service.role().ledger();
            ids.extend(ledger.into_iter().map(|execution| execution.request_id));
        }
        ids
    }

    /// Injects one fault at one target or at both, or clears all faults.
    fn inject_fault(&self, choice: u32, both: bool) {
        let engines = &self.system.engines;
        let services = [&self.service, &self.system.service];
        let engine = |index: usize, switches: &Value| {
            engines[index].set_faults(switches).expect("known faults");
        };
        let service = |index: usize, switches: &Value| {
            services[index].set_faults(switches).expect("known faults");
        };
        let relays = |mode: &str| {
            for relay in [&self.engine_relay, &self.service_relay] {
                relay
                    .set_faults(&json!({"mode": mode}))
                    .expect("known faults");
            }
        };
        // One of the two targets, or both.
        let (left, right) = (usize::from(!both), 1);
        match choice {
            0 => (left..=right).for_each(|index| engine(index, &json!({"leaving": true}))),
            1 => engine(0, &json!({"cut_after_tokens": 0})),
            2 => engine(1, &json!({"silent_after_tokens": 0})),
            3 => engine(1, &json!({"cut_after_tokens": 2})),
            4 => (left..=right).for_each(|index| engine(index, &json!({"down": true}))),
            5 => engine(0, &json!({"hang": true})),
            6 => engine(0, &json!({"delay_ms": 40})),
            7 => relays("cut"),
            8 => relays("blackhole"),
            9 => service(0, &json!({"refuse": 2, "cut_after_run": 1})),
            10 => service(1, &json!({"cut_before_run": 2, "cut_after_run": 2})),
            11 => (left..=right).for_each(|index| service(index, &json!({"refuse": 4}))),
            12 => service(1, &json!({"hang": true})),
            _ => {
                let no_faults = json!({"down": false, "hang": false, "delay_ms": 0});
                for index in 0..2 {
                    engine(index, &no_faults);
                    engine(index, &json!({"leaving": false}));
                    service(index, &no_faults);
                }
                relays("pass");
            }
        }
    }
}

/// Sends the requests of one caller: completions, idempotent calls and calls that may run only
/// once.
async fn call(address: SocketAddr, caller: u64, seed: u64) -> Vec<ReceivedAnswer> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ((caller + 1) << 32));
    let mut answers = Vec::new();
    for request in 0..REQUESTS_PER_CALLER_COUNT {
        let key = format!("key-{caller}-{request}");
        let path = match random.random_range(0..4) {
            0 => format!("/v1/services/{SERVICE}/status"),
            1 => format!("/v1/services/{SERVICE}/book"),
            _ => String::new(),
        };
        answers.push(if path.is_empty() {
            complete(address, "which fault code").await
        } else {
            send(address, CALLER_KEY, &path, &json!({}), Some(&key)).await
        });
        sleep(Duration::from_millis(random.random_range(0..20))).await;
    }
    answers
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_agree_with_what_ran() {
    let (mut not_run, mut unknown_ran) = (0, 0);
    for seed in seeds(1..=2) {
        let fixture = Fixture::start().await;
        let address = fixture.system.entries[0].address;
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS_COUNT {
            callers.spawn(call(address, caller, seed));
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut answers = Vec::new();
        while !callers.is_empty() {
            fixture.inject_fault(random.random_range(0..18), random.random_bool(0.6));
            sleep(Duration::from_millis(40)).await;
            while let Some(joined) = callers.try_join_next() {
                answers.extend(joined.expect("no caller panics"));
            }
        }
        let ran = fixture.executed_request_ids();
        for received in &answers {
            assert!(
                !matches!(received.end, End::Torn | End::TimedOut),
                "{received:?}"
            );
            let it_ran = ran.contains(&received.request);
            if received.is_refused("not_run") {
                not_run += 1;
                assert!(
                    !it_ran,
                    "seed {seed}: told not_run, yet it ran: {received:?}"
                );
            }
            unknown_ran += u32::from(received.is_refused("unknown") && it_ran);
        }
        println!("seed {seed}: {} requests, {} ran", answers.len(), ran.len());
    }
    println!("{not_run} not run, {unknown_ran} unknown that ran");
    assert!(not_run > 0, "no refusal, so nothing was shown");
    // Shows that refusing everything as "not run" would have been detected.
    assert!(
        unknown_ran > 0,
        "no refused request ran, so nothing was shown"
    );
}
