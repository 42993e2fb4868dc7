//! Chooses a target many times, so that a heap profiler can count the allocations per choice.
//!
//! `valgrind target/release/examples/decisions ENGINES DECISIONS` prints the total. The difference
//! between two runs divided by the difference in decisions is the count for one choice.

use {
    catalog::{PlacementRule, Selector, Target, TargetKind},
    routing::{Candidate, PromptProfile, choose_by_cost},
    std::{error::Error, hint::black_box},
};

const PROMPT: PromptProfile = PromptProfile {
    prompt_tokens: 24_000,
    block_tokens: 2_000,
    block_bytes: 2_000 * 1_024,
    seen_blocks: 12,
};

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = std::env::args().skip(1);
    let engines_count: usize = arguments
        .next()
        .ok_or("the first argument is missing: pass the number of engines")?
        .parse()?;
    let decisions_count: usize = arguments
        .next()
        .ok_or("the second argument is missing: pass the number of decisions")?
        .parse()?;
    let targets: Vec<_> = (0..engines_count).map(engine).collect();
    let mut candidates: Vec<_> = targets.iter().map(|it| Candidate::new(it, 2e4)).collect();
    for candidate in &mut candidates {
        candidate.available_blocks = 12;
        candidate.link_bytes_per_s = 1e8;
    }
    let rule = rule();
    for _ in 0..decisions_count {
        black_box(choose_by_cost(&PROMPT, &rule, black_box(&candidates)))?;
    }
    Ok(())
}

fn engine(number: usize) -> Target {
    Target {
        name: format!("engine-{number}"),
        kind: TargetKind::Engine,
        address: ([127, 0, 0, 1], 1).into(),
        region: "almaty".into(),
        failure_domain: "almaty-a".into(),
        labels: [].into(),
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
        targets: Selector::default(),
        stores: Selector::default(),
        priority: 0,
        objective: catalog::Objective::default(),
    }
}
