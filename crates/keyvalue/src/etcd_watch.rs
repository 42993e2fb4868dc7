//! One watch over HTTP.

use {
    crate::{
        Event, KvError,
        etcd_answers::{Streamed, WatchAnswer, malformed},
        http_pool::Connection,
    },
    bytes::BytesMut,
    futures::{Stream, StreamExt, stream},
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// Longest message of a watch, in bytes.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// An open watch; dropping it closes its connection.
#[derive(Debug)]
pub(crate) struct EtcdWatch {
    body: Incoming,
    received: BytesMut,
    _connection: Connection,
}

/// What one message of the watch brought.
type Batch = Result<Vec<Event>, KvError>;

impl EtcdWatch {
    /// Reads a watch from the body of its answer.
    pub(crate) fn new(body: Incoming, connection: Connection) -> Self {
        Self {
            body,
            received: BytesMut::new(),
            _connection: connection,
        }
    }

    async fn next_batch(&mut self) -> Batch {
        loop {
            if let Some(line) = self.take_line() {
                return parse(&line);
            }
            if self.received.len() > MAX_MESSAGE_BYTES {
                return Err(malformed("message of a watch is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.received.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(ended(&error.to_string())),
                None => return Err(ended("watch was closed")),
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.received.iter().position(|byte| *byte == b'\n')?;
        Some(self.received.split_to(end + 1))
    }
}

/// Turns the attempt to open a watch into its stream of events, which ends after an error.
pub(crate) fn events<Opening>(
    opening: Opening,
) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Opening>
where
    Opening: Future<Output = Result<EtcdWatch, KvError>> + Send,
{
    stream::once(opening).flat_map(|opened| match opened {
        Ok(watch) => batches(watch).left_stream(),
        Err(error) => stream::iter([Err(error)]).right_stream(),
    })
}

fn batches(watch: EtcdWatch) -> impl Stream<Item = Result<Event, KvError>> + Send + use<> {
    stream::unfold(Some(watch), |watch| async move {
        let mut watch = watch?;
        let batch = watch.next_batch().await;
        let next = batch.is_ok().then_some(watch);
        Some((batch, next))
    })
    .flat_map(|batch| match batch {
        Ok(events) => stream::iter(events).map(Ok).left_stream(),
        Err(error) => stream::iter([Err(error)]).right_stream(),
    })
}

fn parse(line: &[u8]) -> Batch {
    if line.trim_ascii().is_empty() {
        return Ok(Vec::new());
    }
    let message: Streamed<WatchAnswer> = serde_json::from_slice(line).map_err(malformed)?;
    match (message.result, message.error) {
        (Some(answer), None) => answer.into_events(),
        (_, Some(fault)) => Err(ended(&fault.message)),
        (None, None) => Err(malformed("message of a watch without a result")),
    }
}

fn ended(reason: &str) -> KvError {
    KvError::Unknown {
        reason: reason.to_owned(),
    }
}
