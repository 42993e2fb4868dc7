//! Guards against new requests running on the wrong weight version.
//!
//! The active version is swapped while returning prompts are sent, cache events are late, and one
//! engine reports its old weights as the new version. Engines record which weights ran each request
//! and check every imported byte.

mod support;

use {
    hyper::Method,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::{Value, json},
    standin::{
        Server, answer_text,
        engine::{Audit, Engine, EngineSettings},
        store::{Store, StoreSettings},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    support::{
        caller::{End, ReceivedAnswer, send},
        http::Connection,
        objects::{self, CALLER_KEY, DIGEST, MODEL, NEXT_DIGEST},
        test_system::{OPERATOR_KEY, TestSystem, TestSystemSettings},
    },
    tokio::{task::JoinSet, time::sleep},
};

const CALLERS_COUNT: u64 = 8;
const PROMPTS_COUNT: u64 = 12;
const ANSWER_TOKENS: u64 = 40;
const PIECE_BYTES: usize = 8_000;
/// Time after which an accepted change is in force everywhere, since no fault here delays it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// One request and the answer its caller received.
#[derive(Clone, Debug)]
struct Exchange {
    prompt: String,
    /// Whether the request was sent after the new version was certainly in force.
    after_swap: bool,
    received: ReceivedAnswer,
}

struct Fixture {
    system: TestSystem,
    store: Server<Store>,
    liar: Server<Engine>,
}

impl Fixture {
    async fn start() -> Self {
        let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
        settings.engine = EngineSettings {
            memory_tokens: 12_000,
            prefill_tokens_per_s: 50_000,
            events_delay_ms: 300,
            load_time: Duration::from_millis(100),
            ..settings.engine
        };
        let liar = EngineSettings {
            version: DIGEST.to_owned(),
            ..settings.engine.clone()
        };
        let fixture = Self {
            system: TestSystem::start(settings)
                .await
                .expect("the system starts"),
            store: Store::start(StoreSettings::default())
                .await
                .expect("a port"),
            liar: Engine::start(liar).await.expect("a port"),
        };
        let objects = [
            objects::version("notes-2", NEXT_DIGEST, false),
            objects::store("store-0", fixture.store.address, 64 << 20),
            objects::engine("engine-liar", fixture.liar.address),
        ];
        fixture.system.apply(&objects).await.expect("accepted");
        fixture
    }

    /// Activates the second version, and makes one engine report it falsely.
    async fn swap(&self) {
        let lie = json!({"lie_version": NEXT_DIGEST});
        self.liar.set_faults(&lie).expect("known faults");
        let address = self.system.entries[0].address;
        let mut operator = Connection::open(address, OPERATOR_KEY).await.expect("up");
        let path = "/v1/operator/model_version";
        let listed = operator.json(Method::GET, path, &Value::Null).await;
        let listed = listed.expect("a list");
        let revision = |name: &str| {
            let objects = listed["objects"].as_array().expect("a list");
            let found = objects
                .iter()
                .find(|exchange| exchange["object"]["name"] == name);
            found.expect("the version")["revision"].clone()
        };
        let change = |name, digest, active| {
            let version = objects::version(name, digest, active);
            json!({"put": version, "revision": revision(name)})
        };
        let changes = json!([
            change("notes-1", DIGEST, false),
            change("notes-2", NEXT_DIGEST, true),
        ]);
        let path = "/v1/operator/apply";
        let accepted = operator.json(Method::POST, path, &changes).await;
        accepted.expect("accepted");
        // Orders the engines one after the other, as the holders of their leases would.
        for engine in &self.system.engines {
            // Cuts streams, because a stream that is resumed after the swap must keep its version.
            let cut = json!({"cut_after_tokens": ANSWER_TOKENS / 2});
            engine.set_faults(&cut).expect("known faults");
            let order = json!({"kind": "load_version", "version": NEXT_DIGEST});
            let body = json!({"fencing": 1, "order": order});
            let answer = send(engine.address, "", "/v1/orders", &body, None).await;
            assert_eq!(answer.status, 200, "{answer:?}");
            sleep(Duration::from_millis(500)).await;
        }
    }

    fn audits(&self) -> Vec<Audit> {
        let engines = self.system.engines.iter();
        engines.map(|engine| engine.role().audit()).collect()
    }

    /// Versions of the weights that ran each request, by request id.
    fn versions(&self) -> BTreeMap<String, Vec<String>> {
        let mut versions = BTreeMap::<String, Vec<String>>::new();
        for audit in [self.audits(), vec![self.liar.role().audit()]].concat() {
            for run in audit.runs {
                versions
                    .entry(run.request_id)
                    .or_default()
                    .push(run.version);
            }
        }
        versions
    }
}

fn prompt(index: u64) -> String {
    format!("{index:08}").repeat(2 * PIECE_BYTES / 8) + "and this visit's own question"
}

async fn call(
    address: SocketAddr,
    caller: u64,
    is_swapped: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
) -> Vec<Exchange> {
    let mut random = ChaCha8Rng::seed_from_u64(caller + 1);
    let mut exchanges = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let prompt = prompt(random.random_range(0..PROMPTS_COUNT));
        let body = json!({
            "model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS, "stream": true,
        });
        let after_swap = is_swapped.load(Ordering::Relaxed);
        let received = send(address, CALLER_KEY, "/v1/completions", &body, None).await;
        exchanges.push(Exchange {
            prompt,
            after_swap,
            received,
        });
        sleep(Duration::from_millis(random.random_range(5..30))).await;
    }
    exchanges
}

