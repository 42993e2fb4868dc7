//! Callers of a plain service, and the judge of what they were told.

use {
    super::{
        caller::{self, End, Seen},
        objects::SERVICE,
    },
    serde_json::{Value, json},
    standin::service::Execution,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// One order of one client account.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Order {
    pub account: String,
    pub caller_key: String,
    pub idempotency_key: String,
    pub path: String,
}

/// What a caller was told about one attempt.
#[derive(Clone, Debug)]
pub struct Told(pub Seen);

impl Told {
    /// Whether this is the answer of the service.
    pub fn is_answer(&self) -> bool {
        self.0.status == 200 && self.0.end == End::Whole
    }

    /// Id that the service says it ran; null if this is no answer.
    pub fn ran_request(&self) -> Value {
        let body: Value = serde_json::from_str(&self.0.text).unwrap_or_default();
        body["request_id"].clone()
    }

    /// `not_run`, `unknown` or `run` of a refusal; empty if the connection broke or went silent.
    pub fn outcome(&self) -> &str {
        match &self.0.end {
            End::Refused { outcome, .. } => outcome,
            _ => "",
        }
    }
}

/// Sends an order once through one entry.
pub async fn send(address: SocketAddr, order: &Order) -> Told {
    let path = format!("/v1/services/{SERVICE}{}", order.path);
    let body = json!("one cold room");
    let key = Some(order.idempotency_key.as_str());
    Told(caller::send(address, &order.caller_key, &path, &body, key).await)
}

/// All that callers were told, by order.
#[derive(Debug, Default)]
pub struct History {
    told: BTreeMap<Order, Vec<Told>>,
    pub attempt_count: usize,
}

/// What a history shows against the service's own ledger.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Orders that ran more than once.
    pub repeated: Vec<String>,
    /// Attempts that were told "not run" and ran.
    pub false_not_run: Vec<String>,
    /// Answers that are not the ones of the order's own execution.
    pub foreign_answers: Vec<String>,
}

impl History {
    /// Records what an attempt was told.
    pub fn record(&mut self, order: &Order, told: Told) {
        self.attempt_count += 1;
        self.told.entry(order.clone()).or_default().push(told);
    }

    /// Orders that got the service's answer.
    pub fn answered_count(&self) -> usize {
        self.told
            .values()
            .filter(|told| told.iter().any(Told::is_answer))
            .count()
    }

    /// Judges by the ledger.
    pub fn judge(&self, ledger: &[Execution]) -> Findings {
        let ran: BTreeSet<&str> = ledger.iter().map(|run| run.request_id.as_str()).collect();
        let mut findings = Findings {
            repeated: repeated(ledger),
            ..Findings::default()
        };
        for (order, told) in &self.told {
            for one in told {
                if one.outcome() == "not_run" && ran.contains(one.0.request.as_str()) {
                    findings.false_not_run.push(one.0.request.clone());
                }
                if one.is_answer() && !answers(order, one, ledger) {
                    findings.foreign_answers.push(format!("{order:?}: {one:?}"));
                }
            }
        }
        findings
    }
}

/// Account and key of every order that ran more than once.
fn repeated(ledger: &[Execution]) -> Vec<String> {
    let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    for run in ledger {
        let order = (run.client_account.as_str(), run.idempotency_key.as_str());
        *counts.entry(order).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|((account, key), count)| format!("{account}/{key} ran {count} times"))
        .collect()
}

/// Whether the answer names the execution of this very order.
fn answers(order: &Order, told: &Told, ledger: &[Execution]) -> bool {
    ledger.iter().any(|run| {
        run.client_account == order.account
            && run.idempotency_key == order.idempotency_key
            && told.ran_request() == run.request_id.as_str()
    })
}
