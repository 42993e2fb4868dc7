//! A connection on which a target is asked which process it is.

use {
    crate::{
        Incarnation, IncarnationProbe,
        client::Connection,
        incarnation::Statement,
        witness::{Unconfirmed, gone},
        witness_slot::{Keeping, WitnessSlot, lock},
    },
    catalog::TargetId,
    std::{
        sync::{Arc, Mutex, OnceLock},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Mutex as AsyncMutex,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time within which a question must be answered. A health check may wait for a slot.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(12);

/// Time after its answer within which a target ends connections that it does not keep.
const UNKEPT_TIME: Duration = Duration::from_millis(100);

/// What a target said of itself.
pub(crate) type Stated = Result<Incarnation, Unconfirmed>;

/// A connection that ends if the path to its target is cut, and on which the target is asked which process it
/// is. Targets may end connections after an answer: then it leads to another one.
///
/// That it is open shows nothing until the target has answered on it: whatever lies between may not have
/// accepted it yet, and leaves it open when it ends all others.
pub(crate) struct WitnessConnection {
    opened: Instant,
    ended: CancellationToken,
    shown: Mutex<Shown>,
    exchange: AsyncMutex<Exchange>,
    /// The connection that shows what is cut later.
    successor: OnceLock<Successor>,
    /// When the target answered on it first.
    first_answer_at: OnceLock<Instant>,
    /// When the target answered on it last; `None` before.
    last_answer_at: Mutex<Option<Instant>>,
    ended_at: OnceLock<Instant>,
}

/// The connection that takes over from another one.
#[derive(Clone)]
pub(crate) struct Successor {
    pub(crate) connection: Arc<WitnessConnection>,
    /// Whether the target had answered on it before the other one was asked last, so that no cut in between is
    /// missed.
    pub(crate) is_proven: bool,
}

impl Successor {
    /// The last one to which `next` leads, which takes over from this one.
    pub(crate) fn then(&self, next: &Self) -> Self {
        let last = next.connection.last_successor();
        Self {
            is_proven: self.is_proven && next.is_proven && last.is_proven,
            ..last
        }
    }
}

/// What the target has said on a connection, or on those before it that lead to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shown {
    /// When the target answered first.
    pub(crate) answered_at: Option<Instant>,
    /// When it started, in milliseconds since the Unix epoch, as it said first.
    pub(crate) started_unix_ms: Option<u64>,
}

impl Shown {
    /// Adds what was shown before.
    fn add_earlier(&mut self, earlier: Self) {
        self.answered_at = earlier.answered_at.or(self.answered_at);
        self.started_unix_ms = earlier.started_unix_ms.or(self.started_unix_ms);
    }
}

/// The exchange on a connection.
struct Exchange {
    /// The connection; `None` if it is not asked any more.
    connection: Option<Connection>,
    last: Option<Answer>,
    /// When the last answer came, and the connection that takes over if the target ends this one after it.
    spare: Option<(Instant, Arc<WitnessConnection>)>,
    failure: Option<Unconfirmed>,
}

/// An answer of the target, and the question.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    asked_at: Instant,
    target: Option<TargetId>,
    pub(crate) stated: Stated,
    /// Whether it names the question, or no copy of an earlier answer can be told from it at this target.
    pub(crate) is_attributed: bool,
    /// What had been shown before.
    pub(crate) earlier: Shown,
}

impl Answer {
    /// Whether the target states another start than before. What lies between has kept the connection open.
    fn shows_restart(&self) -> bool {
        let started = self.stated.as_ref().ok().and_then(|it| it.started_unix_ms);
        let earlier = self.earlier.started_unix_ms;
        started.is_some() && earlier.is_some() && started != earlier
    }
}

/// What came of a question.
pub(crate) enum Asked {
    Answered(Answer),
    /// It is not asked any more, and this one shows the rest.
    LedTo(Successor),
    Failed(Unconfirmed),
}

impl WitnessConnection {
    pub(crate) fn new(connection: Connection) -> Self {
        Self {
            opened: connection.opened(),
            ended: connection.end_token(),
            shown: Mutex::default(),
            exchange: AsyncMutex::new(Exchange {
                connection: Some(connection),
                last: None,
                spare: None,
                failure: None,
            }),
            successor: OnceLock::new(),
            first_answer_at: OnceLock::new(),
            last_answer_at: Mutex::default(),
            ended_at: OnceLock::new(),
        }
    }

    /// Records that it has ended now.
    pub(crate) fn record_end(&self) {
        let _ = self.ended_at.set(Instant::now());
    }

