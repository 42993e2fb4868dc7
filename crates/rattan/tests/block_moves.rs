//! Guards against daemons making an engine read a freed or partly written block.
//!
//! Prompts of two client accounts return after their eviction from small engine memories, so blocks
//! move to and from two stores. The stores crash during writes, restart empty, fill up, slow down
//! and return corrupt data, while exports are cut and cache events are late or lost. Engines check
//! every imported byte.

mod support;

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::json,
    standin::{
        Server, answer_text,
        engine::EngineSettings,
        store::{Store, StoreLedger, StoreSettings},
    },
    std::{net::SocketAddr, time::Duration},
    support::{
        caller::{End, ReceivedAnswer, send},
        objects::{self, CALLER_KEY, MODEL},
        seed::seeds,
        test_system::{TestSystem, TestSystemSettings},
    },
    target::{Client, ClientSettings, StoreClient},
    tokio::{task::JoinSet, time::sleep},
};

const CALLERS_COUNT: u64 = 8;
const REQUESTS_PER_CALLER_COUNT: u64 = 25;
const PROMPTS_COUNT: u64 = 8;
const ANSWER_TOKENS: u64 = 3;
const PIECE_BYTES: usize = 8_000;
const BLOCK_BYTES: u64 = 32_000;
/// Number of blocks that one store can hold.
const STORE_CAPACITY_BLOCKS: u64 = 40;
const OTHER_KEY: &str = "caller-key-of-the-other-account";

struct Fixture {
    system: TestSystem,
    stores: Vec<Server<Store>>,
    /// Ledgers of stores that were stopped for a restart.
    stopped_ledgers: Vec<StoreLedger>,
    unsafe_reads: bool,
}

fn store_settings(unsafe_reads: bool) -> StoreSettings {
    StoreSettings {
        unsafe_reads,
        memory_bytes: STORE_CAPACITY_BLOCKS * BLOCK_BYTES / 2,
        disk_bytes: STORE_CAPACITY_BLOCKS * BLOCK_BYTES / 2,
        link_bytes_per_s: 20_000_000,
        ..StoreSettings::default()
    }
}

impl Fixture {
    async fn start(unsafe_reads: bool) -> Self {
        let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
        settings.flags = vec![("load-interval-ms", "50".to_owned())];
        settings.engine = EngineSettings {
            memory_tokens: 8_000,
            prefill_tokens_per_s: 50_000,
            token_time: Duration::from_millis(1),
            ..settings.engine
        };
        let mut stores = Vec::new();
        for _ in 0..2 {
            stores.push(
                Store::start(store_settings(unsafe_reads))
                    .await
                    .expect("a port"),
            );
        }
        let fixture = Self {
            system: TestSystem::start(settings)
                .await
                .expect("the system starts"),
            stores,
            stopped_ledgers: Vec::new(),
            unsafe_reads,
        };
        let capacity_bytes = STORE_CAPACITY_BLOCKS * BLOCK_BYTES;
        let mut objects = vec![objects::account("frio-austral", OTHER_KEY)];
        for (index, store) in fixture.stores.iter().enumerate() {
            let name = format!("store-{index}");
            objects.push(objects::store(&name, store.address, capacity_bytes));
        }
        fixture.system.apply(&objects).await.expect("accepted");
        fixture
    }

    async fn inject_fault(&mut self, choice: u32, target: usize) {
        let store = |switches| self.stores[target].set_faults(&switches).expect("faults");
        let engine = |switches| {
            let engine = &self.system.engines[target];
            engine.set_faults(&switches).expect("known faults");
        };
        match choice {
            0 => store(json!({"die_mid_write": true})),
            1 => store(json!({"full": true})),
            2 => store(json!({"corrupt": true})),
            3 => store(json!({"link_bytes_per_s": 1_000_000})),
            4 => engine(json!({"export_cut_blocks": 1})),
            5 => engine(json!({"events_delay_ms": 400, "drop_events": 3})),
            6 => engine(json!({"evict": true})),
            7 | 8 => self.restart(target).await,
            _ => {
                store(json!({"full": false, "link_bytes_per_s": 20_000_000}));
                engine(json!({"events_delay_ms": 0}));
            }
        }
    }

