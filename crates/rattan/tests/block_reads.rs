//! Guards against reading a freed or partly written block.
//!
//! Writers, readers and a process that frees blocks race for a few keys, through the target
//! clients, against engine and store stand-ins with changing faults. The history of each key must
//! be linearizable, and the reading engine, which checks every imported byte, must have counted no
//! bad block. The same checks must detect lookups without any check.

#[path = "support/block_spec.rs"]
mod block_spec;
#[path = "support/history.rs"]
mod history;
#[path = "support/seed.rs"]
mod seed;

use {
    block_spec::{BlockOp, BlockSpec},
    directory::{Directory, Generation, Place, StoreWrite},
    history::Recorder,
    prefix::BlockKey,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    seed::seeds,
    serde_json::json,
    standin::{
        Server,
        engine::{Engine, EngineSettings},
        store::{Store, StoreSettings},
    },
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    target::{
        AnswerEvent, BlockRef, Client, ClientSettings, CompletionRequest, EngineClient,
        ExportRequest, ImportRequest, Reuse, StoreClient,
    },
    tokio::{task::JoinSet, time::sleep},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const STORE: &str = "store-a";
const KEYS: [BlockKey; 3] = [[1; 32], [2; 32], [3; 32]];
const BLOCK_BYTES: u64 = 32_000;
const WRITERS_COUNT: usize = 4;
const READERS_COUNT: usize = 4;
/// Writers, readers and one process that frees blocks.
const PROCESSES_COUNT: usize = WRITERS_COUNT + READERS_COUNT + 1;
/// Writes started by each writer. The other processes continue until all writers are done.
const WRITES_PER_WRITER_COUNT: usize = 25;

/// How blocks are looked up.
#[derive(Clone, Copy, PartialEq)]
enum LookupMode {
    /// In the directory; the store checks each read.
    Checked,
    /// In a map that gets its entry before the block is written and loses it after the store has
    /// freed the block; the store returns whatever bytes it has.
    Unchecked,
}

/// Finds blocks in either mode.
struct BlockIndex {
    mode: LookupMode,
    directory: Directory,
    map: HashMap<BlockKey, Generation>,
    started: Instant,
}

impl BlockIndex {
    fn begin(&mut self, key: BlockKey, generation: Generation) -> bool {
        let write = StoreWrite {
            key,
            target: STORE.to_owned(),
            generation,
            size_bytes: BLOCK_BYTES,
            client_account: "a".to_owned(),
        };
        match self.mode {
            LookupMode::Checked => self
                .directory
                .begin_write(&write, self.started.elapsed())
                .is_ok(),
            LookupMode::Unchecked if self.map.contains_key(&key) => false,
            LookupMode::Unchecked => self.map.insert(key, generation).is_none(),
        }
    }

    fn commit(&mut self, key: BlockKey, generation: Generation) -> bool {
        let now = self.started.elapsed();
        let store = STORE.to_owned();
        match self.mode {
            LookupMode::Checked => self.directory.commit(&key, &store, generation, now).is_ok(),
            LookupMode::Unchecked => self.map.get(&key) == Some(&generation),
        }
    }

    fn readable(&self, key: BlockKey) -> Option<Generation> {
        if self.mode == LookupMode::Unchecked {
            return self.map.get(&key).copied();
        }
        let mut copies = self.directory.copies(&key);
        copies
            .find(|copy| copy.place == Place::Store)
            .map(|copy| copy.generation)
    }

    fn free(&mut self, key: BlockKey) -> Option<Generation> {
        if self.mode == LookupMode::Unchecked {
            return self.map.get(&key).copied();
        }
        let freed = self.directory.free(&key, self.started.elapsed());
        freed.first().map(|copy| copy.generation)
    }

    fn confirm_deletion(&mut self, key: BlockKey, generation: Generation) {
        let now = self.started.elapsed();
        if self.map.get(&key) == Some(&generation) {
            self.map.remove(&key);
        }
        self.directory
            .confirm_deletion(&key, &STORE.to_owned(), generation, now);
    }
}

struct Fixture {
    store: Server<Store>,
    writing: Server<Engine>,
    reading: Server<Engine>,
    client: Client,
    block_index: Mutex<BlockIndex>,
    histories: Vec<Recorder<BlockOp>>,
    last_generation: AtomicU64,
}

impl Fixture {
    async fn start(mode: LookupMode) -> Arc<Self> {
        let store = StoreSettings {
            link_bytes_per_s: 20_000_000,
            unsafe_reads: mode == LookupMode::Unchecked,
            ..StoreSettings::default()
        };
        let engine = EngineSettings {
            time_scale: 0.01,
            ..EngineSettings::default()
        };
        let fixture = Self {
            store: Store::start(store).await.expect("a free port"),
            writing: Engine::start(engine.clone()).await.expect("a free port"),
            reading: Engine::start(engine).await.expect("a free port"),
            client: Client::new(ClientSettings::default()),
            block_index: Mutex::new(BlockIndex {
                mode,
                directory: Directory::default(),
                map: HashMap::new(),
                started: Instant::now(),
            }),
            histories: KEYS.iter().map(|_| Recorder::default()).collect(),
            last_generation: AtomicU64::new(0),
        };
        fixture.compute_blocks().await;
        Arc::new(fixture)
    }

    /// Makes the writing engine compute all blocks, so that it can export them.
    async fn compute_blocks(&self) {
        let completion = CompletionRequest {
            prompt: "x".repeat(KEYS.len() * 8_000),
            max_tokens: 1,
            stream: true,
            request_id: "warm".to_owned(),
            block_keys: KEYS.iter().map(hex::encode).collect(),
            version: "v1".to_owned(),
            ..CompletionRequest::default()
        };
        let engine = EngineClient::new(self.client.clone(), self.writing.address);
        let answer = engine.complete(&completion, Reuse::Allowed, TIMEOUT).await;
        let mut answer = answer.expect("an answer");
        while !matches!(
            answer.next(TIMEOUT).await.expect("whole"),
            AnswerEvent::End { .. }
        ) {}
    }

    fn block_index(&self) -> MutexGuard<'_, BlockIndex> {
        self.block_index.lock().expect("no process panics")
    }

    /// Writes a block; returns whether the write was started.
    async fn write(&self, process: usize, index: usize) -> bool {
        let key = KEYS[index];
        let generation = self.last_generation.fetch_add(1, Ordering::Relaxed) + 1;
        let history = &self.histories[index];
        history.call(process, BlockOp::Write(generation, false));
        let begun = self.block_index().begin(key, generation);
        let mut committed = false;
        if begun {
            let whole = self.export(key, generation).await;
            if whole {
                committed = self.block_index().commit(key, generation);
            } else {
                self.block_index().free(key);
            }
            if !committed {
                // If a free reached the store before the write did, the block is still there.
                self.delete(key, generation).await;
            }
        }
        history.respond(process, BlockOp::Write(generation, committed));
        begun
    }

    async fn export(&self, key: BlockKey, generation: Generation) -> bool {
        let export = ExportRequest {
            store: self.store.address,
            version: "v1".to_owned(),
            blocks: vec![BlockRef {
                key: hex::encode(key),
                generation,
                size_bytes: BLOCK_BYTES,
                client_account: "a".to_owned(),
            }],
        };
        let engine = EngineClient::new(self.client.clone(), self.writing.address);
        let reply = engine.export(&export, TIMEOUT).await;
        reply.is_ok_and(|reply| reply.exported.len() == 1)
    }

    async fn read(&self, process: usize, index: usize) {
        let key = KEYS[index];
        let history = &self.histories[index];
        history.call(process, BlockOp::Read(None));
        let generation = self.block_index().readable(key);
        let got = match generation {
            Some(generation) if self.import(key, generation).await => Some(generation),
            _ => None,
        };
        history.respond(process, BlockOp::Read(got));
    }

    async fn import(&self, key: BlockKey, generation: Generation) -> bool {
        let import = ImportRequest {
            store: self.store.address,
            version: "v1".to_owned(),
            blocks: vec![BlockRef {
                key: hex::encode(key),
                generation,
                ..BlockRef::default()
            }],
        };
        let engine = EngineClient::new(self.client.clone(), self.reading.address);
        let reply = engine.import(&import, TIMEOUT).await;
        reply.is_ok_and(|reply| reply.imported.len() == 1)
    }

    async fn free(&self, process: usize, index: usize) {
        let history = &self.histories[index];
        history.call(process, BlockOp::Free);
        self.free_everywhere(KEYS[index]).await;
        history.respond(process, BlockOp::Free);
    }

    async fn free_everywhere(&self, key: BlockKey) {
        let freed = self.block_index().free(key);
        if let Some(generation) = freed {
            self.delete(key, generation).await;
        }
    }

    async fn delete(&self, key: BlockKey, generation: Generation) {
        let store = StoreClient::new(self.client.clone(), self.store.address);
        if store.free(&hex::encode(key), generation).await.is_ok() {
            self.block_index().confirm_deletion(key, generation);
        }
    }

    /// Injects one fault, or clears faults.
    fn inject_fault(&self, choice: u32) {
        let (store, writing) = match choice {
            0 => (json!({"die_mid_write": true}), json!({})),
            1 => (json!({"full": true}), json!({})),
            2 => (json!({"corrupt": true}), json!({})),
            3 => (json!({}), json!({"export_cut_blocks": 1})),
            4 => (json!({"link_bytes_per_s": 4_000_000}), json!({})),
            _ => (
                json!({"full": false, "link_bytes_per_s": 20_000_000}),
                json!({}),
            ),
        };
        self.store.set_faults(&store).expect("known faults");
        self.writing.set_faults(&writing).expect("known faults");
    }

    /// Runs one process: a writer until it has started all its writes, the others until `writing`,
    /// the number of active writers, is 0.
    async fn run(&self, process: usize, seed: u64, writing: &AtomicUsize) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut begun = 0;
        while begun < WRITES_PER_WRITER_COUNT && writing.load(Ordering::Relaxed) > 0 {
            let index = random.random_range(0..KEYS.len());
            if process < WRITERS_COUNT {
                begun += usize::from(self.write(process, index).await);
            } else if process < WRITERS_COUNT + READERS_COUNT {
                self.read(process, index).await;
            } else {
                self.free(process, index).await;
            }
            sleep(Duration::from_micros(random.random_range(0..6_000))).await;
        }
        if process < WRITERS_COUNT {
            writing.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Runs all processes concurrently and returns the fixture for evaluation.
async fn race(mode: LookupMode, seed: u64) -> Arc<Fixture> {
    let fixture = Fixture::start(mode).await;
    let writing = Arc::new(AtomicUsize::new(WRITERS_COUNT));
    let mut processes = JoinSet::new();
    for process in 0..PROCESSES_COUNT {
        let (fixture, writing) = (Arc::clone(&fixture), Arc::clone(&writing));
        let seed = seed ^ ((process as u64 + 1) << 32);
        processes.spawn(async move { fixture.run(process, seed, &writing).await });
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    while writing.load(Ordering::Relaxed) > 0 {
        fixture.inject_fault(random.random_range(0..10));
        sleep(Duration::from_millis(20)).await;
    }
    processes.join_all().await;
    fixture
}

/// Results of the checks, and counts of what they covered.
#[derive(Debug)]
#[allow(dead_code, reason = "some fields are only printed")]
struct Verdict {
    linearizable: bool,
    partial_blocks: u64,
    unsafe_reads: u64,
    operations: usize,
    whole_reads: u64,
    refused_reads: u64,
}

fn evaluate(fixture: &Fixture) -> Verdict {
    let ledger = fixture.store.role().ledger();
    let histories = &fixture.histories;
    Verdict {
        linearizable: histories.iter().all(Recorder::is_linearizable::<BlockSpec>),
        partial_blocks: fixture.reading.role().audit().partial_blocks,
        unsafe_reads: ledger.unsafe_read_count,
        operations: histories.iter().map(Recorder::operation_count).sum(),
        whole_reads: ledger.read_count,
        refused_reads: ledger.refused_read_count + ledger.cut_read_count,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_freed_or_partial_block_is_read() {
    let mut whole_reads = 0;
    for seed in seeds(1..=5) {
        let fixture = race(LookupMode::Checked, seed).await;
        let verdict = evaluate(&fixture);
        if !verdict.linearizable {
            println!("seed {seed}: {:#?}", fixture.histories);
        }
        println!("seed {seed}: {verdict:?}");
        assert!(verdict.linearizable, "seed {seed}: {verdict:?}");
        assert_eq!(verdict.partial_blocks, 0, "seed {seed}: {verdict:?}");
        assert_eq!(verdict.unsafe_reads, 0, "seed {seed}: {verdict:?}");
        whole_reads += verdict.whole_reads;
    }
    assert!(whole_reads > 0, "nothing was read, so nothing was shown");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unchecked_reads_are_detected() {
    let mut caught = 0;
    for seed in 1..=5 {
        let verdict = evaluate(&*race(LookupMode::Unchecked, seed).await);
        println!("seed {seed}: {verdict:?}");
        caught += u32::from(!verdict.linearizable || verdict.partial_blocks > 0);
    }
    assert!(caught > 0, "the checks notice nothing");
}
