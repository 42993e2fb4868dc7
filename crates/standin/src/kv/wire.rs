//! JSON encoding of etcd's gRPC gateway: byte strings are base64, 64-bit numbers decimal strings.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
    serde_json::Value,
};

/// gRPC status code for a malformed request.
pub(super) const INVALID_ARGUMENT: u32 = 3;
/// gRPC status code for a resource that does not exist.
pub(super) const NOT_FOUND: u32 = 5;

/// Error answer to a call that had no effect.
#[derive(Clone, Debug, Serialize)]
pub(super) struct RpcError {
    /// Error message.
    pub(super) error: String,
    /// gRPC status code.
    pub(super) code: u32,
    /// Same as `error`; etcd sends both.
    pub(super) message: String,
}

impl RpcError {
    pub(super) fn new(code: u32, message: &str) -> Self {
        Self {
            error: message.to_owned(),
            code,
            message: message.to_owned(),
        }
    }
}

/// Decodes a request body; a body of the wrong form is an [`INVALID_ARGUMENT`] error.
pub(super) fn decode<Content>(body: Value) -> Result<Content, RpcError>
where
    Content: serde::de::DeserializeOwned,
{
    serde_json::from_value(body)
        .map_err(|error| RpcError::new(INVALID_ARGUMENT, &error.to_string()))
}

/// An unsigned 64-bit number: written as a decimal string, read from a JSON number or string.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct DecimalU64(pub(super) u64);

impl Serialize for DecimalU64 {
    fn serialize<Out>(&self, serializer: Out) -> Result<Out::Ok, Out::Error>
    where
        Out: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for DecimalU64 {
    fn deserialize<In>(deserializer: In) -> Result<Self, In::Error>
    where
        In: Deserializer<'de>,
    {
        match Value::deserialize(deserializer)? {
            Value::String(text) => text.parse().map(Self).map_err(In::Error::custom),
            Value::Number(number) => number
                .as_u64()
                .map(Self)
                .ok_or_else(|| In::Error::custom("expected an unsigned 64-bit integer")),
            _ => Err(In::Error::custom("expected a number or a decimal string")),
        }
    }
}

/// A byte string, encoded in base64.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct ByteString(pub(super) Vec<u8>);

impl Serialize for ByteString {
    fn serialize<Out>(&self, serializer: Out) -> Result<Out::Ok, Out::Error>
    where
        Out: Serializer,
    {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for ByteString {
    fn deserialize<In>(deserializer: In) -> Result<Self, In::Error>
    where
        In: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD
            .decode(text)
            .map(Self)
            .map_err(In::Error::custom)
    }
}

/// Header of every response.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Header {
    /// Revision of the store at the time of the response.
    pub(super) revision: DecimalU64,
}

/// One key with its value.
#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValue {
    pub(super) key: ByteString,
    pub(super) create_revision: DecimalU64,
    pub(super) mod_revision: DecimalU64,
    pub(super) version: DecimalU64,
    pub(super) value: ByteString,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) lease: DecimalU64,
}

// `skip_serializing_if` passes a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &DecimalU64) -> bool {
    number.0 == 0
}

/// Keys from `key` (inclusive) to `range_end` (exclusive). An empty end selects only `key`; an end
/// of one zero byte selects all keys from `key` on.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyRange {
    pub(super) key: ByteString,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: ByteString,
}

impl KeyRange {
    /// Whether the range covers `key`.
    pub(super) fn covers(&self, key: &ByteString) -> bool {
        if self.range_end.0.is_empty() {
            return *key == self.key;
        }
        let is_open_ended = self.range_end.0 == [0];
        *key >= self.key && (is_open_ended || *key < self.range_end)
    }
}

/// Request to write one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Put {
    pub(super) key: ByteString,
    pub(super) value: ByteString,
    pub(super) lease: DecimalU64,
}

/// Condition on one key in a transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub(super) key: ByteString,
    pub(super) target: String,
    pub(super) result: String,
    #[serde(alias = "createRevision")]
    pub(super) create_revision: DecimalU64,
    #[serde(alias = "modRevision")]
    pub(super) mod_revision: DecimalU64,
    pub(super) version: DecimalU64,
    pub(super) value: ByteString,
}

/// One operation of a transaction.
#[derive(Clone, Debug, Deserialize)]
pub(super) enum Op {
    #[serde(rename = "requestPut", alias = "request_put")]
    Put(Put),
    #[serde(rename = "requestRange", alias = "request_range")]
    Range(KeyRange),
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
    Delete(KeyRange),
    #[serde(rename = "requestTxn", alias = "request_txn")]
    Txn(Txn),
}

/// A transaction: runs `success` if every condition in `compare` holds, otherwise `failure`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Txn {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Op>,
    pub(super) failure: Vec<Op>,
}

/// Body of the request that opens a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreateRequest,
}

/// Key range and start of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreateRequest {
    #[serde(flatten)]
    pub(super) span: KeyRange,
    #[serde(alias = "startRevision")]
    pub(super) start_revision: DecimalU64,
    #[serde(alias = "progressNotify")]
    pub(super) progress_notify: bool,
}

/// Body of the requests to grant, renew and revoke a lease.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: DecimalU64,
    #[serde(rename = "TTL")]
    pub(super) ttl: DecimalU64,
}