    /// Replaces a store with an empty one at the same address.
    async fn restart(&mut self, index: usize) {
        let old = self.stores.remove(index);
        let settings = StoreSettings {
            listen: old.address,
            ..store_settings(self.unsafe_reads)
        };
        self.stopped_ledgers.push(old.role().ledger());
        old.stop().await;
        let new = Store::start(settings).await.expect("the address is free");
        self.stores.insert(index, new);
    }

    /// Waits until blocks have been committed and the number of commits stops growing.
    async fn wait_for_exports(&self) {
        let mut commits = 0;
        for _ in 0..100 {
            sleep(Duration::from_millis(200)).await;
            let ledgers = self.ledgers();
            let now = ledgers.iter().map(|ledger| ledger.commit_count).sum();
            if now > 0 && now == commits {
                return;
            }
            commits = now;
        }
        panic!("exports do not come to an end");
    }

    fn ledgers(&self) -> Vec<StoreLedger> {
        let now = self.stores.iter().map(|store| store.role().ledger());
        self.stopped_ledgers.iter().cloned().chain(now).collect()
    }
}

fn prompt(index: u64) -> String {
    format!("{index:08}").repeat(3 * PIECE_BYTES / 8)
}

/// Sends one prompt; returns its text and the answer.
async fn send_prompt(address: SocketAddr, key: &str, index: u64) -> (String, ReceivedAnswer) {
    let prompt = prompt(index);
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": ANSWER_TOKENS});
    let answer = send(address, key, "/v1/completions", &body, None).await;
    (prompt, answer)
}

async fn call(
    addresses: Vec<SocketAddr>,
    caller: u64,
    number: u64,
) -> Vec<(String, ReceivedAnswer)> {
    let mut random = ChaCha8Rng::seed_from_u64(number ^ ((caller + 1) << 32));
    let key = [CALLER_KEY, OTHER_KEY][usize::from(caller % 2 == 1)];
    let mut answers = Vec::new();
    for _ in 0..REQUESTS_PER_CALLER_COUNT {
        let address = addresses[random.random_range(0..addresses.len())];
        answers.push(send_prompt(address, key, random.random_range(0..PROMPTS_COUNT)).await);
        sleep(Duration::from_millis(random.random_range(0..20))).await;
    }
    answers
}

/// Results of the checks, and counts of what they covered.
#[derive(Debug)]
#[allow(dead_code, reason = "some fields are only printed")]
struct Verdict {
    requests: usize,
    whole: usize,
    /// Complete answers that don't belong to their request.
    wrong: usize,
    without_end: usize,
    /// Bad blocks that engines imported.
    bad_blocks: u64,
    /// Reads that a store answered with other bytes than the requested ones.
    unsafe_reads: u64,
    reads: u64,
    refused_reads: u64,
    commits: u64,
    frees: u64,
}

impl Verdict {
    fn is_correct(&self) -> bool {
        self.wrong == 0 && self.bad_blocks == 0 && self.unsafe_reads == 0
    }
}

