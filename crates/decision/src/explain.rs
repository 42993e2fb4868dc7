//! Explains a decision record in plain sentences.

use {
    crate::{Outcome, Record, Step, log_line::prefix_source_text},
    routing::{Choice, Estimate, FilterReason, RejectedCandidate},
    std::{
        collections::BTreeMap,
        fmt::Write,
        time::{Duration, UNIX_EPOCH},
    },
};

/// Other or rejected candidates that are listed by name; the rest is only counted.
const MAX_LISTED_COUNT: usize = 8;

/// Explains why a request was routed to its target or refused and why tokens were recomputed, with
/// the candidates, their estimates and the data that was missing. The text has a header line and a
/// numbered entry for each step.
#[must_use]
pub fn explain(record: &Record) -> String {
    let mut text = header(record);
    if record.steps.is_empty() {
        text.push_str("No decision is recorded yet.\n");
    }
    for (index, step) in record.steps.iter().enumerate() {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "{}. {}", index + 1, explain_step(step));
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
        format_arrival(record.arrived),
        record.instance,
        record.revision,
    )
}

fn format_arrival(arrived: Duration) -> String {
    UNIX_EPOCH.checked_add(arrived).map_or_else(
        || format!("{} s", arrived.as_secs()),
        |time| humantime::format_rfc3339_millis(time).to_string(),
    )
}

fn explain_step(step: &Step) -> String {
    match step {
        Step::Refused {
            reason,
            retry_after_ms,
            rejected,
        } => explain_refusal(reason, *retry_after_ms, rejected),
        Step::Routed { choice, missing } => explain_routing(choice, missing),
        Step::Attempt {
            target,
            outcome,
            error,
        } => explain_attempt(target, *outcome, error),
        Step::Imported {
            store,
            blocks_count,
            link_bytes,
            missing,
        } => explain_import(store, *blocks_count, *link_bytes, missing),
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
            explain_recompute(*recomputed_tokens, recompute_reason)
        ),
        Step::Exported {
            store,
            blocks_count,
            link_bytes,
            reason,
        } => explain_export(store, *blocks_count, *link_bytes, reason),
    }
}

fn explain_refusal(reason: &str, retry_after_ms: u64, rejected: &[RejectedCandidate]) -> String {
    format!(
        "Refused: {reason}. The caller was told to come back in {retry_after_ms} ms.{}",
        format_rejected(rejected)
    )
}

fn explain_routing(choice: &Choice, missing: &[String]) -> String {
    let mut text = format!(
        "Routed to {}: {}.",
        format_estimate(&choice.chosen),
        prefix_source_text(choice.chosen.source)
    );
    if choice.others.is_empty() {
        text.push_str(" No other candidate was left.");
    }
    for other in choice.others.iter().take(MAX_LISTED_COUNT) {
        let _ = write!(text, "\n   Other candidate: {}.", format_estimate(other));
    }
    let unlisted = choice.others.len().saturating_sub(MAX_LISTED_COUNT);
    if unlisted > 0 {
        let _ = write!(text, "\n   {unlisted} further candidates cost more.");
    }
    text.push_str(&format_rejected(&choice.rejected));
    for item in missing {
        let _ = write!(text, "\n   Missing or uncertain: {item}.");
    }
    text
}

fn format_estimate(estimate: &Estimate) -> String {
    format!(
        "{} (cost {:.4}: first token in {} ms, {} tokens recomputed, {} bytes over the link)",
        estimate.target,
        estimate.cost,
        estimate.first_token.as_millis(),
        estimate.recomputed_tokens,
        estimate.link_bytes
    )
}

/// Lists the rejected targets, one line for each reason.
fn format_rejected(rejected: &[RejectedCandidate]) -> String {
    let mut by_reason = BTreeMap::<&str, Vec<&str>>::new();
    for rejected in rejected {
        by_reason
            .entry(filter_reason_text(rejected.reason))
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

fn filter_reason_text(reason: FilterReason) -> &'static str {
    match reason {
        FilterReason::Selector => "the placement rule does not select it",
        FilterReason::Leaving => "it takes no new work",
        FilterReason::Unreachable => "connections to it fail",
        FilterReason::Full => "its queue is full",
        FilterReason::Version => "it does not run the wanted version",
    }
}

fn explain_attempt(target: &str, outcome: Outcome, error: &str) -> String {
    let outcome = match outcome {
        Outcome::NotRun => "nothing of it ran there",
        Outcome::Run => "it ran there to its end",
        Outcome::Unknown => "it may have run there",
    };
    format!(
        "Attempt at {target}: {outcome}{}.",
        prefix_if_present(error, "; ")
    )
}

fn explain_import(store: &str, blocks_count: usize, link_bytes: u64, missing: &str) -> String {
    format!(
        "Imported {blocks_count} blocks ({link_bytes} bytes over the link) from {store}{}.",
        prefix_if_present(missing, "; missing: ")
    )
}

fn explain_recompute(recomputed_tokens: u64, reason: &str) -> String {
    if recomputed_tokens == 0 {
        return "nothing was recomputed".to_owned();
    }
    format!(
        "{recomputed_tokens} tokens were recomputed{}",
        prefix_if_present(reason, " because ")
    )
}

fn explain_export(store: &str, blocks_count: usize, link_bytes: u64, reason: &str) -> String {
    if store.is_empty() {
        return format!("Not exported{}.", prefix_if_present(reason, ": "));
    }
    format!(
        "Exported {blocks_count} blocks ({link_bytes} bytes over the link) to {store}{}.",
        prefix_if_present(reason, ": ")
    )
}

/// Puts `prefix` before `text`; an empty `text` gives an empty string.
fn prefix_if_present(text: &str, prefix: &str) -> String {
    if text.is_empty() {
        String::new()
    } else {
        format!("{prefix}{text}")
    }
}