/// What is wrong with an exchange, if anything, given the weight versions that ran each request.
fn violation(
    exchange: &Exchange,
    versions: &BTreeMap<String, Vec<String>>,
) -> Option<&'static str> {
    let received = &exchange.received;
    if received.end != End::Whole {
        return matches!(received.end, End::Torn | End::TimedOut).then_some("no explicit end");
    }
    if received.text != answer_text(&received.request, &exchange.prompt, ANSWER_TOKENS) {
        return Some("not the answer to this request");
    }
    let ran = versions
        .get(&received.request)
        .map_or(&[][..], Vec::as_slice);
    let wanted = if exchange.after_swap { NEXT_DIGEST } else { "" };
    let is_right = ran.iter().any(|version| version.starts_with(wanted));
    (!is_right).then_some("the old version's answer after the swap")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn swap_under_traffic_keeps_versions_apart() {
    let fixture = Fixture::start().await;
    let (is_swapped, stop) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS_COUNT {
        let entries = &fixture.system.entries;
        let address = entries[usize::try_from(caller).unwrap_or(0) % entries.len()].address;
        callers.spawn(call(address, caller, is_swapped.clone(), stop.clone()));
    }
    sleep(Duration::from_secs(2)).await;
    fixture.swap().await;
    sleep(IN_FORCE_TIMEOUT).await;
    is_swapped.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::Relaxed);
    let exchanges = callers.join_all().await.concat();
    let versions = fixture.versions();
    let whole = |after_swap: bool| {
        let wanted = exchanges
            .iter()
            .filter(|exchange| exchange.after_swap == after_swap);
        wanted
            .filter(|exchange| exchange.received.end == End::Whole)
            .count()
    };
    let after = exchanges.iter().filter(|exchange| exchange.after_swap);
    let refused = after
        .filter(|exchange| exchange.received.end != End::Whole)
        .count();
    let cached = exchanges
        .iter()
        .filter(|exchange| exchange.received.cached_tokens > 0);
    println!(
        "{} requests, whole {} before and {} after, {} refused after, {} with cached blocks, {} blocks imported",
        exchanges.len(),
        whole(false),
        whole(true),
        refused,
        cached.count(),
        fixture.store.role().ledger().read_count,
    );
    println!(
        "liar: {:?}",
        Audit {
            runs: Vec::new(),
            ..fixture.liar.role().audit()
        }
    );
    for exchange in &exchanges {
        assert_eq!(
            violation(exchange, &versions),
            None,
            "{:?}",
            exchange.received
        );
    }
    for audit in fixture.audits() {
        let blocks = (
            audit.wrong_version_blocks,
            audit.foreign_blocks,
            audit.partial_blocks,
        );
        assert_eq!(blocks, (0, 0, 0));
    }
    assert!(whole(false) > 0, "too little was answered");
    assert!(
        10 * refused < whole(true),
        "the engine that lies costs too much"
    );
}

/// Without the daemon, the engine with the false report answers with its old weights, which the
/// check must detect.
#[tokio::test]
async fn false_version_report_is_detected() {
    let fixture = Fixture::start().await;
    let lie = json!({"lie_version": NEXT_DIGEST});
    fixture.liar.set_faults(&lie).expect("known faults");
    let body = json!({
        "prompt": prompt(0), "request_id": "r1", "version": NEXT_DIGEST,
        "max_tokens": ANSWER_TOKENS, "stream": true,
    });
    let mut received = send(fixture.liar.address, "", "/v1/completions", &body, None).await;
    "r1".clone_into(&mut received.request);
    let exchange = Exchange {
        prompt: prompt(0),
        after_swap: true,
        received,
    };
    assert!(violation(&exchange, &fixture.versions()).is_some());
}