fn evaluate(fixture: &Fixture, answers: &[(String, ReceivedAnswer)]) -> Verdict {
    let ledgers = fixture.ledgers();
    let sum = |count: fn(&StoreLedger) -> u64| ledgers.iter().map(count).sum::<u64>();
    let count = |wanted: fn(&(String, ReceivedAnswer)) -> bool| {
        answers.iter().filter(|answer| wanted(answer)).count()
    };
    let audits = fixture
        .system
        .engines
        .iter()
        .map(|engine| engine.role().audit());
    Verdict {
        requests: answers.len(),
        whole: count(|(_, received)| received.end == End::Whole),
        wrong: count(|(prompt, received)| {
            let expected = answer_text(&received.request, prompt, ANSWER_TOKENS);
            received.end == End::Whole && received.text != expected
        }),
        without_end: count(|(_, received)| matches!(received.end, End::Torn | End::TimedOut)),
        bad_blocks: audits
            .map(|audit| audit.partial_blocks + audit.foreign_blocks + audit.wrong_version_blocks)
            .sum(),
        unsafe_reads: sum(|ledger| ledger.unsafe_read_count),
        reads: sum(|ledger| ledger.read_count),
        refused_reads: sum(|ledger| ledger.refused_read_count + ledger.cut_read_count),
        commits: sum(|ledger| ledger.commit_count),
        frees: sum(|ledger| ledger.free_count),
    }
}

/// Sends returning prompts while stores and engines fail, and checks what was read.
async fn returning_prompts(number: u64) -> Verdict {
    let mut fixture = Fixture::start(false).await;
    let addresses: Vec<SocketAddr> = fixture
        .system
        .entries
        .iter()
        .map(|entry| entry.address)
        .collect();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS_COUNT {
        callers.spawn(call(addresses.clone(), caller, number));
    }
    let mut random = ChaCha8Rng::seed_from_u64(number);
    let mut answers = Vec::new();
    while !callers.is_empty() {
        let (choice, target) = (random.random_range(0..15), random.random_range(0..2));
        fixture.inject_fault(choice, target).await;
        sleep(Duration::from_millis(100)).await;
        while let Some(joined) = callers.try_join_next() {
            answers.extend(joined.expect("no caller panics"));
        }
    }
    let verdict = evaluate(&fixture, &answers);
    println!("seed {number}: {verdict:?}");
    verdict
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn returning_prompts_use_whole_blocks_only() {
    for seed in seeds(1..=1) {
        let verdict = returning_prompts(seed).await;
        assert!(verdict.is_correct(), "{verdict:?}");
        assert_eq!(verdict.without_end, 0, "{verdict:?}");
        assert!(verdict.reads > 0, "nothing was imported: {verdict:?}");
    }
}

/// Frees blocks directly at the stores, so that the daemon still has them in its directory, then
/// sends their prompts again.
async fn freed_elsewhere(unsafe_reads: bool) -> Verdict {
    let fixture = Fixture::start(unsafe_reads).await;
    let address = fixture.system.entries[0].address;
    let mut answers = Vec::new();
    for index in 0..PROMPTS_COUNT {
        answers.push(send_prompt(address, CALLER_KEY, index).await);
    }
    fixture.wait_for_exports().await;
    let client = Client::new(ClientSettings::default());
    for store in &fixture.stores {
        // Keeps one block, because the daemon would notice an empty store.
        for block in store.role().list().iter().skip(1) {
            let store = StoreClient::new(client.clone(), store.address);
            store
                .free(&block.key, block.generation)
                .await
                .expect("freed");
        }
    }
    for engine in &fixture.system.engines {
        engine
            .set_faults(&json!({"evict": true}))
            .expect("known faults");
    }
    for index in 0..PROMPTS_COUNT {
        answers.push(send_prompt(address, CALLER_KEY, index).await);
    }
    let verdict = evaluate(&fixture, &answers);
    println!("freed by another, unsafe reads {unsafe_reads}: {verdict:?}");
    verdict
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn block_freed_elsewhere_is_not_read() {
    let verdict = freed_elsewhere(false).await;
    assert!(verdict.is_correct(), "{verdict:?}");
    assert!(verdict.refused_reads > 0, "nothing was asked: {verdict:?}");
}

/// With stores that return whatever they have, the same checks must find reads of freed blocks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reads_from_unchecked_stores_are_detected() {
    let verdict = freed_elsewhere(true).await;
    assert!(
        !verdict.is_correct(),
        "the checks notice nothing: {verdict:?}"
    );
}
