//! Records and logs what targets state of themselves.

use {
    crate::{NewStatement, TargetState, TargetStatements, boot_time, call_recorder::millis},
    eventlog::{Event, EventLog},
    hyper::StatusCode,
    meters::Meters,
};

/// Records what `target` states in an answer that is no answer to a call, such as a report, and logs
/// what is new. Such an answer says nothing of the target's limit.
pub fn record_report(
    target: &TargetState,
    status: StatusCode,
    statements: &TargetStatements,
    log: &EventLog,
    meters: &Meters,
) {
    let news = target
        .call_stats
        .observe_report(status, statements, boot_time());
    log_news(target, news, log, meters);
}

/// Records what `target` states in its answer to a call, and logs what is new.
pub(crate) fn record_answer(
    target: &TargetState,
    status: StatusCode,
    statements: &TargetStatements,
    log: &EventLog,
    meters: &Meters,
) {
    let news = target
        .call_stats
        .observe_answer(status, statements, boot_time());
    log_news(target, news, log, meters);
}

fn log_news(target: &TargetState, news: Vec<NewStatement>, log: &EventLog, meters: &Meters) {
    for statement in news {
        let (name, value, for_ms) = match statement {
            NewStatement::Leaving => ("leaving", String::new(), None),
            NewStatement::Backoff(delay) => ("backoff", String::new(), Some(millis(delay))),
            NewStatement::Cold(left) => ("cold", String::new(), Some(millis(left))),
            NewStatement::Limit(limit_per_s) => ("limit", rate_text(limit_per_s), None),
            NewStatement::MaxRefusals(per_s) => ("max_refusals", rate_text(per_s), None),
            NewStatement::Malformed(header) => {
                let value = format!("{}: {}", header.name, header.text);
                ("malformed", value, None)
            }
        };
        meters.count("target_statements", name);
        log.emit(&Event::TargetStatement {
            target: target.id.clone(),
            statement: name,
            value,
            for_ms,
        });
    }
}

/// Text of a rate per second; empty if the target states none any more.
fn rate_text(per_s: Option<f64>) -> String {
    per_s.map(|it| it.to_string()).unwrap_or_default()
}
