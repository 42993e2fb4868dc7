//! Request bodies of etcd's JSON API.

use {
    crate::{Compare, LeaseId, Op, Txn},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    catalog::Revision,
    serde::Serialize,
    std::time::Duration,
};

/// Body of `/v3/kv/range`, and of a read inside a transaction.
#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

impl RangeRequest {
    /// Reads every key that starts with `prefix`.
    pub(crate) fn prefix(prefix: &str) -> Self {
        let (key, range_end) = prefix_bounds(prefix);
        Self {
            key,
            range_end: Some(range_end),
        }
    }

    fn single_key(key: &str) -> Self {
        Self {
            key: encode_key(key),
            range_end: None,
        }
    }
}

/// Body of `/v3/kv/txn`, and of a nested transaction.
#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<RequestOp>,
    failure: Vec<RequestOp>,
}

#[derive(Debug, Serialize)]
struct CompareRequest {
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
    Put(PutRequest),
    #[serde(rename = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "requestDeleteRange")]
    Delete(DeleteRequest),
    #[serde(rename = "requestTxn")]
    Txn(TxnRequest),
}

#[derive(Debug, Serialize)]
struct PutRequest {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

#[derive(Debug, Serialize)]
struct DeleteRequest {
    key: String,
}

impl From<&Txn> for TxnRequest {
    fn from(txn: &Txn) -> Self {
        Self {
            compare: txn.compares.iter().map(CompareRequest::from).collect(),
            success: txn.success.iter().map(RequestOp::from).collect(),
            failure: txn.failure.iter().map(RequestOp::from).collect(),
        }
    }
}

impl From<&Compare> for CompareRequest {
    fn from(compare: &Compare) -> Self {
        match compare {
            Compare::Absent(key) => Self::create_revision_equals(key, 0),
            Compare::CreateRevision(key, revision) => Self::create_revision_equals(key, *revision),
            Compare::ModRevision(key, revision) => Self {
                key: encode_key(key),
                target: "MOD",
                result: "EQUAL",
                create_revision: None,
                mod_revision: Some(revision.to_string()),
            },
        }
    }
}

impl CompareRequest {
    fn create_revision_equals(key: &str, revision: Revision) -> Self {
        Self {
            key: encode_key(key),
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
            Op::Put(key, value, lease) => Self::Put(PutRequest {
                key: encode_key(key),
                value: STANDARD.encode(value),
                lease: lease.map(|lease| lease.to_string()),
            }),
            Op::Delete(key) => Self::Delete(DeleteRequest {
                key: encode_key(key),
            }),
            Op::Get(key) => Self::Range(RangeRequest::single_key(key)),
            Op::Txn(nested) => Self::Txn(TxnRequest::from(nested)),
        }
    }
}

/// Body of `/v3/lease/grant`.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    ttl: String,
    #[serde(rename = "ID")]
    id: String,
}

impl LeaseGrantRequest {
    /// Requests a lease. The time to live is rounded up to whole seconds, at least one.
    pub(crate) fn new(ttl: Duration) -> Self {
        let ttl_s = ttl.as_millis().div_ceil(1000).max(1);
        Self {
            ttl: ttl_s.to_string(),
            id: "0".to_owned(),
        }
    }
}

/// Body of `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    id: String,
}

impl LeaseRequest {
    /// Refers to the lease with this id.
    pub(crate) fn new(lease: LeaseId) -> Self {
        Self {
            id: lease.to_string(),
        }
    }
}

/// Body of `/v3/watch`.
#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    create_request: WatchCreateRequest,
}

#[derive(Debug, Serialize)]
struct WatchCreateRequest {
    key: String,
    range_end: String,
    start_revision: String,
    progress_notify: bool,
}

impl WatchRequest {
    /// Watches every key that starts with `prefix`, from revision `from` on, with progress
    /// notifications.
    pub(crate) fn prefix(prefix: &str, from: Revision) -> Self {
        let (key, range_end) = prefix_bounds(prefix);
        Self {
            create_request: WatchCreateRequest {
                key,
                range_end,
                start_revision: from.to_string(),
                progress_notify: true,
            },
        }
    }
}

/// Bounds of the keys that start with `prefix`, in Base64: the first key, and the end (exclusive).
/// etcd reads an end of one zero byte as no upper bound.
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

fn encode_key(key: &str) -> String {
    STANDARD.encode(key)
}
