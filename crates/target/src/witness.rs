//! Whether the process that began an answer still runs when the connection of the answer has ended.

use {
    crate::{
        Client, IncarnationProbe, SendError,
        client::{Connection, Exchange, PROCESS_EXIT_TIME, closed_unwritten},
    },
    snafu::Snafu,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
    tokio_util::task::AbortOnDropHandle,
};

/// Time within which a target must say which process it is. Sound targets may be silent for some
/// seconds.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before a connection beside the answer is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// Time between the ends of two connections that may have had one cause, also if both are noticed late.
const COMMON_END_TIME: Duration = Duration::from_millis(500);

/// Why nothing shows that a body is complete that ended with its connection.
#[derive(Clone, Debug, Snafu)]
pub(crate) enum Unconfirmed {
    /// Nobody can be asked.
    #[snafu(display(
        "it ended with its connection, and nothing can show that it is complete; have the target send a length or chunks"
    ))]
    NoProbe,
    /// The other connection to the process has ended too, or could not be opened.
    #[snafu(display("it ended with its connection, and so did the one beside it ({reason})"))]
    Gone { reason: String },
    /// Another process answers.
    #[snafu(display("it ended with its connection, and another process answers there now"))]
    Replaced,
    /// Nothing answers in time.
    #[snafu(display(
        "it ended with its connection, and its process did not answer within {} ms",
        CONFIRM_TIMEOUT.as_millis()
    ))]
    Silent,
}

impl From<SendError> for Unconfirmed {
    fn from(error: SendError) -> Self {
        Self::Gone {
            reason: error.to_string(),
        }
    }
}

/// The connection beside an answer could not be kept.
fn gone() -> Unconfirmed {
    let reason = "there is none that was open for some time".to_owned();
    Unconfirmed::Gone { reason }
}

/// Shows whether the process that sends an answer still runs once the answer has ended with its
/// connection. Beside the answer it keeps another connection to the process, on which it asks. If the process
/// was killed or the path to it was cut, that one has ended as well. Dropping it closes the connection.
pub(crate) struct Witness {
    ended: Option<oneshot::Sender<()>>,
    confirming: AbortOnDropHandle<Result<(), Unconfirmed>>,
    confirmed: Option<Result<(), Unconfirmed>>,
}

impl Witness {
    /// Begins to open a connection to the process at `address`, which is answering a request.
    pub(crate) fn new(client: Client, address: SocketAddr, probe: IncarnationProbe) -> Self {
        let (sender, ended) = oneshot::channel();
        let beside = BesideAnswer {
            client,
            address,
            probe,
        };
        Self {
            ended: Some(sender),
            confirming: AbortOnDropHandle::new(tokio::spawn(beside.confirm_after(ended))),
            confirmed: None,
        }
    }

    /// Has the process show that it still runs, now that its answer has ended with its connection. Dropping
    /// the future loses nothing.
    pub(crate) async fn confirm(&mut self) -> Result<(), Unconfirmed> {
        if let Some(ended) = self.ended.take() {
            // The task that receives it ends later.
            let _ = ended.send(());
        }
        if self.confirmed.is_none() {
            let confirmed = (&mut self.confirming).await;
            self.confirmed = Some(confirmed.unwrap_or(Err(Unconfirmed::NoProbe)));
        }
        self.confirmed.clone().unwrap_or(Err(Unconfirmed::NoProbe))
    }
}

/// Keeps a connection beside an answer, and asks on it.
struct BesideAnswer {
    client: Client,
    address: SocketAddr,
    probe: IncarnationProbe,
}

impl BesideAnswer {
    /// Keeps a connection until the answer has `ended`, then asks on it.
    async fn confirm_after(self, ended: oneshot::Receiver<()>) -> Result<(), Unconfirmed> {
        let connection = self.keep_until(ended).await?;
        // A process that ends closes its connections one after another.
        sleep(PROCESS_EXIT_TIME).await;
        let asked = timeout(CONFIRM_TIMEOUT, self.ask_on(connection)).await;
        asked.unwrap_or(Err(Unconfirmed::Silent))
    }

    /// Keeps a connection until the answer has `ended`, and opens it again if it ends before. Fails if it
    /// ended together with the answer.
    async fn keep_until(
        &self,
        mut ended: oneshot::Receiver<()>,
    ) -> Result<Connection, Unconfirmed> {
        let mut last_end = None::<Instant>;
        let mut opened = self.client.connect(self.address).await;
        loop {
            if let Ok(mut connection) = opened {
                tokio::select! {
                    biased;
                    () = connection.ended() => {}
                    _ = &mut ended => {
                        let is_common = last_end.is_some_and(|it| it.elapsed() < COMMON_END_TIME);
                        return if is_common { Err(gone()) } else { Ok(connection) };
                    }
                }
            }
            last_end = Some(Instant::now());
            tokio::select! {
                () = sleep(REOPEN_PAUSE) => {}
                _ = &mut ended => return Err(gone()),
            }
            opened = self.client.connect(self.address).await;
        }
    }

    async fn ask_on(&self, connection: Connection) -> Result<(), Unconfirmed> {
        let request = self.probe.request.clone();
        let exchange = self
            .client
            .exchange(self.address, connection, request, &CONFIRM_TIMEOUT);
        let mut reply = match exchange.await {
            Exchange::Done(reply) => reply?,
            Exchange::Unsent(_) => return Err(closed_unwritten(self.address).into()),
        };
        let body = reply.delimited_body(CONFIRM_TIMEOUT).await?;
        let stated = (self.probe.parse)(reply.headers(), &body);
        if stated.is_some_and(|stated| self.probe.expected.agrees_with(&stated)) {
            return Ok(());
        }
        Err(Unconfirmed::Replaced)
    }
}
