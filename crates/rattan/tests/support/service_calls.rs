//! Calls to a plain service, and the check of what callers were told.

use {
    super::{
        caller::{self, End, ReceivedAnswer},
        objects::SERVICE,
    },
    serde_json::{Value, json},
    standin::service::Execution,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// One call to the plain service by a client account.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServiceCall {
    pub account: String,
    pub caller_key: String,
    pub idempotency_key: String,
    pub path: String,
}

/// Result of one attempt as its caller received it.
#[derive(Clone, Debug)]
pub struct CallResult(pub ReceivedAnswer);

impl CallResult {
    /// Whether this is the answer of the service.
    pub fn is_answer(&self) -> bool {
        self.0.status == 200 && self.0.end == End::Whole
    }

    /// Request id that the service reports as executed; null if this is no answer.
    pub fn executed_request_id(&self) -> Value {
        let body: Value = serde_json::from_str(&self.0.text).unwrap_or_default();
        body["request_id"].clone()
    }

    /// Outcome stated by a refusal: `not_run`, `unknown` or `run`. Empty if there was no refusal.
    pub fn outcome(&self) -> &str {
        match &self.0.end {
            End::Refused { outcome, .. } => outcome,
            _ => "",
        }
    }
}

/// Makes one attempt at a call through one entry.
pub async fn send(address: SocketAddr, service_call: &ServiceCall) -> CallResult {
    let path = format!("/v1/services/{SERVICE}{}", service_call.path);
    let body = json!("one cold room");
    let key = Some(service_call.idempotency_key.as_str());
    CallResult(caller::send(address, &service_call.caller_key, &path, &body, key).await)
}

/// Results of all attempts, by call.
#[derive(Debug, Default)]
pub struct History {
    results: BTreeMap<ServiceCall, Vec<CallResult>>,
    pub attempt_count: usize,
}

/// Contradictions between a history and the ledger of the service.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Calls that ran more than once.
    pub repeated: Vec<String>,
    /// Attempts that were refused as `not_run` although they ran.
    pub false_not_run: Vec<String>,
    /// Answers that don't belong to an execution of their call.
    pub foreign_answers: Vec<String>,
}

impl History {
    /// Records the result of an attempt.
    pub fn record(&mut self, service_call: &ServiceCall, result: CallResult) {
        self.attempt_count += 1;
        self.results
            .entry(service_call.clone())
            .or_default()
            .push(result);
    }

    /// Number of calls that were answered.
    pub fn answered_count(&self) -> usize {
        self.results
            .values()
            .filter(|result| result.iter().any(CallResult::is_answer))
            .count()
    }

    /// Compares the history with the ledger.
    pub fn findings(&self, ledger: &[Execution]) -> Findings {
        let ran: BTreeSet<&str> = ledger.iter().map(|run| run.request_id.as_str()).collect();
        let mut findings = Findings {
            repeated: repeated_calls(ledger),
            ..Findings::default()
        };
        for (service_call, results) in &self.results {
            for result in results {
                if result.outcome() == "not_run" && ran.contains(result.0.request.as_str()) {
                    findings.false_not_run.push(result.0.request.clone());
                }
                if result.is_answer() && !is_own_answer(service_call, result, ledger) {
                    findings
                        .foreign_answers
                        .push(format!("{service_call:?}: {result:?}"));
                }
            }
        }
        findings
    }
}

/// Account and key of every call that ran more than once.
fn repeated_calls(ledger: &[Execution]) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for run in ledger {
        let service_call = (run.client_account.as_str(), run.idempotency_key.as_str());
        *counts.entry(service_call).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|((account, key), count)| format!("{account}/{key} ran {count} times"))
        .collect()
}

/// Whether the answer belongs to an execution of this call.
fn is_own_answer(service_call: &ServiceCall, result: &CallResult, ledger: &[Execution]) -> bool {
    ledger.iter().any(|run| {
        run.client_account == service_call.account
            && run.idempotency_key == service_call.idempotency_key
            && result.executed_request_id() == run.request_id.as_str()
    })
}