    /// When it ended, as far as that was noticed.
    fn ended_at(&self) -> Instant {
        self.ended_at.get().copied().unwrap_or_else(Instant::now)
    }

    /// When it was opened.
    pub(crate) fn opened(&self) -> Instant {
        self.opened
    }

    /// When the target answered on it first; `None` before. From then on, a cut of its path ends it.
    pub(crate) fn proven_at(&self) -> Option<Instant> {
        self.first_answer_at.get().copied()
    }

    /// Time since it was opened or the target answered on it.
    pub(crate) fn idle_time(&self) -> Duration {
        let last_answer_at = *lock(&self.last_answer_at);
        last_answer_at.unwrap_or(self.opened).elapsed()
    }

    /// Whether it has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Token that is cancelled when it has ended.
    pub(crate) fn end_token(&self) -> CancellationToken {
        self.ended.clone()
    }

    /// What the target has said on it, or on those that led to it.
    pub(crate) fn shown(&self) -> Shown {
        *lock(&self.shown)
    }

    /// The connection that shows what this one does; itself if no other one does.
    pub(crate) fn last_successor(self: &Arc<Self>) -> Successor {
        let mut last = Successor {
            connection: Arc::clone(self),
            is_proven: true,
        };
        while let Some(next) = last.connection.successor.get().cloned() {
            last = Successor {
                is_proven: last.is_proven && next.is_proven,
                ..next
            };
        }
        last
    }

    /// Has it lead to another connection, unless that leads to this one. Only the first link counts. Returns
    /// whether it leads to one now.
    pub(crate) fn link(self: &Arc<Self>, successor: Successor) -> bool {
        let leads_back = Arc::ptr_eq(&successor.connection.last_successor().connection, self);
        if self.successor.get().is_none() && !leads_back {
            let shown = self.shown();
            lock(&successor.connection.shown).add_earlier(shown);
            let _ = self.successor.set(successor);
        }
        self.successor.get().is_some()
    }

    /// Closes it unless a question is under way.
    pub(crate) fn close_unless_asked(&self) {
        if let Ok(mut exchange) = self.exchange.try_lock() {
            exchange.connection = None;
        }
    }

