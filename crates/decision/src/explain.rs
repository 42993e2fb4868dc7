//! A record in words.

use {
    crate::{Outcome, Record, Step, log_line::source_words},
    routing::{Choice, Estimate, FilterReason, RejectedCandidate},
    std::{
        collections::BTreeMap,
        fmt::Write,
        time::{Duration, UNIX_EPOCH},
    },
};

/// Candidates listed one by one; further ones are counted.
const MAX_LISTED_COUNT: usize = 8;

/// Why the request went where it did, why it was refused, and why something was recomputed, with
/// the candidates, their estimates and what was missing. Several lines, one for each step.
#[must_use]
pub fn explain(record: &Record) -> String {
    let mut text = header(record);
    if record.steps.is_empty() {
        text.push_str("No decision is recorded yet.\n");
    }
    for (index, step) in record.steps.iter().enumerate() {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{}. {}", index + 1, step_words(step));
    }
    text
}

fn header(record: &Record) -> String {
    let version = if record.model_version.is_empty() {
        "a plain service".to_owned()
    } else {
        format!("model version {}", record.model_version)
    };
    format!(
        "Request {} of client account {} for {version} arrived at {} on instance {}, which decided \
         under configuration revision {}.\n",
        record.request,
        record.client_account,
        arrived_words(record.arrived),
        record.instance,
        record.revision,
    )
}

fn arrived_words(arrived: Duration) -> String {
    UNIX_EPOCH.checked_add(arrived).map_or_else(
        || format!("{} s", arrived.as_secs()),
        |time| humantime::format_rfc3339_millis(time).to_string(),
    )
}

fn step_words(step: &Step) -> String {
    match step {
        Step::Refused {
            reason,
            retry_after_ms,
            rejected,
        } => refused_words(reason, *retry_after_ms, rejected),
        Step::Routed { choice, missing } => routed_words(choice, missing),
        Step::Attempt {
            target,
            outcome,
            error,
        } => attempt_words(target, *outcome, error),
        Step::Imported {
            store,
            blocks_count,
            link_bytes,
            missing,
        } => imported_words(store, *blocks_count, *link_bytes, missing),
        Step::Finished {
            prompt_tokens,
            cached_tokens,
            recomputed_tokens,
            recompute_reason,
            answer_tokens,
            first_token_ms,
        } => format!(
            "Finished: first token after {first_token_ms} ms, {answer_tokens} answer tokens; of \
             {prompt_tokens} prompt tokens {cached_tokens} came from cache; {}.",
            recomputed_words(*recomputed_tokens, recompute_reason)
        ),
        Step::Exported {
            store,
            blocks_count,
            link_bytes,
            reason,
        } => exported_words(store, *blocks_count, *link_bytes, reason),
    }
}

fn refused_words(reason: &str, retry_after_ms: u64, rejected: &[RejectedCandidate]) -> String {
    format!(
        "Refused: {reason}. The caller was told to come back in {retry_after_ms} ms.{}",
        rejected_words(rejected)
    )
}

fn routed_words(choice: &Choice, missing: &[String]) -> String {
    let mut text = format!(
        "Routed to {}: {}.",
        estimate_words(&choice.chosen),
        source_words(choice.chosen.source)
    );
    if choice.others.is_empty() {
        text.push_str(" No other candidate was left.");
    }
    for other in choice.others.iter().take(MAX_LISTED_COUNT) {
        let _ = write!(text, "\n   Other candidate: {}.", estimate_words(other));
    }
    let unlisted = choice.others.len().saturating_sub(MAX_LISTED_COUNT);
    if unlisted > 0 {
        let _ = write!(text, "\n   {unlisted} further candidates cost more.");
    }
    text.push_str(&rejected_words(&choice.rejected));
    for item in missing {
        let _ = write!(text, "\n   Missing or uncertain: {item}.");
    }
    text
}

fn estimate_words(estimate: &Estimate) -> String {
    format!(
        "{} (cost {:.4}: first token in {} ms, {} tokens recomputed, {} bytes over the link)",
        estimate.target,
        estimate.cost,
        estimate.first_token.as_millis(),
        estimate.recomputed_tokens,
        estimate.link_bytes
    )
}

/// One line for each reason, with the targets it holds for.
fn rejected_words(rejected: &[RejectedCandidate]) -> String {
    let mut by_reason = BTreeMap::<&str, Vec<&str>>::new();
    for rejected in rejected {
        by_reason
            .entry(filter_words(rejected.reason))
            .or_default()
            .push(&rejected.target);
    }
    let mut text = String::new();
    for (reason, targets) in by_reason {
        let listed = targets[..targets.len().min(MAX_LISTED_COUNT)].join(", ");
        let _ = write!(text, "\n   Left out because {reason}: {listed}");
        let unlisted = targets.len().saturating_sub(MAX_LISTED_COUNT);
        if unlisted > 0 {
            let _ = write!(text, " and {unlisted} more");
        }
        text.push('.');
    }
    text
}

fn filter_words(reason: FilterReason) -> &'static str {
    match reason {
        FilterReason::Selector => "the placement rule does not select it",
        FilterReason::Leaving => "it takes no new work",
        FilterReason::Unreachable => "connections to it fail",
        FilterReason::Full => "its queue is full",
        FilterReason::Version => "it does not run the wanted version",
    }
}

fn attempt_words(target: &str, outcome: Outcome, error: &str) -> String {
    let outcome = match outcome {
        Outcome::NotRun => "nothing of it ran there",
        Outcome::Run => "it ran there to its end",
        Outcome::Unknown => "it may have run there",
    };
    format!("Attempt at {target}: {outcome}{}.", because(error, "; "))
}

fn imported_words(store: &str, blocks_count: usize, link_bytes: u64, missing: &str) -> String {
    format!(
        "Imported {blocks_count} blocks ({link_bytes} bytes over the link) from {store}{}.",
        because(missing, "; missing: ")
    )
}

fn recomputed_words(recomputed_tokens: u64, reason: &str) -> String {
    if recomputed_tokens == 0 {
        return "nothing was recomputed".to_owned();
    }
    format!(
        "{recomputed_tokens} tokens were recomputed{}",
        because(reason, " because ")
    )
}

fn exported_words(store: &str, blocks_count: usize, link_bytes: u64, reason: &str) -> String {
    if store.is_empty() {
        return format!("Not exported{}.", because(reason, ": "));
    }
    format!(
        "Exported {blocks_count} blocks ({link_bytes} bytes over the link) to {store}{}.",
        because(reason, ": ")
    )
}

/// `text` after `lead`, or nothing if `text` is empty.
fn because(text: &str, lead: &str) -> String {
    if text.is_empty() {
        String::new()
    } else {
        format!("{lead}{text}")
    }
}
