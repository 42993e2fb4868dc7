//! JSON forms of etcd's gRPC gateway: byte strings in base64, 64-bit numbers as decimal strings.

use {
    base64::{Engine, prelude::BASE64_STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
    serde_json::Value,
};

/// gRPC status of a bad argument.
pub(super) const INVALID_ARGUMENT: u32 = 3;
/// gRPC status of something that does not exist.
pub(super) const NOT_FOUND: u32 = 5;

/// A call that was refused and had no effect.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Refused {
    /// Words of the service.
    pub(super) error: String,
    /// gRPC status.
    pub(super) code: u32,
    /// Same as `error`; etcd sends both.
    pub(super) message: String,
}

impl Refused {
    pub(super) fn new(code: u32, message: &str) -> Self {
        Self {
            error: message.to_owned(),
            code,
            message: message.to_owned(),
        }
    }
}

/// Decodes a request body.
pub(super) fn decode<Content>(body: Value) -> Result<Content, Refused>
where
    Content: serde::de::DeserializeOwned,
{
    serde_json::from_value(body).map_err(|error| Refused::new(INVALID_ARGUMENT, &error.to_string()))
}

/// A 64-bit number, written as a decimal string and read from either form.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Number(pub(super) u64);

impl Serialize for Number {
    fn serialize<Out>(&self, serializer: Out) -> Result<Out::Ok, Out::Error>
    where
        Out: Serializer,
    {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<In>(deserializer: In) -> Result<Self, In::Error>
    where
        In: Deserializer<'de>,
    {
        match Value::deserialize(deserializer)? {
            Value::String(text) => text.parse().map(Self).map_err(In::Error::custom),
            Value::Number(number) => number
                .as_u64()
                .map(Self)
                .ok_or_else(|| In::Error::custom("not a whole number of 64 bits")),
            _ => Err(In::Error::custom("expected a number or a decimal string")),
        }
    }
}

/// A byte string, in base64.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Text(pub(super) Vec<u8>);

impl Serialize for Text {
    fn serialize<Out>(&self, serializer: Out) -> Result<Out::Ok, Out::Error>
    where
        Out: Serializer,
    {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Text {
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

/// Header of every answer.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Header {
    /// Revision of the service when it answered.
    pub(super) revision: Number,
}

/// One key with its value.
#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValue {
    pub(super) key: Text,
    pub(super) create_revision: Number,
    pub(super) mod_revision: Number,
    pub(super) version: Number,
    pub(super) value: Text,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) lease: Number,
}

// The signature is the one that `skip_serializing_if` calls.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &Number) -> bool {
    number.0 == 0
}

/// Keys from `key` to `range_end`; a missing end means the one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Span {
    pub(super) key: Text,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Text,
}

impl Span {
    /// Whether the span covers `key`.
    pub(super) fn covers(&self, key: &Text) -> bool {
        if self.range_end.0.is_empty() {
            return *key == self.key;
        }
        let to_the_end = self.range_end.0 == [0];
        *key >= self.key && (to_the_end || *key < self.range_end)
    }
}

/// Writes one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Put {
    pub(super) key: Text,
    pub(super) value: Text,
    pub(super) lease: Number,
}

/// Condition on one key.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub(super) key: Text,
    pub(super) target: String,
    pub(super) result: String,
    #[serde(alias = "createRevision")]
    pub(super) create_revision: Number,
    #[serde(alias = "modRevision")]
    pub(super) mod_revision: Number,
    pub(super) version: Number,
    pub(super) value: Text,
}

/// One step of a transaction.
#[derive(Clone, Debug, Deserialize)]
pub(super) enum Op {
    #[serde(rename = "requestPut", alias = "request_put")]
    Put(Put),
    #[serde(rename = "requestRange", alias = "request_range")]
    Range(Span),
    #[serde(rename = "requestDeleteRange", alias = "request_delete_range")]
    Delete(Span),
    #[serde(rename = "requestTxn", alias = "request_txn")]
    Txn(Txn),
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Txn {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Op>,
    pub(super) failure: Vec<Op>,
}

/// Body that opens a watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Watch {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreate,
}

/// What to watch.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    #[serde(flatten)]
    pub(super) span: Span,
    #[serde(alias = "startRevision")]
    pub(super) start_revision: Number,
    #[serde(alias = "progressNotify")]
    pub(super) progress_notify: bool,
}

/// Body of the calls about leases.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseCall {
    #[serde(rename = "ID")]
    pub(super) id: Number,
    #[serde(rename = "TTL")]
    pub(super) ttl: Number,
}
