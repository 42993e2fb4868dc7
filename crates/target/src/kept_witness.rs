//! Connections to targets whose answers end with their connections, kept to ask which process runs there.

use {
    crate::{
        Client, Incarnation, IncarnationProbe,
        client::{Connection, PROCESS_EXIT_TIME},
        witness::{CONFIRM_TIMEOUT, Unconfirmed, ask_on, gone},
    },
    std::{
        collections::{HashMap, hash_map::Entry},
        net::SocketAddr,
        pin::pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, Weak,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, mpsc, oneshot},
        time::{sleep, sleep_until, timeout},
    },
    tokio_util::task::AbortOnDropHandle,
};

/// Time after its answer within which a target ends connections that it does not keep.
const UNKEPT_TIME: Duration = Duration::from_millis(100);
/// Connections in a row that end within [`UNKEPT_TIME`], after which none is kept.
const MAX_UNKEPT_COUNT: u32 = 2;
/// Longest time by which a busy instance reads data late.
const READ_DELAY: Duration = Duration::from_millis(100);
/// First and longest pause before a connection is opened again.
const REOPEN_PAUSES: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
/// Shortest such pause while calls are sent to the target.
const CALLED_PAUSE: Duration = Duration::from_millis(10);

/// What a target said of itself once an answer had ended.
pub(crate) type Stated = Result<Incarnation, Unconfirmed>;

/// An answer that has ended with its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAnswer {
    /// When its request was sent.
    pub(crate) sent: Instant,
    /// Latest time at which its connection is known to have been open, or not in use yet.
    pub(crate) last_open: Instant,
    /// When it ended.
    pub(crate) ended: Instant,
}

/// A question whether the process that sent an answer still runs.
pub(crate) struct Question {
    answer: EndedAnswer,
    probe: IncarnationProbe,
    stated: oneshot::Sender<Stated>,
}

impl Question {
    fn reply(self, stated: Stated) {
        // Whoever asked may have left.
        let _ = self.stated.send(stated);
    }
}

/// The kept connections of a client, at most one for each address.
#[derive(Default)]
pub(crate) struct KeptWitnesses {
    by_address: Mutex<HashMap<SocketAddr, KeptWitness>>,
    count: AtomicUsize,
}

/// A kept connection to one address. Dropping it closes the connection.
struct KeptWitness {
    called: Arc<Notify>,
    uses: KeptUse,
    _keeping: AbortOnDropHandle<()>,
}

/// Has a connection kept until it is dropped.
#[derive(Clone)]
pub(crate) struct KeptUse(mpsc::UnboundedSender<Question>);

impl KeptUse {
    /// Asks which process runs there, on a connection that was open beside `answer`.
    pub(crate) fn ask(
        &self,
        answer: EndedAnswer,
        probe: IncarnationProbe,
    ) -> oneshot::Receiver<Stated> {
        let (stated, receiver) = oneshot::channel();
        // If it is kept no longer, the receiver is told by the end of the channel.
        let _ = self.0.send(Question {
            answer,
            probe,
            stated,
        });
        receiver
    }

    /// Whether only the registry holds it.
    fn is_idle(&self) -> bool {
        self.0.strong_count() <= 1
    }
}

impl KeptWitnesses {
    /// Has the connection to `address` kept further; `None` if there is none.
    pub(crate) fn use_at(&self, address: SocketAddr) -> Option<KeptUse> {
        self.lock().get(&address).map(|it| it.uses.clone())
    }

    /// Notes that a call is about to be sent to `address`, whose answer may need the connection there.
    pub(crate) fn expect_call(&self, address: SocketAddr) {
        if self.count.load(Ordering::Relaxed) > 0
            && let Some(kept) = self.lock().get(&address)
        {
            kept.called.notify_one();
        }
    }

    /// Keeps `connection`, on which the target at `address` has just answered `probe`, unless the target
    /// ends it soon or another one is kept there.
    pub(crate) fn keep(
        self: &Arc<Self>,
        client: &Client,
        address: SocketAddr,
        connection: Connection,
        probe: IncarnationProbe,
    ) {
        let known = Known {
            connection,
            answered_at: Instant::now(),
        };
        let client = client.with_own_connections();
        let witnesses = Arc::downgrade(self);
        tokio::spawn(keep_if_lasting(witnesses, client, address, known, probe));
    }

