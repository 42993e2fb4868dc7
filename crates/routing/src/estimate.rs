//! Cost estimate for a candidate.

use {
    crate::{Candidate, Estimate, PrefixSource, PromptProfile},
    catalog::{Objective, TargetId},
    std::time::Duration,
};

const BYTES_PER_MEBIBYTE: f64 = 1_048_576.0;
const TOKENS_PER_KILOTOKEN: f64 = 1_000.0;

/// Source of each prompt block: `0..memory_end` come from engine memory and
/// `memory_end..import_end` over the link; the rest of the prompt is computed.
#[derive(Clone, Copy, Debug)]
struct PrefixSplit {
    memory_end: usize,
    import_end: usize,
}

/// Estimates the cheapest way to run the request on a candidate.
pub(crate) fn estimate(
    prompt: &PromptProfile,
    objective: &Objective,
    candidate: &Candidate<'_>,
) -> Estimate {
    let memory_only = PrefixSplit {
        memory_end: candidate.memory_blocks,
        import_end: candidate.memory_blocks,
    };
    let best = estimate_split(prompt, objective, candidate, memory_only);
    let best = import_splits(prompt, candidate)
        .into_iter()
        .flatten()
        .map(|split| estimate_split(prompt, objective, candidate, split))
        .fold(
            best,
            |best, other| {
                if other.cost < best.cost { other } else { best }
            },
        );
    with_target_name(best, candidate)
}

/// Sets the candidate's name, which is omitted while splits are compared, so it is cloned once.
fn with_target_name(mut estimate: Estimate, candidate: &Candidate<'_>) -> Estimate {
    estimate.target.clone_from(&candidate.target.name);
    estimate
}

/// Estimates running the request on a candidate without an import.
pub(crate) fn estimate_without_import(
    prompt: &PromptProfile,
    objective: &Objective,
    candidate: &Candidate<'_>,
) -> Estimate {
    let memory_only = PrefixSplit {
        memory_end: candidate.memory_blocks,
        import_end: candidate.memory_blocks,
    };
    with_target_name(
        estimate_split(prompt, objective, candidate, memory_only),
        candidate,
    )
}

/// Returns the splits with an import that can have the lowest cost.
///
/// The cost is piecewise linear in the end of the import, with one breakpoint where the import
/// takes as long as the queue wait. So only the breakpoint and the last available block need to be
/// tried. If blocks may have been evicted from engine memory, imports from the first block on are
/// tried too.
fn import_splits(prompt: &PromptProfile, candidate: &Candidate<'_>) -> [Option<PrefixSplit>; 4] {
    let [breakpoint, end] = import_splits_from(candidate.memory_blocks, prompt, candidate);
    if candidate.memory_confidence >= 1.0 || candidate.memory_blocks == 0 {
        return [breakpoint, end, None, None];
    }
    let [breakpoint_from_start, end_from_start] = import_splits_from(0, prompt, candidate);
    [breakpoint, end, breakpoint_from_start, end_from_start]
}

/// Returns the splits that import from block `memory_end` on, up to the breakpoint and up to the
/// last available block.
fn import_splits_from(
    memory_end: usize,
    prompt: &PromptProfile,
    candidate: &Candidate<'_>,
) -> [Option<PrefixSplit>; 2] {
    let end = candidate.available_blocks;
    if end <= memory_end {
        return [None, None];
    }
    let breakpoint =
        memory_end + blocks_delivered_within(prompt, candidate, candidate.queue_wait_s());
    let has_breakpoint = (memory_end + 1..end).contains(&breakpoint);
    let to_breakpoint = has_breakpoint.then_some(PrefixSplit {
        memory_end,
        import_end: breakpoint,
    });
    [
        to_breakpoint,
        Some(PrefixSplit {
            memory_end,
            import_end: end,
        }),
    ]
}

/// Returns how many blocks the link delivers within `seconds`, after the bytes queued on it.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn blocks_delivered_within(
    prompt: &PromptProfile,
    candidate: &Candidate<'_>,
    seconds: f64,
) -> usize {
    let bytes =
        seconds * effective_link_bytes_per_s(candidate) - candidate.link_queued_bytes as f64;
    (bytes / prompt.block_bytes.max(1) as f64).max(0.0) as usize
}

/// Returns the rate of the link in bytes per second, reduced so that its inverse is the mean time
/// per byte: with a varying rate, transfers take longer on average than the mean rate suggests.
fn effective_link_bytes_per_s(candidate: &Candidate<'_>) -> f64 {
    let mean_bytes_per_s = candidate.link_bytes_per_s.max(1.0);
    let relative_deviation = candidate.link_deviation_bytes_per_s / mean_bytes_per_s;
    mean_bytes_per_s / (1.0 + relative_deviation * relative_deviation)
}

