//! Response bodies of etcd's JSON API.

use {
    crate::{Event, KvError, KvPair, LeaseId, Range, TxnOutcome},
    base64::{Engine as _, engine::general_purpose::STANDARD},
    bytes::Bytes,
    catalog::Revision,
    serde::{Deserialize, Deserializer, de::Error as _, de::IgnoredAny},
    std::time::Duration,
};

#[derive(Debug, Default, Deserialize)]
struct ResponseHeader {
    #[serde(default, deserialize_with = "deserialize_number")]
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct KeyValuePair {
    #[serde(default)]
    key: String,
    #[serde(default)]
    value: String,
    #[serde(
        default,
        alias = "createRevision",
        deserialize_with = "deserialize_number"
    )]
    create_revision: Revision,
    #[serde(
        default,
        alias = "modRevision",
        deserialize_with = "deserialize_number"
    )]
    mod_revision: Revision,
}

/// Response to `/v3/kv/range`, and to a read inside a transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct RangeResponse {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    kvs: Vec<KeyValuePair>,
}

/// Response to `/v3/kv/txn`, and to a nested transaction.
#[derive(Debug, Deserialize)]
pub(crate) struct TxnResponse {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<ResponseOp>,
}

#[derive(Debug, Deserialize)]
enum ResponseOp {
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeResponse),
    #[serde(rename = "response_txn", alias = "responseTxn")]
    Txn(TxnResponse),
    #[serde(
        rename = "response_put",
        alias = "responsePut",
        alias = "response_delete_range",
        alias = "responseDeleteRange"
    )]
    Written(IgnoredAny),
}

/// Response to the grant or renewal of a lease.
#[derive(Debug, Deserialize)]
pub(crate) struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "ID", default, deserialize_with = "deserialize_number")]
    pub(crate) id: LeaseId,
    /// Time to live in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL", default, deserialize_with = "deserialize_number")]
    ttl_s: u64,
}

impl LeaseResponse {
    /// Time to live; zero if the lease has expired.
    pub(crate) fn ttl(&self) -> Duration {
        Duration::from_secs(self.ttl_s)
    }
}

/// One message of a streaming response.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamMessage<Message> {
    /// Content of the message; `None` if it is an error.
    pub(crate) result: Option<Message>,
    /// Error that ends the stream.
    #[serde(default)]
    pub(crate) error: Option<ErrorBody>,
}

/// An error as the service reports it.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct ErrorBody {
    /// Description for people.
    #[serde(default)]
    pub(crate) message: String,
}

/// One message of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct WatchResponse {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(
        default,
        alias = "compactRevision",
        deserialize_with = "deserialize_number"
    )]
    compact_revision: Revision,
    #[serde(default, alias = "cancelReason")]
    cancel_reason: String,
    #[serde(default)]
    fragment: bool,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Debug, Deserialize)]
struct WatchEvent {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: KeyValuePair,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl TryFrom<RangeResponse> for Range {
    type Error = KvError;

    fn try_from(raw: RangeResponse) -> Result<Self, KvError> {
        let pairs = raw.kvs.iter().map(decode_pair);
        let pairs = pairs.filter_map(Result::transpose);
        Ok(Self {
            pairs: pairs.collect::<Result<_, _>>()?,
            revision: raw.header.revision,
        })
    }
}

impl TryFrom<TxnResponse> for TxnOutcome {
    type Error = KvError;

    fn try_from(raw: TxnResponse) -> Result<Self, KvError> {
        let revision = raw.header.revision;
        outcome(raw, revision)
    }
}

/// Converts a transaction's response. Nested responses carry no revision of their own, so they get
/// the outer one.
fn outcome(raw: TxnResponse, revision: Revision) -> Result<TxnOutcome, KvError> {
    let mut outcome = TxnOutcome {
        succeeded: raw.succeeded,
        revision,
        ..TxnOutcome::default()
    };
    for response in raw.responses {
        match response {
            ResponseOp::Range(range) => outcome.pairs.extend(Range::try_from(range)?.pairs),
            ResponseOp::Txn(nested) => outcome.nested.push(self::outcome(nested, revision)?),
            ResponseOp::Written(_) => {}
        }
    }
    Ok(outcome)
}

impl WatchResponse {
    /// Converts the message to its changes, followed by a progress event if they are complete up to
    /// a revision.
    pub(crate) fn into_events(self) -> Result<Vec<Event>, KvError> {
        if self.canceled {
            return Err(self.cancellation_error());
        }
        let mut events = Vec::with_capacity(self.events.len() + 1);
        let mut last_revision = self.header.revision;
        let carries_events = !self.events.is_empty();
        for event in self.events {
            last_revision = event.kv.mod_revision;
            events.extend(decode_event(&event)?);
        }
        let is_complete = !self.fragment && (carries_events || !self.created);
        if is_complete {
            events.push(Event::Progress(last_revision));
        }
        Ok(events)
    }

    fn cancellation_error(&self) -> KvError {
        if self.compact_revision > 0 {
            return KvError::Compacted {
                revision: self.compact_revision,
            };
        }
        KvError::Unknown {
            reason: format!("watch was cancelled: {}", self.cancel_reason),
        }
    }
}

/// Converts an event; `None` if its key is no text.
fn decode_event(raw: &WatchEvent) -> Result<Option<Event>, KvError> {
    let pair = decode_pair(&raw.kv)?;
    Ok(pair.map(|pair| match raw.kind {
        EventKind::Put => Event::Put(pair),
        EventKind::Delete => Event::Delete(pair.key, pair.mod_revision),
    }))
}

/// Converts a pair; `None` if its key is no text. Other writers may use any bytes, keys of instances and
/// operators are text.
fn decode_pair(raw: &KeyValuePair) -> Result<Option<KvPair>, KvError> {
    let key = match String::from_utf8(decode_base64(&raw.key)?) {
        Ok(key) => key,
        Err(error) => {
            log::warn!("ignoring a key of the key-value service: {error}");
            return Ok(None);
        }
    };
    Ok(Some(KvPair {
        key,
        value: Bytes::from(decode_base64(&raw.value)?),
        create_revision: raw.create_revision,
        mod_revision: raw.mod_revision,
    }))
}

/// Error for a response that can't be parsed. The call may have taken effect, so the error is
/// [`KvError::Unknown`].
pub(crate) fn malformed<Reason>(reason: Reason) -> KvError
where
    Reason: std::fmt::Display,
{
    KvError::Unknown {
        reason: format!("malformed answer: {reason}"),
    }
}

fn decode_base64(text: &str) -> Result<Vec<u8>, KvError> {
    STANDARD.decode(text).map_err(malformed)
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawNumber {
    Text(String),
    Plain(i64),
}

/// Deserializes a 64-bit number from a decimal string or from a JSON number.
fn deserialize_number<'de, Input, Number>(input: Input) -> Result<Number, Input::Error>
where
    Input: Deserializer<'de>,
    Number: TryFrom<i64>,
{
    let raw = match RawNumber::deserialize(input)? {
        RawNumber::Text(text) => text.parse().map_err(Input::Error::custom)?,
        RawNumber::Plain(plain) => plain,
    };
    let out_of_range = |_| Input::Error::custom(format!("number {raw} is out of range"));
    Number::try_from(raw).map_err(out_of_range)
}
