//! Whether the process that began an answer still runs when the connection of the answer has ended.

use {
    crate::{
        EndEvidence, IncarnationProbe, SendError, WitnessAhead,
        client::PROCESS_EXIT_TIME,
        unframed_body::EndedAnswer,
        witness_connection::{Answer, Asked, Shown, Successor, WitnessConnection},
        witness_slot::{Keeping, WitnessSlot},
    },
    snafu::Snafu,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, sleep_until, timeout},
    tokio_util::task::AbortOnDropHandle,
};

/// Time within which a target must say which process it is. Sound targets may be silent for some
/// seconds.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);
/// First and longest pause before a connection that ended beside an answer is opened again.
const REOPEN_PAUSES: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(1)];
/// Time between the ends of two connections that may have had one cause, also if both are noticed late.
pub(crate) const COMMON_END_TIME: Duration = Duration::from_millis(500);
/// Time by which data that a cut link has delivered may arrive late, by a third retransmission.
const LATE_DATA_TIME: Duration = Duration::from_secs(2);
/// How often it is checked beside a long answer whether the connection would soon end idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which another connection is asked, if the one before it is still open.
const SLOW_QUESTION_TIME: Duration = Duration::from_secs(2);

/// Why nothing shows that a body is complete that ended with its connection.
#[derive(Clone, Debug, Snafu)]
pub(crate) enum Unconfirmed {
    /// Nobody can be asked.
    #[snafu(display(
        "it ended with its connection, and nothing can show that it is complete; have the target send a length or chunks"
    ))]
    NoProbe,
    /// The target can't have read the whole request.
    #[snafu(display("it ended with its connection before the whole request was written"))]
    Unwritten,
    /// The other connection to the process has ended too, or could not be opened.
    #[snafu(display("it ended with its connection, and so did the one beside it ({reason})"))]
    Gone { reason: String },
    /// Another process answers.
    #[snafu(display("it ended with its connection, and another process answers there now"))]
    Replaced,
    /// An answer to an earlier question comes in place of one to this.
    #[snafu(display(
        "it ended with its connection, and only an answer to another question came on the one beside it"
    ))]
    OtherQuestion,
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

/// No connection was open beside an answer for long enough.
pub(crate) fn gone() -> Unconfirmed {
    let reason = "there is none that was open for some time".to_owned();
    Unconfirmed::Gone { reason }
}

/// Shows whether the process that sends an answer still runs once the answer has ended with its
/// connection. Until then, it keeps a connection open beside it.
pub(crate) struct Witness {
    slot: Arc<WitnessSlot>,
    probe: IncarnationProbe,
    ahead: WitnessAhead,
    cut_spread: Duration,
    _attending: AbortOnDropHandle<()>,
    confirming: Option<AbortOnDropHandle<Result<EndEvidence, Unconfirmed>>>,
}

impl Witness {
    /// For an answer whose head has arrived. Whatever cuts the path ends all connections within `cut_spread`.
    pub(crate) fn new(
        slot: Arc<WitnessSlot>,
        probe: IncarnationProbe,
        ahead: WitnessAhead,
        cut_spread: Duration,
    ) -> Self {
        let attending = tokio::spawn(attend(Arc::clone(&slot), probe.clone()));
        Self {
            slot,
            probe,
            ahead,
            cut_spread,
            _attending: AbortOnDropHandle::new(attending),
            confirming: None,
        }
    }

    /// Has the process show that it still runs, now that its `answer` has ended with its connection. Dropping
    /// the future loses nothing. Do not ask again once it has completed.
    pub(crate) async fn confirm(
        &mut self,
        answer: EndedAnswer,
    ) -> Result<EndEvidence, Unconfirmed> {
        let confirming = self.confirming.get_or_insert_with(|| {
            let confirmation = Confirmation {
                slot: Arc::clone(&self.slot),
                probe: self.probe.clone(),
                ahead: self.ahead.clone(),
                cut_spread: self.cut_spread,
                answer,
            };
            AbortOnDropHandle::new(tokio::spawn(confirmation.confirm()))
        });
        confirming.await.unwrap_or(Err(Unconfirmed::NoProbe))
    }
}

