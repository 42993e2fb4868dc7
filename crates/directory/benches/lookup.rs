//! Measures lookups and updates of a directory. Its size is the share of one instance out of 320
//! for 490,000 prompts, where each root block has two owners, and two and four times that share.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    directory::{CacheEvent, CacheEventKind, Directory, PromptBlocks, StoreWrite},
    prefix::BlockKey,
    std::{hint::black_box, time::Duration},
};

/// Prompts whose root block one instance out of 320 owns: 490,000 * 2 / 320.
const PROMPTS_COUNT: u64 = 3_063;
const BLOCKS_PER_PROMPT: u64 = 12;
const BLOCK_BYTES: u64 = 2_000 * 1_024;
const ENGINES_COUNT: u64 = 113;
const STORES_COUNT: u64 = 2;
const NOW: Duration = Duration::from_hours(1);

fn keys(prompt: u64) -> Vec<BlockKey> {
    let key = |depth: u64| {
        let mut key = [0; 32];
        key[..8].copy_from_slice(&prompt.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_le_bytes());
        key[8..16].copy_from_slice(&depth.to_le_bytes());
        key
    };
    (0..BLOCKS_PER_PROMPT).map(key).collect()
}

/// Fills a directory. Each prompt is in one store, and every eighth prompt also in engine memory.
fn filled_directory(prompts_count: u64) -> Directory {
    let mut directory = Directory::default();
    let mut seqs = vec![0; usize::try_from(ENGINES_COUNT).unwrap()];
    for prompt in 0..prompts_count {
        let keys = keys(prompt);
        let account = format!("account-{}", prompt % 510);
        record_use(&mut directory, &account, &keys);
        for key in &keys {
            let write = StoreWrite {
                key: *key,
                target: format!("store-{}", prompt % STORES_COUNT),
                generation: prompt + 1,
                size_bytes: BLOCK_BYTES,
                client_account: account.clone(),
            };
            directory.adopt_listed_copy(&write, NOW, NOW);
        }
        if prompt % 8 == 0 {
            let engine = prompt / 8 % ENGINES_COUNT;
            let seq = &mut seqs[usize::try_from(engine).unwrap()];
            store_events(&mut directory, &format!("engine-{engine}"), seq, &keys);
        }
    }
    directory
}

fn record_use(directory: &mut Directory, account: &str, keys: &[BlockKey]) {
    let prompt = PromptBlocks {
        client_account: &account.to_owned(),
        keys,
        block_bytes: BLOCK_BYTES,
        block_recompute: Duration::from_millis(100),
    };
    directory.record_use(&prompt, NOW);
}

fn store_events(directory: &mut Directory, engine: &str, seq: &mut u64, keys: &[BlockKey]) {
    let events: Vec<CacheEvent> = keys
        .iter()
        .zip(*seq + 1..)
        .map(|(key, seq)| CacheEvent {
            seq,
            kind: CacheEventKind::Stored,
            key: *key,
        })
        .collect();
    directory.apply_events(&engine.to_owned(), *seq, &events, NOW);
    *seq += keys.len() as u64;
}

fn lookups(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("directory");
    for factor in [1, 2, 4] {
        let prompts_count = PROMPTS_COUNT * factor;
        let mut directory = filled_directory(prompts_count);
        let mut prompt = 0;
        group.bench_function(BenchmarkId::new("lookup", prompts_count), |bencher| {
            bencher.iter(|| {
                prompt = (prompt + 8) % prompts_count;
                black_box(directory.lookup(&keys(prompt)))
            });
        });
        let unknown = keys(u64::MAX);
        group.bench_function(
            BenchmarkId::new("lookup_unknown", prompts_count),
            |bencher| {
                bencher.iter(|| black_box(directory.lookup(black_box(&unknown))));
            },
        );
        let known = keys(1);
        group.bench_function(BenchmarkId::new("record_use", prompts_count), |bencher| {
            bencher.iter(|| record_use(&mut directory, "account-1", black_box(&known)));
        });
        group.bench_function(BenchmarkId::new("victims", prompts_count), |bencher| {
            let store = "store-0".to_owned();
            bencher.iter(|| black_box(directory.victims(&store, 100 * BLOCK_BYTES, |_| 1, NOW)));
        });
    }
    group.finish();
}

criterion_group!(benches, lookups);
criterion_main!(benches);