/// Estimates running the request on a candidate with the given sources of the prompt blocks.
#[allow(clippy::cast_precision_loss)]
fn estimate_split(
    prompt: &PromptProfile,
    objective: &Objective,
    candidate: &Candidate<'_>,
    split: PrefixSplit,
) -> Estimate {
    let import_blocks = split.import_end - split.memory_end;
    let link_bytes = import_blocks as u64 * prompt.block_bytes;
    let import_s = import_s(candidate, link_bytes);
    // The import runs while the request is queued.
    let wait_s = weights_load_s(candidate) + candidate.queue_wait_s().max(import_s);
    let confidence = if split.memory_end > 0 {
        candidate.memory_confidence.clamp(0.0, 1.0)
    } else {
        1.0
    };
    // If the blocks in engine memory were evicted, blocks after them cannot be reused either, so
    // the whole prompt is computed.
    let expected = |hit: f64, miss: f64| confidence * hit + (1.0 - confidence) * miss;
    let compute_s = expected(
        compute_s(prompt, candidate, split.import_end),
        compute_s(prompt, candidate, 0),
    );
    let recomputed_tokens = expected(
        recomputed_token_count(prompt, split.import_end),
        recomputed_token_count(prompt, 0),
    );
    let first_token_s = wait_s + compute_s;
    let cost = objective.first_token_cost_per_s * first_token_s
        + objective.recompute_cost_per_kilotoken * recomputed_tokens / TOKENS_PER_KILOTOKEN
        + objective.link_cost_per_mebibyte * link_bytes as f64 / BYTES_PER_MEBIBYTE;
    let deviation_s =
        import_s * candidate.link_deviation_bytes_per_s / candidate.link_bytes_per_s.max(1.0);
    let imported_tokens = import_blocks as u64 * prompt.block_tokens;
    Estimate {
        target: TargetId::new(),
        source: prefix_source(split),
        first_token: saturating_duration(first_token_s),
        recomputed_tokens: round_tokens(recomputed_tokens),
        link_bytes,
        cost,
        import_blocks,
        import_from_block: split.memory_end,
        import: saturating_duration(import_s),
        import_deviation: saturating_duration(deviation_s),
        import_saves: saturating_duration(
            imported_tokens as f64 / candidate.prefill_tokens_per_s.max(1.0),
        ),
    }
}

fn prefix_source(split: PrefixSplit) -> PrefixSource {
    if split.import_end > split.memory_end {
        PrefixSource::Import
    } else if split.memory_end > 0 {
        PrefixSource::Memory
    } else {
        PrefixSource::Recompute
    }
}

/// Returns the seconds to transfer `link_bytes` after the bytes that are queued on the link.
#[allow(clippy::cast_precision_loss)]
fn import_s(candidate: &Candidate<'_>, link_bytes: u64) -> f64 {
    if link_bytes == 0 {
        return 0.0;
    }
    (link_bytes + candidate.link_queued_bytes) as f64 / effective_link_bytes_per_s(candidate)
}

/// Returns the seconds to load the requested weights; zero if the engine has them.
fn weights_load_s(candidate: &Candidate<'_>) -> f64 {
    if candidate.has_version {
        return 0.0;
    }
    candidate.weights_load_time.as_secs_f64()
}

/// Returns the seconds to compute the prompt after its first `reused_blocks` blocks.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn compute_s(
    prompt: &PromptProfile,
    candidate: &Candidate<'_>,
    reused_blocks: usize,
) -> f64 {
    let reused_tokens = reused_blocks as u64 * prompt.block_tokens;
    let tokens = prompt.prompt_tokens.saturating_sub(reused_tokens);
    tokens as f64 / candidate.prefill_tokens_per_s.max(1.0)
}

/// Returns how many tokens that some engine has computed before are computed again if the engine
/// reuses the first `reused_blocks`.
#[allow(clippy::cast_precision_loss)]
fn recomputed_token_count(prompt: &PromptProfile, reused_blocks: usize) -> f64 {
    let blocks = prompt.seen_blocks.saturating_sub(reused_blocks);
    (blocks as u64 * prompt.block_tokens) as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_tokens(tokens: f64) -> u64 {
    tokens.round() as u64
}

/// Converts seconds to a duration, limited to the range from zero to [`Duration::MAX`].
pub(crate) fn saturating_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
