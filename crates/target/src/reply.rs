//! An HTTP answer whose body is still arriving.

use {
    crate::{
        BodyPart, Client, EndEvidence, IncarnationProbe, SendError, WholeBody, WitnessAhead,
        body_framing::{is_chunked, keep_alive_timeout},
        carried_ids::CarriedOnce,
        client::Connection,
        connection_errors::is_disconnect,
        unframed_body::UnframedBody,
        witness::Unconfirmed,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{
        Response, StatusCode,
        body::{Body, Incoming},
        header::HeaderMap,
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
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
    /// The end of a body that has neither a length nor chunks.
    unframed: Option<Box<UnframedBody>>,
    body_state: BodyState,
    is_reusable: bool,
    connection_age: Duration,
    connection_opened_at: Instant,
    earlier_requests_count: u32,
    /// Shows that the connection carried the request once; `None` if the request has no id.
    carried: Option<CarriedOnce>,
}

/// How far a body was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyState {
    /// More may follow.
    Open,
    /// Its connection has ended, and with it the body. Whether it is complete is not known yet.
    Ended,
    /// It is complete.
    Complete(WholeBody),
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
        carried: Option<CarriedOnce>,
        sent: Instant,
        response: Response<Incoming>,
    ) -> Self {
        let has_length = response.body().size_hint().exact().is_some();
        let ends_with_connection = !has_length && !is_chunked(response.headers());
        Self {
            client,
            address,
            connection_age: connection.age(),
            connection_opened_at: connection.opened(),
            earlier_requests_count: connection.earlier_requests_count(),
            carried,
            connection: Some(connection),
            response,
            unframed: ends_with_connection.then(|| Box::new(UnframedBody::new(sent))),
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

    /// When the connection was opened.
    #[must_use]
    pub fn connection_opened_at(&self) -> Instant {
        self.connection_opened_at
    }

    /// Number of requests that the connection carried before this one.
    #[must_use]
    pub fn earlier_requests_count(&self) -> u32 {
        self.earlier_requests_count
    }

    /// Id of the request, which its connection carried once; `None` if it has none.
    pub(crate) fn carried_id(&self) -> Option<&str> {
        self.carried.as_ref().map(CarriedOnce::id)
    }

    /// Whether the connection carried no other request, so that an answer that names none belongs to this
    /// one.
    pub(crate) fn is_first_of_connection(&self) -> bool {
        self.earlier_requests_count == 0
    }

    /// Has the connection closed at the end of the body.
    pub fn forbid_reuse(&mut self) {
        self.is_reusable = false;
    }

    /// Prepares for the end of a body that has neither a length nor chunks. `probe` asks the target
    /// whether the process that answers still runs; without it, such a body is never complete. `ahead` says
    /// what was done for that before the request was sent. The target is asked after `cut_spread`, in which whatever
    /// cuts the path ends all connections, one after another.
    pub fn expect_incarnation(
        &mut self,
        probe: IncarnationProbe,
        ahead: WitnessAhead,
        cut_spread: Duration,
    ) {
        if let Some(unframed) = &mut self.unframed {
            let slot = self.client.witnesses().at(self.address, &self.client);
            unframed.expect_incarnation(slot, probe, ahead, cut_spread);
        }
    }

    /// Reads the next part of the body.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated or nothing arrives within `read_timeout`.
    async fn part(&mut self, read_timeout: Duration) -> Result<BodyPart, SendError> {
        let read = timeout(read_timeout, self.next_part()).await;
        read.unwrap_or_else(|_| Err(self.silent(read_timeout)))
    }

    /// Waits for the next part of the body, however long it takes. Dropping the future loses nothing:
    /// the next call goes on where it was.
    ///
    /// If the end of the connection ends the body, its end also takes the target's word that the process
    /// which began it still runs ([`Reply::expect_incarnation`]): the connections of one that is killed end
    /// in the same way.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated, nothing shows that it is complete, or the
    /// connection was closed here.
    pub async fn next_part(&mut self) -> Result<BodyPart, SendError> {
        if let Some(data) = self.next_data().await? {
            return Ok(BodyPart::Data(data));
        }
        if self.body_state == BodyState::Ended {
            self.body_state = match self.confirm_end().await {
                Ok(whole) => BodyState::Complete(whole),
                Err(unconfirmed) => {
                    self.body_state = BodyState::Failed;
                    let status = self.status().as_u16();
                    log::info!(
                        "the answer of {} with status {status} is incomplete: {unconfirmed}",
                        self.address
                    );
                    return Err(self.unknown(unconfirmed.to_string(), true));
                }
            };
        }
        match self.body_state {
            BodyState::Complete(whole) => {
                self.release_connection();
                Ok(BodyPart::End(whole))
            }
            _ => Err(self.unknown("its body is incomplete".to_owned(), true)),
        }
    }

    /// Waits for the next data of the body; `None` at its end, whether or not it is complete.
    async fn next_data(&mut self) -> Result<Option<Bytes>, SendError> {
        while self.body_state == BodyState::Open {
            if let Some(unframed) = &mut self.unframed {
                unframed.record_wait();
            }
            match self.response.body_mut().frame().await {
                None => {
                    self.body_state = match &mut self.unframed {
                        Some(unframed) => {
                            unframed.record_end();
                            BodyState::Ended
                        }
                        None => BodyState::Complete(WholeBody::new(EndEvidence::Framing)),
                    };
                }
                Some(Err(error)) => {
                    self.body_state = BodyState::Failed;
                    return Err(self.unknown(error.to_string(), is_disconnect(&error)));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        if let Some(unframed) = &mut self.unframed {
                            unframed.record_data();
                        }
                        return Ok(Some(data));
                    }
                }
            }
        }
        Ok(None)
    }

    /// Has the target show that a body is complete that ended with its connection.
    async fn confirm_end(&mut self) -> Result<WholeBody, Unconfirmed> {
        let connection = self.connection.as_ref();
        if connection.is_some_and(Connection::has_ended_unwritten) {
            return Err(Unconfirmed::Unwritten);
        }
        let unframed = self.unframed.as_mut().ok_or(Unconfirmed::NoProbe)?;
        Ok(WholeBody::new(unframed.confirm().await?))
    }

    /// Whether the body has ended with its connection, and the target has not yet shown that it is complete.
    #[must_use]
    pub fn is_unconfirmed(&self) -> bool {
        self.body_state == BodyState::Ended
    }

    /// Reads and drops a body of at most `max_bytes`, so that its connection can be reused.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated by its framing, larger, or has not ended within
    /// `body_timeout`.
    pub async fn discard_body(
        &mut self,
        max_bytes: usize,
        body_timeout: Duration,
    ) -> Result<(), SendError> {
        self.delimited_within(max_bytes, body_timeout)
            .await
            .map(drop)
    }

    /// Closes the connection, so that the target stops the request; reading the body fails from now
    /// on.
    pub fn close(&mut self) {
        self.connection = None;
        if !matches!(self.body_state, BodyState::Complete(_)) {
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
        let address = self.address;
        let read = self.body_with(body_timeout, |length| {
            check_length(address, length, MAX_ANSWER_BYTES)
        });
        read.await.map(|(body, _)| body)
    }

    /// Reads the whole body, and calls `check` with its length so far before each part is kept. Returns it
    /// with what shows that it is complete.
    async fn body_with<Check>(
        &mut self,
        body_timeout: Duration,
        check: Check,
    ) -> Result<(Bytes, WholeBody), SendError>
    where
        Check: FnMut(usize) -> Result<(), SendError>,
    {
        let read = timeout(body_timeout, self.read_body(body_timeout, check)).await;
        read.unwrap_or_else(|_| Err(self.not_in_time(body_timeout)))
    }

    async fn read_body<Check>(
        &mut self,
        read_timeout: Duration,
        mut check: Check,
    ) -> Result<(Bytes, WholeBody), SendError>
    where
        Check: FnMut(usize) -> Result<(), SendError>,
    {
        let mut body = BytesMut::new();
        loop {
            match self.part(read_timeout).await? {
                BodyPart::Data(data) => {
                    check(body.len() + data.len())?;
                    body.extend_from_slice(&data);
                }
                BodyPart::End(whole) => return Ok((body.freeze(), whole)),
            }
        }
    }

    /// Reads a body in a format that shows by itself whether it is complete, like JSON. It may also end
    /// with its connection.
    ///
    /// # Errors
    /// [`SendError::Unknown`] if the body is truncated by its framing, larger than 16 MiB or has not ended
    /// within `body_timeout`.
    pub async fn delimited_body(&mut self, body_timeout: Duration) -> Result<Bytes, SendError> {
        self.delimited_within(MAX_ANSWER_BYTES, body_timeout).await
    }

    /// Like [`Reply::delimited_body`], and gives the connection back, in place of the client, if the body left
    /// it open.
    pub(crate) async fn into_delimited(
        mut self,
        body_timeout: Duration,
    ) -> Result<(Bytes, Option<Connection>), SendError> {
        let connection = self.connection.take();
        let body = self.delimited_body(body_timeout).await?;
        let is_open = matches!(self.body_state, BodyState::Complete(_));
        Ok((body, connection.filter(|_| is_open)))
    }

    async fn delimited_within(
        &mut self,
        max_bytes: usize,
        body_timeout: Duration,
    ) -> Result<Bytes, SendError> {
        let read = timeout(body_timeout, self.read_delimited(max_bytes)).await;
        read.unwrap_or_else(|_| Err(self.not_in_time(body_timeout)))
    }

    async fn read_delimited(&mut self, max_bytes: usize) -> Result<Bytes, SendError> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next_data().await? {
            check_length(self.address, body.len() + data.len(), max_bytes)?;
            body.extend_from_slice(&data);
        }
        match self.body_state {
            BodyState::Failed => return Err(self.unknown("it was closed".to_owned(), false)),
            BodyState::Complete(_) => self.release_connection(),
            BodyState::Open | BodyState::Ended => {}
        }
        Ok(body.freeze())
    }

    /// Length of the body as the target stated it; `None` if it did not.
    #[must_use]
    pub fn stated_length(&self) -> Option<usize> {
        let length = self.response.body().size_hint().exact()?;
        usize::try_from(length).ok()
    }

    /// Whether the body has neither a length nor chunks, so that the end of the connection ends it.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.unframed.is_some()
    }

    fn silent(&self, read_timeout: Duration) -> SendError {
        let reason = format!("silent for {} ms", read_timeout.as_millis());
        self.unknown(reason, false)
    }

    fn not_in_time(&self, body_timeout: Duration) -> SendError {
        let reason = format!("no whole body in {} ms", body_timeout.as_millis());
        self.unknown(reason, false)
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

/// Checks that a body of `length` bytes is not too long.
fn check_length(address: SocketAddr, length: usize, max_bytes: usize) -> Result<(), SendError> {
    if length <= max_bytes {
        return Ok(());
    }
    Err(SendError::Unknown {
        address,
        reason: format!("answer exceeds {max_bytes} bytes"),
        disconnected: false,
    })
}