/// Keeps a connection open beside an answer.
async fn attend(slot: Arc<WitnessSlot>, probe: IncarnationProbe) {
    let [first_pause, longest_pause] = REOPEN_PAUSES;
    let mut pause = first_pause;
    let mut was_ended = false;
    loop {
        if let Some(connection) = slot.open().await {
            let is_unasked = connection.shown().answered_at.is_none();
            if is_unasked && (was_ended || slot.keeping() == Keeping::Kept) {
                slot.ask_ahead(&connection, &probe);
            }
            was_ended = false;
            let end = connection.end_token();
            drop(connection);
            tokio::select! {
                () = end.cancelled() => {}
                () = sleep(IDLE_CHECK_INTERVAL) => {
                    pause = first_pause;
                    slot.refresh_idle(&probe).await;
                    continue;
                }
            }
            let is_replaced = slot.current().is_some_and(|it| !it.has_ended());
            if is_replaced {
                continue;
            }
        }
        was_ended = true;
        sleep(pause).await;
        pause = (pause * 2).min(longest_pause);
    }
}

/// The question whether an answer is complete that has ended with its connection.
struct Confirmation {
    slot: Arc<WitnessSlot>,
    probe: IncarnationProbe,
    ahead: WitnessAhead,
    cut_spread: Duration,
    answer: EndedAnswer,
}

impl Confirmation {
    async fn confirm(self) -> Result<EndEvidence, Unconfirmed> {
        sleep_until(self.due().into()).await;
        let shown = timeout(CONFIRM_TIMEOUT, self.gather()).await;
        self.slot.leave_alone();
        shown.unwrap_or(Err(Unconfirmed::Silent))
    }

    /// When the target is asked: what ends all connections ends them one after another.
    fn due(&self) -> Instant {
        self.answer.ended + self.cut_spread.max(PROCESS_EXIT_TIME)
    }

    async fn gather(&self) -> Result<EndEvidence, Unconfirmed> {
        if let WitnessAhead::Open(ahead) = &self.ahead
            && let Ok((answer, is_sure)) = self.ask(ahead.connection()).await
        {
            let evidence = if is_sure && ahead.is_proven() {
                EndEvidence::AnsweredBefore
            } else {
                self.proof_beside(ahead.connection(), is_sure)
                    .unwrap_or(EndEvidence::OpenedBefore)
            };
            return self.judge(evidence, &answer);
        }
        if let Some(beside) = self.beside() {
            let (answer, is_sure) = self.ask(&beside).await?;
            let evidence = self.proof_beside(&beside, is_sure);
            return self.judge(evidence.unwrap_or(EndEvidence::OpenedBeside), &answer);
        }
        if !matches!(self.ahead, WitnessAhead::NotNeeded) {
            return Err(gone());
        }
        self.gather_first().await
    }

    /// What shows the end of the first such answers of a pool: a connection that was opened beside them.
    async fn gather_first(&self) -> Result<EndEvidence, Unconfirmed> {
        let last_end = self.slot.last_end();
        if last_end.is_some_and(|it| it + COMMON_END_TIME > self.answer.last_open) {
            return Err(gone());
        }
        let connection = self.slot.open().await.ok_or_else(gone)?;
        let opened = connection.opened();
        let (answer, _) = self.ask(&connection).await?;
        if self.answer.last_data.is_some_and(|it| opened < it) {
            // Two processes do not listen at one address, and the start of this one may not be registered yet.
            let is_same = self.probe.expected.is_same_target(&answer.stated?);
            return shown_if(is_same, EndEvidence::OpenedBeside);
        }
        // What was stated on it before may be of a later process too.
        let is_same = self.probe.expected.agrees_with(&answer.stated?);
        shown_if(is_same, EndEvidence::OpenedAfter)
    }

