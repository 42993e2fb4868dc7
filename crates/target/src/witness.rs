//! Whether the process that began an answer still runs when the connection of the answer has ended.

use {
    crate::{
        Client, IncarnationProbe, SendError,
        client::{Connection, Exchange, closed_unwritten},
    },
    snafu::Snafu,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
    tokio_util::task::AbortOnDropHandle,
};

/// Time within which a target must show that the process that began an answer still runs. Shorter than
/// callers wait for the next event of a stream.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Why nothing shows that a body is complete that ended with its connection.
#[derive(Clone, Debug, Snafu)]
pub(crate) enum Unconfirmed {
    /// Nobody can be asked.
    #[snafu(display(
        "it ended with its connection, and nothing can show that it is complete; have the target send a length or chunks"
    ))]
    NoProbe,
    /// No process answers at the address.
    #[snafu(display(
        "it ended with its connection, and its process does not answer any more ({reason})"
    ))]
    Gone { reason: String },
    /// Another process answers at the address.
    #[snafu(display("it ended with its connection, and another process answers there now"))]
    Replaced,
    /// Nothing answers in time.
    #[snafu(display(
        "it ended with its connection, and its process did not answer within {} ms",
        CONFIRM_TIMEOUT.as_millis()
    ))]
    Silent,
}

/// Shows whether the process that answers a request still runs.
pub(crate) struct Witness {
    client: Client,
    address: SocketAddr,
    probe: IncarnationProbe,
    /// Connection to the same process, opened while the answer arrives.
    connecting: Option<AbortOnDropHandle<Option<Connection>>>,
}

impl Witness {
    /// Begins to open a connection to the process at `address`, which is answering a request.
    pub(crate) fn new(client: Client, address: SocketAddr, probe: IncarnationProbe) -> Self {
        let opener = client.clone();
        let connecting = tokio::spawn(async move { opener.idle_or_new(address).await.ok() });
        Self {
            client,
            address,
            probe,
            connecting: Some(AbortOnDropHandle::new(connecting)),
        }
    }

    /// Has the process show that it still runs, after its answer ended with its connection at `ended`.
    pub(crate) async fn confirm(&mut self, ended: Instant) -> Result<(), Unconfirmed> {
        let deadline = ended + CONFIRM_TIMEOUT;
        let confirmed = timeout_at(deadline.into(), self.ask(ended)).await;
        confirmed.unwrap_or(Err(Unconfirmed::Silent))
    }

    /// Asks on the connection that was opened while the answer arrived, and on others if it has ended.
    async fn ask(&mut self, ended: Instant) -> Result<(), Unconfirmed> {
        while let Some(connection) = self.older_connection().await {
            if let Ok(stated) = self.ask_on(connection, ended).await {
                return stated;
            }
        }
        let connection = self
            .client
            .connect(self.address)
            .await
            .map_err(|error| gone(&error))?;
        self.ask_on(connection, ended)
            .await
            .map_err(|error| gone(&error))?
    }

    /// A connection that was opened before; `None` if there is none left.
    async fn older_connection(&mut self) -> Option<Connection> {
        if let Some(connecting) = &mut self.connecting {
            let connection = connecting.await.ok().flatten();
            self.connecting = None;
            if connection.is_some() {
                return connection;
            }
        }
        self.client.take_idle(self.address)
    }

    /// Asks on one connection. Fails if it gives no answer.
    async fn ask_on(
        &self,
        connection: Connection,
        ended: Instant,
    ) -> Result<Result<(), Unconfirmed>, SendError> {
        let was_there_before = connection.opened() < ended;
        let request = self.probe.request.clone();
        let exchange = self
            .client
            .exchange(self.address, connection, request, &CONFIRM_TIMEOUT);
        let mut reply = match exchange.await {
            Exchange::Done(reply) => reply?,
            Exchange::Unsent(_) => return Err(closed_unwritten(self.address)),
        };
        let body = reply.delimited_body(CONFIRM_TIMEOUT).await?;
        let stated = (self.probe.parse)(reply.headers(), &body);
        if self.probe.expected.is_shown_by(&stated, was_there_before) {
            return Ok(Ok(()));
        }
        Ok(Err(Unconfirmed::Replaced))
    }
}

fn gone(error: &SendError) -> Unconfirmed {
    Unconfirmed::Gone {
        reason: error.to_string(),
    }
}
