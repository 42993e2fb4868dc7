//! Formats the log line of a decision.

use {
    crate::{Record, Step},
    routing::{Choice, PrefixSource},
};

/// Formats the latest decision in `record` (refused, routed, exported or not exported) as one log
/// line. Returns `None` if nothing has been decided yet.
///
/// The line consists of `key=value` fields separated by spaces; control characters in values are
/// escaped. Prompts, answers and keys are not part of a record, so they never appear in the line.
#[must_use]
pub fn log_line(record: &Record) -> Option<String> {
    let decision = record.steps.iter().rev().find_map(decision_fields)?;
    Some(format!(
        "request={} client_account={} version={} revision={} {decision}",
        record.request.escape_debug(),
        record.client_account.escape_debug(),
        record.model_version.escape_debug(),
        record.revision,
    ))
}

/// Logs [`log_line`] at level info with the log target `decision`.
pub fn log_decision(record: &Record) {
    if let Some(line) = log_line(record) {
        log::info!(target: "decision", "{line}");
    }
}

fn decision_fields(step: &Step) -> Option<String> {
    match step {
        Step::Refused {
            reason,
            retry_after_ms,
            rejected,
        } => Some(format!(
            "decision=refused reason={reason:?} retry_after_ms={retry_after_ms} left_out={}",
            rejected.len()
        )),
        Step::Routed { choice, missing } => Some(routed_fields(choice, missing)),
        Step::Exported {
            store,
            blocks_count,
            link_bytes,
            reason,
        } => Some(format!(
            "decision={} target={} blocks={blocks_count} link_bytes={link_bytes} reason={reason:?}",
            if store.is_empty() {
                "not_exported"
            } else {
                "exported"
            },
            store.escape_debug(),
        )),
        Step::Attempt { .. } | Step::Imported { .. } | Step::Finished { .. } => None,
    }
}

fn routed_fields(choice: &Choice, missing: &[String]) -> String {
    let chosen = &choice.chosen;
    format!(
        "decision=routed target={} reason={:?} first_token_ms={} recomputed_tokens={} \
         link_bytes={} cost={:.4} others={} left_out={} missing={:?}",
        chosen.target.escape_debug(),
        prefix_source_text(chosen.source),
        chosen.first_token.as_millis(),
        chosen.recomputed_tokens,
        chosen.link_bytes,
        chosen.cost,
        choice.others.len(),
        choice.rejected.len(),
        missing.join("; "),
    )
}

/// Describes where most of the prompt's prefix comes from.
pub(crate) fn prefix_source_text(source: PrefixSource) -> &'static str {
    match source {
        PrefixSource::Memory => "lowest cost, prefix in engine memory",
        PrefixSource::Import => "lowest cost, prefix imported from a store",
        PrefixSource::Recompute => "lowest cost, prompt computed",
    }
}
