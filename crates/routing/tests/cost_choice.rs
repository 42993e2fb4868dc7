//! The choice by cost: sources, splits, stale reports, ties and refusals.

mod support;

use {
    proptest::prelude::*,
    routing::{
        Candidate, FilterReason, Policy, PrefixSource, PromptProfile, choose, choose_by_cost,
    },
    std::{collections::BTreeSet, time::Duration},
    support::{engine, rule},
};

const RATE: f64 = 10_000.0;
const PROMPT: PromptProfile = PromptProfile {
    prompt_tokens: 20_000,
    block_tokens: 2_000,
    block_bytes: 1_000_000,
    seen_blocks: 10,
};

#[test]
fn an_import_beats_a_recompute_on_a_fast_link() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, RATE);
    candidate.available_blocks = 10;
    candidate.link_bytes_per_s = 50e6;
    let choice = choose_by_cost(&PROMPT, &rule(), &[candidate.clone()]).unwrap();
    assert_eq!(choice.chosen.source, PrefixSource::Import);
    assert_eq!(choice.chosen.import_blocks, 10);
    assert_eq!(choice.chosen.recomputed_tokens, 0);
    assert_eq!(choice.chosen.import_saves, Duration::from_secs(2));

    candidate.link_bytes_per_s = 1e6;
    let choice = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap();
    assert_eq!(choice.chosen.source, PrefixSource::Recompute);
    assert_eq!(choice.chosen.recomputed_tokens, 20_000);
    assert_eq!(choice.chosen.link_bytes, 0);
}

#[test]
fn a_slow_link_imports_what_the_queue_hides() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, RATE);
    candidate.available_blocks = 10;
    candidate.link_bytes_per_s = 4e6;
    candidate.load.queued_tokens = 12_000;
    let choice = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap();
    assert_eq!(choice.chosen.source, PrefixSource::Import);
    assert_eq!(
        choice.chosen.import_blocks, 4,
        "1.2 s of queue at 0.25 s a block"
    );
    assert_eq!(choice.chosen.recomputed_tokens, 12_000);
}

#[test]
fn uncertain_memory_is_imported_again_when_that_is_cheap() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, RATE);
    candidate.memory_blocks = 10;
    candidate.available_blocks = 10;
    candidate.link_bytes_per_s = 500e6;
    let sure = choose_by_cost(&PROMPT, &rule(), &[candidate.clone()]).unwrap();
    assert_eq!(sure.chosen.source, PrefixSource::Memory);
    candidate.memory_confidence = 0.5;
    let unsure = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap();
    assert_eq!(unsure.chosen.source, PrefixSource::Import);
    assert_eq!(unsure.chosen.import_from_block, 0);
}

#[test]
fn old_reports_are_corrected_by_age_and_own_requests() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, RATE);
    candidate.load.queued_tokens = 10_000;
    assert!((candidate.queue_wait_s() - 1.0).abs() < 1e-9);
    candidate.load.report_age = Duration::from_millis(600);
    assert!((candidate.queue_wait_s() - 0.4).abs() < 1e-9);
    candidate.load.own_pending_tokens = 8_000;
    assert!((candidate.queue_wait_s() - 0.8).abs() < 1e-9);
}

#[test]
fn equal_targets_share_the_requests() {
    let targets: Vec<_> = (0..4)
        .map(|number| engine(&format!("engine-{number}")))
        .collect();
    let candidates: Vec<_> = targets.iter().map(|it| Candidate::new(it, RATE)).collect();
    for policy in [
        Policy::Cost,
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::LongestPrefix,
    ] {
        let chosen: BTreeSet<String> = (0..4)
            .map(|draw| {
                choose(policy, draw, &PROMPT, &rule(), &candidates)
                    .unwrap()
                    .chosen
                    .target
            })
            .collect();
        assert_eq!(chosen.len(), 4, "{policy:?}");
    }
}

#[test]
fn every_target_left_out_is_named_with_its_reason() {
    let mut targets: Vec<_> = (0..5)
        .map(|number| engine(&format!("engine-{number}")))
        .collect();
    targets[0].labels.clear();
    let mut candidates: Vec<_> = targets.iter().map(|it| Candidate::new(it, RATE)).collect();
    candidates[1].leaving = true;
    candidates[2].reachable = false;
    candidates[3].has_version = false;
    candidates[4].load.queued_count = 16;
    candidates[4].load.queued_tokens = 30_000;
    let refusal = choose_by_cost(&PROMPT, &rule(), &candidates).unwrap_err();
    let reasons: Vec<_> = refusal.rejected.iter().map(|it| it.reason).collect();
    assert_eq!(
        reasons,
        [
            FilterReason::Selector,
            FilterReason::Leaving,
            FilterReason::Unreachable,
            FilterReason::Version,
            FilterReason::Full
        ]
    );
    assert_eq!(
        refusal.retry_after,
        Duration::from_secs(3),
        "when the full one has room"
    );
}

#[test]
fn a_queue_of_more_than_two_prompts_takes_no_more() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, RATE);
    candidate.load.queued_tokens = 40_000;
    assert!(choose_by_cost(&PROMPT, &rule(), &[candidate.clone()]).is_ok());
    candidate.load.queued_tokens = 40_001;
    let refusal = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap_err();
    assert_eq!(refusal.rejected[0].reason, FilterReason::Full);
    assert!(refusal.retry_after > Duration::from_secs(4));
}

proptest! {
    #[test]
    fn no_way_to_run_costs_more_than_computing_all(
        memory in 0..12usize,
        imports in 0..12usize,
        confidence in 0.0..=1.0f64,
        rate in 1.0..1e9f64,
        deviation in 0.0..1e9f64,
        queued in 0..=40_000u64,
    ) {
        let target = engine("engine-a");
        let mut candidate = Candidate::new(&target, RATE);
        candidate.load.queued_tokens = queued;
        let plain = choose_by_cost(&PROMPT, &rule(), &[candidate.clone()]).unwrap().chosen;
        candidate.memory_blocks = memory;
        candidate.available_blocks = memory.max(imports);
        candidate.memory_confidence = confidence;
        candidate.link_bytes_per_s = rate;
        candidate.link_deviation_bytes_per_s = deviation;
        let chosen = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap().chosen;
        prop_assert!(chosen.cost <= plain.cost + 1e-9);
        prop_assert!(chosen.recomputed_tokens <= plain.recomputed_tokens);
    }
}
