//! The stream of events of one watch over HTTP.

use {
    crate::{
        Event, KvError,
        etcd_responses::{StreamMessage, WatchResponse, malformed},
        http_pool::Connection,
    },
    bytes::BytesMut,
    futures::{Stream, StreamExt, stream},
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// Largest message of a watch.
const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// An open watch; dropping it closes its connection.
#[derive(Debug)]
pub(crate) struct EtcdWatch {
    body: Incoming,
    buffer: BytesMut,
    _connection: Connection,
}

/// Events of one message of the watch.
type Batch = Result<Vec<Event>, KvError>;

impl EtcdWatch {
    /// Reads a watch from the body of its response. `connection` is kept open along with it.
    pub(crate) fn new(body: Incoming, connection: Connection) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            _connection: connection,
        }
    }

    /// Waits for the next message, one JSON value per line, and returns its events.
    async fn next_batch(&mut self) -> Batch {
        loop {
            if let Some(line) = self.take_line() {
                return parse_message(&line);
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(malformed("message of a watch is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(watch_error(&error.to_string())),
                None => return Err(watch_error("watch was closed")),
            }
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        Some(self.buffer.split_to(end + 1))
    }
}

/// Opens a watch when first polled and streams its events. The stream ends after an error.
pub(crate) fn watch_events<Open>(
    open: Open,
) -> impl Stream<Item = Result<Event, KvError>> + Send + use<Open>
where
    Open: Future<Output = Result<EtcdWatch, KvError>> + Send,
{
    stream::once(open).flat_map(|opened| match opened {
        Ok(watch) => message_events(watch).left_stream(),
        Err(error) => stream::iter([Err(error)]).right_stream(),
    })
}

fn message_events(watch: EtcdWatch) -> impl Stream<Item = Result<Event, KvError>> + Send + use<> {
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

fn parse_message(line: &[u8]) -> Batch {
    if line.trim_ascii().is_empty() {
        return Ok(Vec::new());
    }
    let message: StreamMessage<WatchResponse> = serde_json::from_slice(line).map_err(malformed)?;
    match (message.result, message.error) {
        (Some(response), None) => response.into_events(),
        (_, Some(error)) => Err(watch_error(&error.message)),
        (None, None) => Err(malformed("message of a watch without a result")),
    }
}

fn watch_error(reason: &str) -> KvError {
    KvError::Unknown {
        reason: reason.to_owned(),
    }
}
