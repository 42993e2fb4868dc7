//! What a candidate would cost.

use {
    crate::{Candidate, Estimate, PrefixSource, PromptProfile},
    catalog::{Objective, TargetId},
    std::time::Duration,
};

/// Bytes in a mebibyte.
const MEBIBYTE_BYTES: f64 = 1_048_576.0;
/// Tokens in a kilotoken.
const KILOTOKEN_TOKENS: f64 = 1_000.0;

/// Which blocks come from where: `0..from` from engine memory, `from..to` over the link, the rest
/// of the prompt is computed.
#[derive(Clone, Copy, Debug)]
struct Split {
    from: usize,
    to: usize,
}

/// Estimate of the cheapest way to run the request at a candidate.
pub(crate) fn estimate(
    prompt: &PromptProfile,
    objective: &Objective,
    candidate: &Candidate<'_>,
) -> Estimate {
    let memory = Split {
        from: candidate.memory_blocks,
        to: candidate.memory_blocks,
    };
    let best = evaluate(prompt, objective, candidate, memory);
    let best = splits(prompt, candidate)
        .into_iter()
        .flatten()
        .map(|split| evaluate(prompt, objective, candidate, split))
        .fold(
            best,
            |best, other| {
                if other.cost < best.cost { other } else { best }
            },
        );
    named(best, candidate)
}

/// The estimate with the candidate's name, which is left out while splits are compared.
fn named(mut estimate: Estimate, candidate: &Candidate<'_>) -> Estimate {
    estimate.target.clone_from(&candidate.target.name);
    estimate
}

/// Estimate of running the request at a candidate without an import.
pub(crate) fn estimate_without_import(
    prompt: &PromptProfile,
    objective: &Objective,
    candidate: &Candidate<'_>,
) -> Estimate {
    let memory = Split {
        from: candidate.memory_blocks,
        to: candidate.memory_blocks,
    };
    named(evaluate(prompt, objective, candidate, memory), candidate)
}

/// Splits with an import that may be the best one. The cost is linear in the end of the import
/// but for a bend where the import takes as long as the queue, so only that bend and the end have
/// to be looked at. Blocks that may have left engine memory can be imported as well.
fn splits(prompt: &PromptProfile, candidate: &Candidate<'_>) -> [Option<Split>; 4] {
    let [bend, end] = splits_after(candidate.memory_blocks, prompt, candidate);
    if candidate.memory_confidence >= 1.0 || candidate.memory_blocks == 0 {
        return [bend, end, None, None];
    }
    let [bend_from_start, end_from_start] = splits_after(0, prompt, candidate);
    [bend, end, bend_from_start, end_from_start]
}

/// Splits that import from block `from` on: up to the bend, and all.
fn splits_after(
    from: usize,
    prompt: &PromptProfile,
    candidate: &Candidate<'_>,
) -> [Option<Split>; 2] {
    let end = candidate.available_blocks;
    if end <= from {
        return [None, None];
    }
    let bend = from + blocks_within(prompt, candidate, candidate.queue_wait_s());
    let has_bend = (from + 1..end).contains(&bend);
    let to_bend = has_bend.then_some(Split { from, to: bend });
    [to_bend, Some(Split { from, to: end })]
}

/// Blocks that the link delivers within `seconds`.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn blocks_within(prompt: &PromptProfile, candidate: &Candidate<'_>, seconds: f64) -> usize {
    let bytes = seconds * effective_rate(candidate) - candidate.link_queued_bytes as f64;
    (bytes / prompt.block_bytes.max(1) as f64).max(0.0) as usize
}

/// Bytes a second of the link, lowered so that its inverse is the mean time for a byte: a rate
/// that varies makes transfers slower on average than its mean does.
fn effective_rate(candidate: &Candidate<'_>) -> f64 {
    let rate = candidate.link_bytes_per_s.max(1.0);
    let variation = candidate.link_deviation_bytes_per_s / rate;
    rate / (1.0 + variation * variation)
}

#[allow(clippy::cast_precision_loss)]
fn evaluate(
    prompt: &PromptProfile,
    objective: &Objective,
    candidate: &Candidate<'_>,
    split: Split,
) -> Estimate {
    let import_blocks = split.to - split.from;
    let link_bytes = import_blocks as u64 * prompt.block_bytes;
    let import_s = import_s(candidate, link_bytes);
    let wait_s = weights_s(candidate) + candidate.queue_wait_s().max(import_s);
    let confidence = if split.from > 0 {
        candidate.memory_confidence.clamp(0.0, 1.0)
    } else {
        1.0
    };
    let mean = |hit: f64, miss: f64| confidence * hit + (1.0 - confidence) * miss;
    let compute_s = mean(
        compute_s(prompt, candidate, split.to),
        compute_s(prompt, candidate, 0),
    );
    let recomputed_tokens = mean(recomputed(prompt, split.to), recomputed(prompt, 0));
    let first_token_s = wait_s + compute_s;
    let cost = objective.first_token_cost_per_s * first_token_s
        + objective.recompute_cost_per_kilotoken * recomputed_tokens / KILOTOKEN_TOKENS
        + objective.link_cost_per_mebibyte * link_bytes as f64 / MEBIBYTE_BYTES;
    let deviation_s =
        import_s * candidate.link_deviation_bytes_per_s / candidate.link_bytes_per_s.max(1.0);
    let saved_tokens = import_blocks as u64 * prompt.block_tokens;
    Estimate {
        target: TargetId::new(),
        source: source(split),
        first_token: seconds(first_token_s),
        recomputed_tokens: whole(recomputed_tokens),
        link_bytes,
        cost,
        import_blocks,
        import_from_block: split.from,
        import: seconds(import_s),
        import_deviation: seconds(deviation_s),
        import_saves: seconds(saved_tokens as f64 / candidate.prefill_tokens_per_s.max(1.0)),
    }
}

fn source(split: Split) -> PrefixSource {
    if split.to > split.from {
        PrefixSource::Import
    } else if split.from > 0 {
        PrefixSource::Memory
    } else {
        PrefixSource::Recompute
    }
}

#[allow(clippy::cast_precision_loss)]
fn import_s(candidate: &Candidate<'_>, link_bytes: u64) -> f64 {
    if link_bytes == 0 {
        return 0.0;
    }
    (link_bytes + candidate.link_queued_bytes) as f64 / effective_rate(candidate)
}

fn weights_s(candidate: &Candidate<'_>) -> f64 {
    if candidate.has_version {
        return 0.0;
    }
    candidate.weights_load_time.as_secs_f64()
}

/// Seconds to compute what follows the first `had_blocks` of the prompt.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn compute_s(
    prompt: &PromptProfile,
    candidate: &Candidate<'_>,
    had_blocks: usize,
) -> f64 {
    let had_tokens = had_blocks as u64 * prompt.block_tokens;
    let tokens = prompt.prompt_tokens.saturating_sub(had_tokens);
    tokens as f64 / candidate.prefill_tokens_per_s.max(1.0)
}

/// Tokens computed again if the engine has the first `had_blocks` of the prompt.
#[allow(clippy::cast_precision_loss)]
fn recomputed(prompt: &PromptProfile, had_blocks: usize) -> f64 {
    let blocks = prompt.seen_blocks.saturating_sub(had_blocks);
    (blocks as u64 * prompt.block_tokens) as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> u64 {
    tokens.round() as u64
}

/// A duration, the longest there is if `seconds` is too large.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}
