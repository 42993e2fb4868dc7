//! Whether the process that began an answer still runs when the connection of the answer has ended.

use {
    crate::{
        Client, Incarnation, IncarnationProbe, SendError,
        client::{Connection, PROCESS_EXIT_TIME},
        incarnation::Statement,
        kept_witness::{EndedAnswer, KeptUse, Stated},
    },
    snafu::Snafu,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout, timeout_at},
    },
    tokio_util::task::AbortOnDropHandle,
};

/// Time within which a target must say which process it is. Sound targets may be silent for some
/// seconds.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
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

/// There was no connection beside an answer, or none that shows anything.
pub(crate) fn gone() -> Unconfirmed {
    let reason = "there is none that was open for some time".to_owned();
    Unconfirmed::Gone { reason }
}

/// When the last data of an answer came; `None` if none did after its head.
type LastData = Option<Instant>;

/// Shows whether the process that sends an answer still runs once the answer has ended with its
/// connection. Another connection to the process is open meanwhile, on which it is asked. If the process
/// was killed or the path to it was cut, that one has ended as well.
pub(crate) struct Witness {
    probe: IncarnationProbe,
    state: WitnessState,
}

enum WitnessState {
    /// Dropping it closes the connection, which is for this answer alone.
    Beside(
        AbortOnDropHandle<Result<(), Unconfirmed>>,
        Option<oneshot::Sender<LastData>>,
    ),
    /// The client keeps a connection to the target.
    Kept(KeptUse),
    /// The process has been asked on that connection.
    Asked(oneshot::Receiver<Stated>),
}

impl Witness {
    /// Prepares for the end of an answer of `address` whose head has arrived. Begins to open a connection to
    /// the process there, unless one is kept.
    pub(crate) fn new(client: Client, address: SocketAddr, probe: IncarnationProbe) -> Self {
        let kept = client.kept_witnesses().use_at(address);
        let state = if let Some(kept) = kept {
            WitnessState::Kept(kept)
        } else {
            let (sender, ended) = oneshot::channel();
            let beside = BesideAnswer {
                client,
                address,
                probe: probe.clone(),
            };
            let confirming = tokio::spawn(beside.confirm_after(ended));
            WitnessState::Beside(AbortOnDropHandle::new(confirming), Some(sender))
        };
        Self { probe, state }
    }

    /// Has the process show that it still runs, now that its answer has ended with its connection. Dropping
    /// the future loses nothing. Do not ask again once it has completed.
    pub(crate) async fn confirm(
        &mut self,
        answer: EndedAnswer,
        last_data: LastData,
    ) -> Result<(), Unconfirmed> {
        if let WitnessState::Kept(kept) = &self.state {
            self.state = WitnessState::Asked(kept.ask(answer, self.probe.clone()));
        }
        match &mut self.state {
            WitnessState::Beside(confirming, ended) => {
                if let Some(ended) = ended.take() {
                    // The task that receives it ends later.
                    let _ = ended.send(last_data);
                }
                confirming.await.unwrap_or(Err(Unconfirmed::NoProbe))
            }
            WitnessState::Asked(stated) => {
                let until = answer.ended + PROCESS_EXIT_TIME + CONFIRM_TIMEOUT;
                let stated = timeout_at(until.into(), stated).await;
                let stated = stated.map_err(|_| Unconfirmed::Silent)?;
                let stated = stated.unwrap_or_else(|_| Err(gone()))?;
                let is_shown = self.probe.expected.may_have_become(&stated);
                is_shown.then_some(()).ok_or(Unconfirmed::Replaced)
            }
            WitnessState::Kept(_) => Err(Unconfirmed::NoProbe),
        }
    }
}

/// Keeps a connection beside one answer, and asks on it.
struct BesideAnswer {
    client: Client,
    address: SocketAddr,
    probe: IncarnationProbe,
}

impl BesideAnswer {
    /// Keeps a connection until the answer has `ended`, then asks on it, and has the client keep it.
    async fn confirm_after(self, ended: oneshot::Receiver<LastData>) -> Result<(), Unconfirmed> {
        let (connection, last_data) = self.keep_until(ended).await?;
        // Data that came later is of the same process: two do not listen at one address.
        let has_overlapped = last_data.is_some_and(|it| connection.opened() < it);
        // A process that ends closes its connections one after another.
        sleep(PROCESS_EXIT_TIME).await;
        let asked = ask_on(&self.client, self.address, connection, &self.probe);
        let asked = timeout(CONFIRM_TIMEOUT, asked).await;
        let (stated, connection) = asked.unwrap_or(Err(Unconfirmed::Silent))?;
        if let Some(connection) = connection {
            let kept = self.client.kept_witnesses();
            kept.keep(&self.client, self.address, connection, self.probe.clone());
        }
        let expected = &self.probe.expected;
        let is_shown = if has_overlapped {
            expected.is_same_target(&stated)
        } else {
            expected.agrees_with(&stated)
        };
        if is_shown {
            log::info!(
                "an answer of {} is whole by a connection that was opened after its head",
                self.address
            );
        }
        is_shown.then_some(()).ok_or(Unconfirmed::Replaced)
    }

    /// Keeps a connection until the answer has `ended`, and opens it again if it ends before. Fails if it
    /// ended together with the answer.
    async fn keep_until(
        &self,
        mut ended: oneshot::Receiver<LastData>,
    ) -> Result<(Connection, LastData), Unconfirmed> {
        let mut last_end = None::<Instant>;
        let mut opened = self.client.connect(self.address).await;
        loop {
            if let Ok(mut connection) = opened {
                tokio::select! {
                    biased;
                    () = connection.ended() => {}
                    last_data = &mut ended => {
                        let is_common = last_end.is_some_and(|it| it.elapsed() < COMMON_END_TIME);
                        return if is_common {
                            Err(gone())
                        } else {
                            Ok((connection, last_data.unwrap_or_default()))
                        };
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
}

/// Asks which process answers on `connection`, and gives that back if it can carry another request.
pub(crate) async fn ask_on(
    client: &Client,
    address: SocketAddr,
    connection: Connection,
    probe: &IncarnationProbe,
) -> Result<(Incarnation, Option<Connection>), Unconfirmed> {
    let asked = probe.ask(client, address, connection, CONFIRM_TIMEOUT);
    match asked.await? {
        (Statement::Process(stated), connection) => Ok((stated, connection)),
        (Statement::OtherTarget | Statement::Nothing, _) => Err(Unconfirmed::Replaced),
    }
}