    fn add(
        self: &Arc<Self>,
        client: Client,
        address: SocketAddr,
        known: Known,
        probe: IncarnationProbe,
    ) {
        let mut kept = self.lock();
        let Entry::Vacant(vacant) = kept.entry(address) else {
            return;
        };
        let (questions, receiver) = mpsc::unbounded_channel();
        let called = Arc::<Notify>::default();
        let keeper = Keeper {
            witnesses: Arc::downgrade(self),
            idle_timeout: client.settings().witness_idle_timeout,
            client,
            address,
            probe,
            questions: receiver,
            called: called.clone(),
            last_question: Instant::now(),
            pause: Duration::ZERO,
            waiting: Vec::new(),
        };
        let keeping = tokio::spawn(keeper.keep(known));
        vacant.insert(KeptWitness {
            called,
            uses: KeptUse(questions),
            _keeping: AbortOnDropHandle::new(keeping),
        });
        self.count.store(kept.len(), Ordering::Relaxed);
    }

    fn remove(&self, address: SocketAddr) {
        let mut kept = self.lock();
        kept.remove(&address);
        self.count.store(kept.len(), Ordering::Relaxed);
    }

    /// Removes the connection to `address` unless an answer may need it; returns whether it did.
    fn remove_idle(&self, address: SocketAddr) -> bool {
        let mut kept = self.lock();
        let is_idle = kept.get(&address).is_none_or(|it| it.uses.is_idle());
        if is_idle {
            kept.remove(&address);
            self.count.store(kept.len(), Ordering::Relaxed);
        }
        is_idle
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, KeptWitness>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Keeps a connection unless its target ends it soon.
async fn keep_if_lasting(
    witnesses: Weak<KeptWitnesses>,
    client: Client,
    address: SocketAddr,
    mut known: Known,
    probe: IncarnationProbe,
) {
    if timeout(UNKEPT_TIME, known.connection.ended())
        .await
        .is_err()
        && let Some(witnesses) = witnesses.upgrade()
    {
        witnesses.add(client, address, known, probe);
    }
}

/// A connection that is known to lead to a target.
struct Known {
    connection: Connection,
    /// When the target had answered on it first.
    answered_at: Instant,
}

impl Known {
    /// Whether it led to the target before `answer` ended. A connection that was open before the request
    /// was sent has been passed on by whatever lies between, since the request has.
    fn is_beside(&self, answer: &EndedAnswer) -> bool {
        self.connection.opened() < answer.sent || self.answered_at + READ_DELAY < answer.last_open
    }
}

/// Keeps the connection to one address.
struct Keeper {
    witnesses: Weak<KeptWitnesses>,
    /// Time for which a connection that no answer needs is kept.
    idle_timeout: Duration,
    client: Client,
    address: SocketAddr,
    /// How the target was asked last.
    probe: IncarnationProbe,
    questions: mpsc::UnboundedReceiver<Question>,
    /// Told when a call is sent to the target.
    called: Arc<Notify>,
    last_question: Instant,
    /// Pause before the connection is opened again.
    pause: Duration,
    /// Questions that have not been answered.
    waiting: Vec<Question>,
}

impl Keeper {
    /// Answers questions until no answer has needed the connection for long, or the target keeps none.
    async fn keep(mut self, mut known: Known) {
        let mut unkept_count = 0;
        while unkept_count < MAX_UNKEPT_COUNT {
            let answered_at = known.answered_at;
            if self.answer_on(known).await.is_none() {
                return;
            }
            self.refuse_waiting();
            if answered_at.elapsed() < UNKEPT_TIME {
                unkept_count += 1;
                self.pause = longer(self.pause);
            } else {
                unkept_count = 0;
                self.pause = Duration::ZERO;
            }
            match self.reopen().await {
                Some(reopened) => known = reopened,
                None => return,
            }
        }
        log::info!("{} ends connections on which it has answered", self.address);
        if let Some(witnesses) = self.witnesses.upgrade() {
            witnesses.remove(self.address);
        }
    }

    /// Answers questions on a connection until that has ended; `None` once it is kept no longer.
    async fn answer_on(&mut self, mut known: Known) -> Option<()> {
        loop {
            if self.waiting.is_empty() {
                tokio::select! {
                    biased;
                    () = known.connection.ended() => return Some(()),
                    question = self.next_question() => self.waiting.push(question?),
                }
            }
            let ended = self.waiting.iter().map(|it| it.answer.ended);
            // A process that ends closes its connections one after another.
            sleep_until((ended.min()? + PROCESS_EXIT_TIME).into()).await;
            while let Ok(question) = self.questions.try_recv() {
                self.waiting.push(question);
            }
            let asked_at = Instant::now();
            let is_due = |it: &mut Question| it.answer.ended + PROCESS_EXIT_TIME <= asked_at;
            let due = self.waiting.extract_if(.., is_due);
            let (beside, others): (Vec<_>, Vec<_>) =
                due.partition(|it| known.is_beside(&it.answer));
            for question in others {
                question.reply(Err(gone()));
            }
            let Some(last) = beside.last() else {
                continue;
            };
            self.last_question = asked_at;
            self.probe = last.probe.clone();
            let asked = ask_on(&self.client, self.address, known.connection, &self.probe);
            let asked = timeout(CONFIRM_TIMEOUT, asked).await;
            let (stated, left) = match asked.unwrap_or(Err(Unconfirmed::Silent)) {
                Ok((stated, left)) => (Ok(stated), left),
                Err(unconfirmed) => (Err(unconfirmed), None),
            };
            for question in beside {
                question.reply(stated.clone());
            }
            let Some(connection) = left else {
                return Some(());
            };
            known.connection = connection;
        }
    }

    /// Opens a connection and has the target answer on it; `None` once it is kept no longer.
    async fn reopen(&mut self) -> Option<Known> {
        loop {
            let (client, address) = (self.client.clone(), self.address);
            let (pause, called) = (self.pause, self.called.clone());
            let opening = async {
                pause_unless_called(pause, &called).await;
                client.connect(address).await.ok()
            };
            if let Some(connection) = self.refuse_until(opening, None).await? {
                let opened = connection.opened();
                let probe = self.probe.clone();
                let asking = async {
                    let asked = ask_on(&client, address, connection, &probe);
                    let (_, connection) = timeout(CONFIRM_TIMEOUT, asked).await.ok()?.ok()?;
                    connection.map(|connection| Known {
                        connection,
                        answered_at: Instant::now(),
                    })
                };
                if let Some(known) = self.refuse_until(asking, Some(opened)).await? {
                    return Some(known);
                }
                self.refuse_waiting();
            }
            self.pause = longer(self.pause);
        }
    }

    /// Waits for the end of `opening`; `None` once it is kept no longer. Questions that the
    /// connection which was `opened` could show nothing for are answered so at once.
    async fn refuse_until<Output>(
        &mut self,
        opening: impl Future<Output = Output>,
        opened: Option<Instant>,
    ) -> Option<Output> {
        let mut opening = pin!(opening);
        loop {
            tokio::select! {
                output = &mut opening => return Some(output),
                question = self.next_question() => {
                    let question = question?;
                    if opened.is_some_and(|it| it < question.answer.sent) {
                        self.waiting.push(question);
                    } else {
                        question.reply(Err(gone()));
                    }
                }
            }
        }
    }

    /// Answers the waiting questions, after the connection that was open beside their answers has ended.
    fn refuse_waiting(&mut self) {
        for question in self.waiting.drain(..) {
            question.reply(Err(gone()));
        }
    }

    /// The next question; `None` once the connection is kept no longer.
    async fn next_question(&mut self) -> Option<Question> {
        loop {
            let until = self.last_question + self.idle_timeout;
            tokio::select! {
                question = self.questions.recv() => {
                    self.last_question = Instant::now();
                    return question;
                }
                () = sleep_until(until.into()) => {}
            }
            if self.witnesses.upgrade()?.remove_idle(self.address) {
                return None;
            }
            self.last_question = Instant::now();
        }
    }
}

/// Waits for `pause`, or less once a call is sent to the target.
async fn pause_unless_called(pause: Duration, called: &Notify) {
    let is_called = async {
        sleep(CALLED_PAUSE).await;
        called.notified().await;
    };
    tokio::select! {
        () = sleep(pause) => {}
        () = is_called => {}
    }
}

/// The pause that follows `pause`.
fn longer(pause: Duration) -> Duration {
    let [first, longest] = REOPEN_PAUSES;
    (pause * 2).clamp(first, longest)
}