    /// Asks which process is there, as `probe` says; an answer to the same question that was asked at
    /// `not_before` or later will do. The question goes on if the future is dropped.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        slot: &Arc<WitnessSlot>,
        probe: &IncarnationProbe,
        not_before: Instant,
    ) -> Asked {
        let (asked, slot, probe) = (Arc::clone(self), Arc::clone(slot), probe.clone());
        let asking = tokio::spawn(async move { asked.ask_once(&slot, &probe, not_before).await });
        asking.await.unwrap_or_else(|_| Asked::Failed(gone()))
    }

    async fn ask_once(
        self: Arc<Self>,
        slot: &Arc<WitnessSlot>,
        probe: &IncarnationProbe,
        not_before: Instant,
    ) -> Asked {
        let mut exchange = self.exchange.lock().await;
        let target = &probe.expected.target;
        if let Some(last) = &exchange.last
            && last.asked_at >= not_before
            && last.target == *target
        {
            return Asked::Answered(last.clone());
        }
        if let Some(successor) = self.successor.get() {
            return Asked::LedTo(successor.clone());
        }
        if self.has_ended()
            && let Some(successor) = self.replace_unkept(slot, &exchange)
        {
            return Asked::LedTo(successor);
        }
        let Some(connection) = exchange.connection.take() else {
            return Asked::Failed(exchange.failure.clone().unwrap_or_else(gone));
        };
        let keeping = slot.keeping();
        let spare = match keeping {
            Keeping::Kept => slot.spare(&self, probe).await,
            Keeping::Unknown => slot.open_spare(&self).await,
            Keeping::Ended => slot.successor_of(&self).await,
        };
        let asked_at = Instant::now();
        let said = match ask_on(slot, connection, probe).await {
            Ok(said) => said,
            Err(failure) => {
                self.ended.cancel();
                self.record_end();
                let successor = if matches!(failure, Unconfirmed::OtherQuestion) {
                    self.replace_copied(spare, &exchange)
                } else {
                    self.replace_unkept(slot, &exchange)
                };
                if let Some(successor) = successor {
                    return Asked::LedTo(successor);
                }
                exchange.failure = Some(failure.clone());
                return Asked::Failed(failure);
            }
        };
        let is_attributed = self.is_attributed(slot, said.names_question);
        let answer = self.record_answer(asked_at, target.clone(), said.stated, is_attributed);
        if answer.shows_restart() {
            slot.discard(&self);
        }
        exchange.last = Some(answer.clone());
        let mut left_over = None;
        match spare {
            Some(connection) if keeping == Keeping::Ended => {
                self.link(Successor {
                    connection,
                    is_proven: false,
                });
                left_over = said.connection;
            }
            spare => {
                exchange.connection = said.connection;
                exchange.spare = spare.map(|spare| (Instant::now(), spare));
            }
        }
        if keeping != Keeping::Kept {
            tokio::spawn(watch_kept(Arc::clone(slot), self.end_token(), left_over));
        }
        Asked::Answered(answer)
    }

    /// Whether no answer to an earlier question is taken for one that `names_question` or not.
    fn is_attributed(&self, slot: &WitnessSlot, names_question: bool) -> bool {
        if names_question {
            slot.record_names_questions();
        }
        names_question || self.proven_at().is_none() || !slot.names_questions()
    }

    /// Records an answer of the target to a question that was asked then.
    fn record_answer(
        &self,
        asked_at: Instant,
        target: Option<TargetId>,
        stated: Stated,
        is_attributed: bool,
    ) -> Answer {
        let now = Instant::now();
        let earlier = self.shown();
        let started_unix_ms = stated.as_ref().ok().and_then(|it| it.started_unix_ms);
        let mut shown = Shown {
            answered_at: Some(now),
            started_unix_ms,
        };
        shown.add_earlier(earlier);
        *lock(&self.shown) = shown;
        let _ = self.first_answer_at.set(now);
        *lock(&self.last_answer_at) = Some(now);
        Answer {
            asked_at,
            target,
            stated,
            is_attributed,
            earlier,
        }
    }

    /// Has it lead to the spare connection if the target has ended it after its answer, as far as can be told.
    fn replace_unkept(
        self: &Arc<Self>,
        slot: &WitnessSlot,
        exchange: &Exchange,
    ) -> Option<Successor> {
        let (answered_at, spare) = exchange.spare.as_ref()?;
        if self.ended_at() >= *answered_at + UNKEPT_TIME {
            return None;
        }
        let was_kept = slot.keeping() == Keeping::Kept;
        slot.record_kept(false);
        let successor = exchange.followed_by(Arc::clone(spare));
        if was_kept && !successor.is_proven {
            // A cut looks the same, and may leave that one open.
            return None;
        }
        self.link(successor.clone()).then_some(successor)
    }

    /// Has it lead to the `spare` connection, since an answer to another question came on it and the one to this
    /// cannot be read any more.
    fn replace_copied(
        self: &Arc<Self>,
        spare: Option<Arc<Self>>,
        exchange: &Exchange,
    ) -> Option<Successor> {
        let successor = exchange.followed_by(spare?);
        self.link(successor.clone()).then_some(successor)
    }
}

impl Exchange {
    /// `connection` as the one that takes over.
    fn followed_by(&self, connection: Arc<WitnessConnection>) -> Successor {
        let asked_at = self.last.as_ref().map(|it| it.asked_at);
        let is_proven = connection
            .proven_at()
            .is_some_and(|it| Some(it) <= asked_at);
        Successor {
            connection,
            is_proven,
        }
    }
}

/// What the target has said on a connection.
struct Heard {
    stated: Stated,
    names_question: bool,
    /// The connection if it can carry another request.
    connection: Option<Connection>,
}

/// Finds out whether the target keeps a connection on which it has just answered, and that is open until `end`.
/// Closes it then if it is `left_over`.
async fn watch_kept(slot: Arc<WitnessSlot>, end: CancellationToken, left_over: Option<Connection>) {
    sleep(UNKEPT_TIME).await;
    slot.record_kept(!end.is_cancelled());
    drop(left_over);
}

/// Asks on `connection`. Fails if no process of a target answers.
async fn ask_on(
    slot: &WitnessSlot,
    mut connection: Connection,
    probe: &IncarnationProbe,
) -> Result<Heard, Unconfirmed> {
    let (client, address) = (slot.client(), slot.address());
    if !client.is_ready(&mut connection).await {
        return Err(gone());
    }
    let asked = probe.ask(client, address, connection, QUESTION_TIMEOUT);
    let asked = timeout(QUESTION_TIMEOUT, asked).await;
    let said = asked.map_err(|_| Unconfirmed::Silent)??;
    let stated = match said.statement {
        Statement::Process(stated) => Ok(stated),
        Statement::OtherTarget => Err(Unconfirmed::Replaced),
        Statement::OtherQuestion => return Err(Unconfirmed::OtherQuestion),
        Statement::Nothing => return Err(Unconfirmed::Replaced),
    };
    Ok(Heard {
        stated,
        names_question: said.names_question,
        connection: said.connection,
    })
}