    /// The newest connection that was beside the answer.
    fn beside(&self) -> Option<Arc<WitnessConnection>> {
        self.slot.all().into_iter().find(|it| self.was_beside(it))
    }

    /// Whether the target has answered on `connection`, or one that led to it, so long before the answer was open
    /// last that a cut in between would have ended the answer earlier.
    fn was_beside(&self, connection: &WitnessConnection) -> bool {
        if self.slot.keeping() != Keeping::Ended {
            return self.was_proven_beside(connection);
        }
        let answered_at = connection.shown().answered_at;
        answered_at.is_some_and(|it| it + LATE_DATA_TIME < self.answer.last_open)
    }

    /// What an answer on `connection` proves that is sure to be one of the target, since it had answered there
    /// before.
    fn proof_beside(&self, connection: &WitnessConnection, is_sure: bool) -> Option<EndEvidence> {
        (is_sure && self.was_proven_beside(connection)).then_some(EndEvidence::AnsweredBeside)
    }

    /// Whether the target had answered on `connection` itself that long before.
    fn was_proven_beside(&self, connection: &WitnessConnection) -> bool {
        let proven_at = connection.proven_at();
        proven_at.is_some_and(|it| it + LATE_DATA_TIME < self.answer.last_open)
    }

    /// Asks on `connection`, or on the one to which it leads. Returns also whether the answer is sure to be one to
    /// this question, and each connection on the way was shown to lead to the target before the one before it ended.
    /// Fails if the path was cut since it was opened.
    async fn ask(
        &self,
        connection: &Arc<WitnessConnection>,
    ) -> Result<(Answer, bool), Unconfirmed> {
        let due = self.due();
        let mut asked = connection.last_successor();
        let mut unanswered = Vec::new();
        loop {
            let asking = asked.connection.ask(&self.slot, &self.probe, due);
            match timeout(SLOW_QUESTION_TIME, asking).await {
                Ok(Asked::Answered(answer)) => {
                    let is_cut = unanswered
                        .iter()
                        .any(|it: &Arc<WitnessConnection>| it.has_ended());
                    return if is_cut {
                        Err(gone())
                    } else {
                        let is_sure = asked.is_proven && answer.is_attributed;
                        Ok((answer, is_sure))
                    };
                }
                Ok(Asked::LedTo(next)) => asked = asked.then(&next),
                Ok(Asked::Failed(failure)) => return Err(failure),
                Err(_) => {
                    // It shows what was cut as long as it is open, though its target does not answer on it.
                    if let Some(connection) = self.slot.newer_than(&asked.connection) {
                        let newer = Successor {
                            connection,
                            is_proven: false,
                        };
                        unanswered.push(std::mem::replace(&mut asked, newer).connection);
                    }
                }
            }
        }
    }

    /// Whether it is the process that began the answer that has said so: it states the start that it stated
    /// while the answer was open, or else the registered one.
    fn judge(&self, evidence: EndEvidence, answer: &Answer) -> Result<EndEvidence, Unconfirmed> {
        let stated = answer.stated.clone()?;
        let expected = &self.probe.expected;
        let is_same = match answer.earlier.started_unix_ms {
            Some(earlier) if stated.started_unix_ms != Some(earlier) => false,
            Some(_) if self.came_beside(&answer.earlier) => expected.is_same_target(&stated),
            Some(_) | None => expected.agrees_with(&stated),
        };
        shown_if(is_same, evidence)
    }

    /// Whether the target has said that while the answer was open, so that the process which said it began the
    /// answer: two do not listen at one address. What came later may be the word of one that was started since.
    fn came_beside(&self, shown: &Shown) -> bool {
        let answered_at = shown.answered_at;
        answered_at.is_some_and(|it| it < self.answer.last_open)
    }
}

fn shown_if(is_same: bool, evidence: EndEvidence) -> Result<EndEvidence, Unconfirmed> {
    is_same.then_some(evidence).ok_or(Unconfirmed::Replaced)
}
