//! Time to choose a target, depending on the number of engines.
//!
//! 20 engines is the current size, 113 engines per model the design size; the larger numbers show
//! how the time grows.

use {
    catalog::{PlacementRule, Selector, Target, TargetKind},
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    routing::{Candidate, Policy, PromptProfile, choose},
    std::hint::black_box,
};

const SEED: u64 = 20_261_203;
const ENGINE_COUNTS: [usize; 4] = [20, 113, 452, 1_808];
const PROMPT: PromptProfile = PromptProfile {
    prompt_tokens: 24_000,
    block_tokens: 2_000,
    block_bytes: 2_000 * 1_024,
    seen_blocks: 12,
};

fn engine(number: usize) -> Target {
    Target {
        name: format!("engine-{number}"),
        kind: TargetKind::Engine,
        address: ([127, 0, 0, 1], 1).into(),
        region: "almaty".into(),
        failure_domain: format!("almaty-{}", number % 3),
        labels: [("fleet".to_owned(), "shared".to_owned())].into(),
        leaving: false,
        checks_fencing: true,
        max_running_count: 8,
        link_bytes_per_s: 0,
        capacity_bytes: 0,
        service: String::new(),
        calls: Vec::new(),
    }
}

fn rule() -> PlacementRule {
    PlacementRule {
        name: "shared".into(),
        labels: [].into(),
        precedence: 0,
        client_accounts: Selector::default(),
        model_versions: Selector::default(),
        targets: Selector {
            required: [("fleet".to_owned(), "shared".to_owned())].into(),
        },
        stores: Selector::default(),
        priority: 0,
        objective: catalog::Objective::default(),
    }
}

/// Returns engines with random queues; one in four holds part of the prompt in memory.
fn candidates<'a>(targets: &'a [Target], random: &mut ChaCha8Rng) -> Vec<Candidate<'a>> {
    let candidate = |target: &'a Target| {
        let mut candidate = Candidate::new(target, 20_000.0);
        candidate.load.running_count = random.random_range(0..8);
        candidate.load.queued_tokens = random.random_range(0..40_000);
        candidate.available_blocks = 12;
        candidate.link_bytes_per_s = 100e6;
        candidate.link_deviation_bytes_per_s = 30e6;
        if random.random_bool(0.25) {
            candidate.memory_blocks = random.random_range(1..=12);
            candidate.memory_confidence = 0.9;
        }
        candidate
    };
    targets.iter().map(candidate).collect()
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    let rule = rule();
    for engines_count in ENGINE_COUNTS {
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        let targets: Vec<_> = (0..engines_count).map(engine).collect();
        let candidates = candidates(&targets, &mut random);
        for (name, policy) in [
            ("cost", Policy::Cost),
            ("least_loaded", Policy::LeastLoaded),
        ] {
            let id = BenchmarkId::new(name, engines_count);
            group.bench_with_input(id, &candidates, |bencher, candidates| {
                bencher
                    .iter(|| choose(policy, 7, black_box(&PROMPT), &rule, black_box(candidates)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
