//! Bodies of the calls of etcd's JSON form.

use {
    crate::{Compare, LeaseId, Op, Txn},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    catalog::Revision,
    serde::Serialize,
    std::time::Duration,
};

/// `/v3/kv/range`, and a read inside a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct RangeCall {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

impl RangeCall {
    /// Reads every key that starts with `prefix`.
    pub(crate) fn prefix(prefix: &str) -> Self {
        let (key, range_end) = prefix_bounds(prefix);
        Self {
            key,
            range_end: Some(range_end),
        }
    }

    fn single(key: &str) -> Self {
        Self {
            key: encode(key),
            range_end: None,
        }
    }
}

/// `/v3/kv/txn`.
#[derive(Debug, Serialize)]
pub(crate) struct TxnCall {
    compare: Vec<CompareCall>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
}

#[derive(Debug, Serialize)]
struct CompareCall {
    key: String,
    target: &'static str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
}

#[derive(Debug, Serialize)]
enum RequestOp {
    #[serde(rename = "requestPut")]
    Put(PutCall),
    #[serde(rename = "requestRange")]
    Range(RangeCall),
    #[serde(rename = "requestDeleteRange")]
    Delete(DeleteCall),
    #[serde(rename = "requestTxn")]
    Txn(TxnCall),
}

#[derive(Debug, Serialize)]
struct PutCall {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

#[derive(Debug, Serialize)]
struct DeleteCall {
    key: String,
}

impl From<&Txn> for TxnCall {
    fn from(txn: &Txn) -> Self {
        Self {
            compare: txn.compares.iter().map(CompareCall::from).collect(),
            success: txn.success.iter().map(RequestOp::from).collect(),
            failure: txn.failure.iter().map(RequestOp::from).collect(),
        }
    }
}

impl From<&Compare> for CompareCall {
    fn from(compare: &Compare) -> Self {
        match compare {
            Compare::Absent(key) => Self::created(key, 0),
            Compare::CreateRevision(key, revision) => Self::created(key, *revision),
            Compare::ModRevision(key, revision) => Self {
                key: encode(key),
                target: "MOD",
                result: "EQUAL",
                create_revision: None,
                mod_revision: Some(revision.to_string()),
            },
        }
    }
}

impl CompareCall {
    fn created(key: &str, revision: Revision) -> Self {
        Self {
            key: encode(key),
            target: "CREATE",
            result: "EQUAL",
            create_revision: Some(revision.to_string()),
            mod_revision: None,
        }
    }
}

impl From<&Op> for RequestOp {
    fn from(op: &Op) -> Self {
        match op {
            Op::Put(key, value, lease) => Self::Put(PutCall {
                key: encode(key),
                value: STANDARD.encode(value),
                lease: lease.map(|lease| lease.to_string()),
            }),
            Op::Delete(key) => Self::Delete(DeleteCall { key: encode(key) }),
            Op::Get(key) => Self::Range(RangeCall::single(key)),
            Op::Txn(nested) => Self::Txn(TxnCall::from(nested)),
        }
    }
}

/// `/v3/lease/grant`.
#[derive(Debug, Serialize)]
pub(crate) struct GrantCall {
    #[serde(rename = "TTL")]
    ttl: String,
    #[serde(rename = "ID")]
    id: String,
}

impl GrantCall {
    /// Asks for a lease; whole seconds, rounded up.
    pub(crate) fn new(ttl: Duration) -> Self {
        let ttl_s = ttl.as_millis().div_ceil(1000).max(1);
        Self {
            ttl: ttl_s.to_string(),
            id: "0".to_owned(),
        }
    }
}

/// `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseCall {
    #[serde(rename = "ID")]
    id: String,
}

impl LeaseCall {
    /// Names a lease.
    pub(crate) fn new(lease: LeaseId) -> Self {
        Self {
            id: lease.to_string(),
        }
    }
}

/// `/v3/watch`.
#[derive(Debug, Serialize)]
pub(crate) struct WatchCall {
    create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
struct WatchCreate {
    key: String,
    range_end: String,
    start_revision: String,
    progress_notify: bool,
}

impl WatchCall {
    /// Watches every key that starts with `prefix`.
    pub(crate) fn prefix(prefix: &str, from: Revision) -> Self {
        let (key, range_end) = prefix_bounds(prefix);
        Self {
            create_request: WatchCreate {
                key,
                range_end,
                start_revision: from.to_string(),
                progress_notify: true,
            },
        }
    }
}

/// First key and the key after the last one that starts with `prefix`, both encoded.
fn prefix_bounds(prefix: &str) -> (String, String) {
    let mut end = prefix.as_bytes().to_vec();
    while end.pop_if(|byte| *byte == u8::MAX).is_some() {}
    match end.last_mut() {
        Some(last) => *last += 1,
        None => end.push(0),
    }
    let first: &[u8] = if prefix.is_empty() {
        &[0]
    } else {
        prefix.as_bytes()
    };
    (STANDARD.encode(first), STANDARD.encode(end))
}

fn encode(key: &str) -> String {
    STANDARD.encode(key)
}
