//! Choice by cost: prefix sources, partial imports, stale load reports, ties and rejections.

mod support;

use {
    proptest::prelude::*,
    routing::{
        Candidate, FilterReason, Policy, PrefixSource, PromptProfile, choose, choose_by_cost,
    },
    std::{collections::BTreeSet, time::Duration},
    support::{engine, rule},
};

const PREFILL_TOKENS_PER_S: f64 = 10_000.0;
const PROMPT: PromptProfile = PromptProfile {
    prompt_tokens: 20_000,
    block_tokens: 2_000,
    block_bytes: 1_000_000,
    seen_blocks: 10,
};

#[test]
fn prefix_is_imported_over_a_fast_link_and_recomputed_over_a_slow_one() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, PREFILL_TOKENS_PER_S);
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
fn slow_link_imports_only_blocks_that_arrive_during_the_queue_wait() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, PREFILL_TOKENS_PER_S);
    candidate.available_blocks = 10;
    candidate.link_bytes_per_s = 4e6;
    candidate.load.queued_tokens = 12_000;
    let choice = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap();
    assert_eq!(choice.chosen.source, PrefixSource::Import);
    assert_eq!(
        choice.chosen.import_blocks, 4,
        "1.2 s of queue wait at 0.25 s per block"
    );
    assert_eq!(choice.chosen.recomputed_tokens, 12_000);
}

#[test]
fn uncertain_memory_blocks_are_imported_when_that_is_cheap() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, PREFILL_TOKENS_PER_S);
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
fn queue_wait_corrects_stale_reports_by_age_and_own_requests() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, PREFILL_TOKENS_PER_S);
    candidate.load.queued_tokens = 10_000;
    assert!((candidate.queue_wait_s() - 1.0).abs() < 1e-9);
    candidate.load.report_age = Duration::from_millis(600);
    assert!((candidate.queue_wait_s() - 0.4).abs() < 1e-9);
    candidate.load.own_pending_tokens = 8_000;
    assert!((candidate.queue_wait_s() - 0.8).abs() < 1e-9);
}

#[test]
fn tie_breaker_spreads_requests_over_equal_targets() {
    let targets: Vec<_> = (0..4)
        .map(|number| engine(&format!("engine-{number}")))
        .collect();
    let candidates: Vec<_> = targets
        .iter()
        .map(|it| Candidate::new(it, PREFILL_TOKENS_PER_S))
        .collect();
    for policy in [
        Policy::Cost,
        Policy::RoundRobin,
        Policy::LeastLoaded,
        Policy::LongestPrefix,
    ] {
        let chosen: BTreeSet<String> = (0..4)
            .map(|tie_breaker| {
                choose(policy, tie_breaker, &PROMPT, &rule(), &candidates)
                    .unwrap()
                    .chosen
                    .target
            })
            .collect();
        assert_eq!(chosen.len(), 4, "{policy:?}");
    }
}

#[test]
fn every_rejected_target_is_listed_with_its_reason() {
    let mut targets: Vec<_> = (0..5)
        .map(|number| engine(&format!("engine-{number}")))
        .collect();
    targets[0].labels.clear();
    let mut candidates: Vec<_> = targets
        .iter()
        .map(|it| Candidate::new(it, PREFILL_TOKENS_PER_S))
        .collect();
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
        "the queue wait of the full engine"
    );
}

#[test]
fn engine_is_full_beyond_a_queue_of_two_prompts() {
    let target = engine("engine-a");
    let mut candidate = Candidate::new(&target, PREFILL_TOKENS_PER_S);
    candidate.load.queued_tokens = 40_000;
    assert!(choose_by_cost(&PROMPT, &rule(), &[candidate.clone()]).is_ok());
    candidate.load.queued_tokens = 40_001;
    let refusal = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap_err();
    assert_eq!(refusal.rejected[0].reason, FilterReason::Full);
    assert!(refusal.retry_after > Duration::from_secs(4));
}

proptest! {
    #[test]
    fn chosen_source_never_costs_more_than_computing_the_whole_prompt(
        memory in 0..12usize,
        imports in 0..12usize,
        confidence in 0.0..=1.0f64,
        rate in 1.0..1e9f64,
        deviation in 0.0..1e9f64,
        queued in 0..=40_000u64,
    ) {
        let target = engine("engine-a");
        let mut candidate = Candidate::new(&target, PREFILL_TOKENS_PER_S);
        candidate.load.queued_tokens = queued;
        let computed = choose_by_cost(&PROMPT, &rule(), &[candidate.clone()]).unwrap().chosen;
        candidate.memory_blocks = memory;
        candidate.available_blocks = memory.max(imports);
        candidate.memory_confidence = confidence;
        candidate.link_bytes_per_s = rate;
        candidate.link_deviation_bytes_per_s = deviation;
        let chosen = choose_by_cost(&PROMPT, &rule(), &[candidate]).unwrap().chosen;
        prop_assert!(chosen.cost <= computed.cost + 1e-9);
        prop_assert!(chosen.recomputed_tokens <= computed.recomputed_tokens);
    }
}
