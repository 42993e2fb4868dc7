//! An HTTP answer whose body is still arriving.

use {
    crate::{
        AnswersRequest, Client, SendError,
        client::{Connection, is_disconnect},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{
        Response, StatusCode,
        body::{Body, Incoming},
        header::{self, HeaderMap},
    },
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Largest body that is read as a whole.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// An HTTP answer whose body is still arriving. Once the body has ended, the connection is kept for
/// reuse. Dropping the reply earlier closes it.
pub struct Reply {
    client: Client,
    address: SocketAddr,
    connection: Option<Connection>,
    response: Response<Incoming>,
    /// Whether the body has neither a length nor chunks.
    ends_with_connection: bool,
    body_state: BodyState,
    is_reusable: bool,
    connection_age: Duration,
    earlier_requests_count: u32,
}

/// How far a body was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyState {
    /// More may follow.
    Open,
    /// Its connection has ended, and with it the body. Whether it is complete is not known yet.
    Ended,
    /// It was read to its end.
    Complete,
    /// It broke off, or its connection was closed here.
    Failed,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Reply")
            .field("address", &self.address)
            .field("status", &self.response.status())
            .finish_non_exhaustive()
    }
}

impl Reply {
    pub(crate) fn new(
        client: Client,
        address: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Self {
        let has_length = response.body().size_hint().exact().is_some();
        let ends_with_connection = !has_length && !is_chunked(response.headers());
        Self {
            client,
            address,
            connection_age: connection.age(),
            earlier_requests_count: connection.earlier_requests_count(),
            connection: Some(connection),
            response,
            ends_with_connection,
            body_state: BodyState::Open,
            is_reusable: true,
        }
    }

    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Headers of the answer.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Address of the target.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Age of the connection when the head of the answer had arrived.
    #[must_use]
    pub fn connection_age(&self) -> Duration {
        self.connection_age
    }

    /// Number of requests that the connection carried before this one.
    #[must_use]
    pub fn earlier_requests_count(&self) -> u32 {
        self.earlier_requests_count
    }

    /// Has the connection closed at the end of the body.
    pub(crate) fn forbid_reuse(&mut self) {
        self.is_reusable = false;
    }

    /// Reads the next part of the body; `None` at its end.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated or nothing arrives within `read_timeout`.
    pub async fn chunk(&mut self, read_timeout: Duration) -> Result<Option<Bytes>, SendError> {
        let read = timeout(read_timeout, self.next_chunk()).await;
        read.unwrap_or_else(|_| {
            let reason = format!("silent for {} ms", read_timeout.as_millis());
            Err(self.unknown(reason, false))
        })
    }

    /// Waits for the next part of the body, however long it takes; `None` at its end. Dropping the
    /// future loses nothing: the next call goes on where it was.
    ///
    /// If the end of the connection ends the body, the body is complete only if the target accepts
    /// another connection: those of a process that is killed end in the same way.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated or the connection was closed here.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        while self.body_state == BodyState::Open {
            match self.response.body_mut().frame().await {
                None if self.ends_with_connection => self.body_state = BodyState::Ended,
                None => self.body_state = BodyState::Complete,
                Some(Err(error)) => {
                    self.body_state = BodyState::Failed;
                    return Err(self.unknown(error.to_string(), is_disconnect(&error)));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
        if self.body_state == BodyState::Ended {
            let is_complete = self.client.still_accepts(self.address).await;
            self.body_state = if is_complete {
                BodyState::Complete
            } else {
                BodyState::Failed
            };
        }
        if self.body_state == BodyState::Failed {
            return Err(self.unknown("its body is incomplete".to_owned(), true));
        }
        self.release_connection();
        Ok(None)
    }

    /// Closes the connection, so that the target stops the request; reading the body fails from now
    /// on.
    pub fn close(&mut self) {
        self.connection = None;
        if self.body_state != BodyState::Complete {
            self.body_state = BodyState::Failed;
        }
    }

    /// Whether the connection was closed or, after the end of the body, given back for reuse.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.is_none()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated, larger than 16 MiB or not complete within
    /// `body_timeout`.
    pub async fn body(&mut self, body_timeout: Duration) -> Result<Bytes, SendError> {
        self.limited_body(MAX_ANSWER_BYTES, body_timeout).await
    }

    /// Reads the whole body if it has at most `max_bytes`.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated, larger, or not complete within
    /// `body_timeout`.
    pub async fn limited_body(
        &mut self,
        max_bytes: usize,
        body_timeout: Duration,
    ) -> Result<Bytes, SendError> {
        let address = self.address;
        let check = |length| {
            if length <= max_bytes {
                return Ok(());
            }
            Err(SendError::Unknown {
                address,
                reason: format!("answer exceeds {max_bytes} bytes"),
                disconnected: false,
            })
        };
        self.body_with(body_timeout, check).await
    }

    /// Reads the whole body, and calls `check` with its length so far before each part is kept.
    ///
    /// # Errors
    /// What `check` returns; [`SendError::Unknown`] if the body is truncated or not complete within
    /// `body_timeout`.
    pub async fn body_with<Check>(
        &mut self,
        body_timeout: Duration,
        check: Check,
    ) -> Result<Bytes, SendError>
    where
        Check: FnMut(usize) -> Result<(), SendError>,
    {
        let read = timeout(body_timeout, self.read_body(body_timeout, check)).await;
        read.unwrap_or_else(|_| {
            let reason = format!("no whole body in {} ms", body_timeout.as_millis());
            Err(self.unknown(reason, false))
        })
    }

    async fn read_body<Check>(
        &mut self,
        read_timeout: Duration,
        mut check: Check,
    ) -> Result<Bytes, SendError>
    where
        Check: FnMut(usize) -> Result<(), SendError>,
    {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk(read_timeout).await? {
            check(body.len() + chunk.len())?;
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Reads the whole body of a successful answer as JSON.
    ///
    /// # Errors
    /// As [`Self::body`]; [`SendError::Refused`] or [`SendError::Failed`] for other statuses, and
    /// [`SendError::Failed`] for invalid JSON.
    pub async fn json<Value>(mut self, body_timeout: Duration) -> Result<Value, SendError>
    where
        Value: DeserializeOwned,
    {
        if !self.status().is_success() {
            return Err(self.into_error(body_timeout, None).await);
        }
        let body = self.body(body_timeout).await?;
        serde_json::from_slice(&body).map_err(|error| SendError::Failed {
            address: self.address,
            status: self.status().as_u16(),
            reason: format!("unreadable answer: {error}"),
        })
    }

    /// Reads an unsuccessful answer as an error: [`SendError::Refused`] if it states that the
    /// request did not run, otherwise [`SendError::Failed`].
    ///
    /// Without evidence that the answer belongs to this request, its statement counts only on a
    /// connection that carried no other one.
    pub async fn into_error(
        mut self,
        body_timeout: Duration,
        evidence: Option<AnswersRequest>,
    ) -> SendError {
        let is_attributed = evidence.is_some() || self.earlier_requests_count == 0;
        let status = self.status();
        let body = match self.body(body_timeout).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        let parsed: Option<ErrorResponse> = serde_json::from_slice(&body).ok();
        let is_not_run = self
            .headers()
            .get("x-outcome")
            .is_some_and(|outcome| outcome == "not_run");
        let kind = parsed
            .as_ref()
            .map_or("", |parsed| parsed.error.kind.as_str());
        let is_refused = is_not_run
            || matches!(
                kind,
                "version_mismatch" | "leaving" | "full" | "stale_fencing"
            );
        if is_refused && is_attributed {
            return SendError::Refused {
                address: self.address,
                reason: if kind.is_empty() { "not_run" } else { kind }.to_owned(),
                retry_after: parsed
                    .and_then(|parsed| parsed.error.retry_after_ms.map(Duration::from_millis)),
            };
        }
        SendError::Failed {
            address: self.address,
            status: status.as_u16(),
            reason: String::from_utf8_lossy(&body).chars().take(200).collect(),
        }
    }

    /// Whether the body has neither a length nor chunks, so that the end of the connection ends it.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    fn unknown(&self, reason: String, disconnected: bool) -> SendError {
        SendError::Unknown {
            address: self.address,
            reason,
            disconnected,
        }
    }

    /// Returns the connection to the client for reuse, unless that is forbidden.
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take()
            && self.is_reusable
        {
            let keep_alive = keep_alive_timeout(self.response.headers());
            self.client.put_idle(self.address, connection, keep_alive);
        }
    }
}

/// Whether chunks mark the end of the body. With any other last coding, the end of the connection does.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let last = codings.and_then(|it| it.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// How long the target keeps an idle connection, if its `keep-alive` header says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',');
    let seconds = parameters.find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}

#[derive(serde::Deserialize)]
struct ErrorResponse {
    error: ErrorBody,
}

#[derive(serde::Deserialize)]
struct ErrorBody {
    #[serde(rename = "type")]
    kind: String,
    retry_after_ms: Option<u64>,
}
