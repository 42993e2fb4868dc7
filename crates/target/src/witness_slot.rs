//! The connection to one address that shows whether the path to its target was cut.

use {
    crate::{
        Client, IncarnationProbe,
        witness::COMMON_END_TIME,
        witness_connection::{Asked, Successor, WitnessConnection},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Mutex as AsyncMutex,
        time::{sleep, sleep_until},
    },
};

/// Time for which a connection is kept that no call needs.
const UNNEEDED_TIME: Duration = Duration::from_mins(1);
/// Longest time for which a connection may have been idle when a call is sent, before the target is asked on it
/// or it is replaced. Targets and middleboxes end idle ones.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);
/// Shortest time after which that is done beside an answer, since earlier connections ended idle.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(250);
/// Time for which none is opened ahead at a target that serves none beside a call.
const ALONE_TIME: Duration = Duration::from_secs(10);

/// The slots of all addresses.
#[derive(Default)]
pub(crate) struct WitnessSlots(Mutex<HashMap<SocketAddr, Arc<WitnessSlot>>>);

impl WitnessSlots {
    /// The slot of `address`, whose connections have the settings of `client`.
    pub(crate) fn at(&self, address: SocketAddr, client: &Client) -> Arc<WitnessSlot> {
        let mut slots = lock(&self.0);
        if let Some(slot) = slots.get(&address) {
            return Arc::clone(slot);
        }
        slots.retain(|_, slot| !slot.is_unneeded());
        let slot = Arc::new(WitnessSlot {
            client: client.with_own_connections(),
            address,
            opening: AsyncMutex::default(),
            state: Mutex::new(SlotState {
                current: None,
                replaced: Vec::new(),
                spare: None,
                keeping: Keeping::Unknown,
                last_end: None,
                idle_limit: None,
                serves_two: false,
                names_questions: false,
                alone_until: None,
                needed_at: Instant::now(),
            }),
        });
        slots.insert(address, Arc::clone(&slot));
        slot
    }
}

/// The place of the connection to one address. Whoever needs to know whether its path is cut from now on takes
/// the connection; if that is replaced, it leads to the one that does so further.
pub(crate) struct WitnessSlot {
    client: Client,
    address: SocketAddr,
    /// Held while a connection is being opened.
    opening: AsyncMutex<()>,
    state: Mutex<SlotState>,
}

/// Whether a target keeps connections on which it has answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Keeping {
    Unknown,
    Kept,
    Ended,
}

struct SlotState {
    current: Option<Arc<WitnessConnection>>,
    /// Those that it replaces and that do not lead to it yet.
    replaced: Vec<Arc<WitnessConnection>>,
    /// The one that takes over if the target ends the current one after an answer.
    spare: Option<Arc<WitnessConnection>>,
    /// Whether the target keeps connections on which it has answered.
    keeping: Keeping,
    /// When one ended last, or could not be opened.
    last_end: Option<Instant>,
    /// Time after which a connection counts as idle for long beside an answer, if any has ended idle.
    idle_limit: Option<Duration>,
    /// Whether the target has answered a call while one was open.
    serves_two: bool,
    /// Whether an answer has named the question that it answers.
    names_questions: bool,
    /// Until then, none is opened ahead, since the target may serve one connection at a time.
    alone_until: Option<Instant>,
    /// When a call needed it last.
    needed_at: Instant,
}

impl SlotState {
    /// Closes the connections that no call uses.
    fn close_all(&mut self) {
        self.current = None;
        self.spare = None;
    }
}

impl WitnessSlot {
    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The newest connection, which may have ended.
    pub(crate) fn current(&self) -> Option<Arc<WitnessConnection>> {
        lock(&self.state).current.clone()
    }

    /// The connections on which the target may be asked, the newest one first. They may have ended.
    pub(crate) fn all(&self) -> Vec<Arc<WitnessConnection>> {
        let state = lock(&self.state);
        let all = state.current.iter().chain(state.replaced.iter().rev());
        all.cloned().collect()
    }

    /// When a connection ended last or could not be opened, if one ever did.
    pub(crate) fn last_end(&self) -> Option<Instant> {
        let state = lock(&self.state);
        let has_just_ended = state.current.as_ref().is_some_and(|it| it.has_ended());
        if has_just_ended {
            return Some(Instant::now());
        }
        state.last_end
    }

    /// Has later calls use another connection than this one.
    pub(crate) fn discard(&self, discarded: &Arc<WitnessConnection>) {
        let is_other = |it: &Arc<WitnessConnection>| !Arc::ptr_eq(it, discarded);
        let mut state = lock(&self.state);
        state.current = state.current.take().filter(is_other);
        state.spare = state.spare.take().filter(is_other);
    }

    /// Closes all connections of a target that may serve one at a time.
    pub(crate) fn leave_alone(&self) {
        if self.is_left_alone() {
            lock(&self.state).close_all();
        }
    }

    /// Whether none is opened ahead, since the target may serve one connection at a time.
    pub(crate) fn is_left_alone(&self) -> bool {
        let alone_until = lock(&self.state).alone_until;
        alone_until.is_some_and(|it| Instant::now() < it)
    }

    /// Whether the target is known to answer calls while a connection is open here.
    pub(crate) fn serves_two(&self) -> bool {
        lock(&self.state).serves_two
    }

    /// Records that the target has answered a call while a connection was open here.
    pub(crate) fn record_serves_two(&self) {
        lock(&self.state).serves_two = true;
    }

    /// Whether the target has named the question in an answer.
    pub(crate) fn names_questions(&self) -> bool {
        lock(&self.state).names_questions
    }

    /// Records that the target names the question in its answers.
    pub(crate) fn record_names_questions(&self) {
        lock(&self.state).names_questions = true;
    }

    /// Records that the target may serve one connection at a time, unless it is known to serve two.
    pub(crate) fn record_serves_one(&self) {
        let mut state = lock(&self.state);
        if !state.serves_two {
            log::info!(
                "{} may serve one connection at a time; its answers without framing are shown by less",
                self.address
            );
            state.alone_until = Some(Instant::now() + ALONE_TIME);
            state.close_all();
        }
    }

    /// The open connection; opens one if there is none. `None` if that fails.
    pub(crate) async fn open(self: &Arc<Self>) -> Option<Arc<WitnessConnection>> {
        lock(&self.state).needed_at = Instant::now();
        if let Some(open) = self.open_now() {
            return Some(open);
        }
        let _opening = self.opening.lock().await;
        match self.open_now() {
            Some(open) => Some(open),
            None => self.open_another().await,
        }
    }

    /// Like [`WitnessSlot::open`], but has the target use a connection that has been idle for long, or replaces
    /// it.
    pub(crate) async fn open_recent(
        self: &Arc<Self>,
        probe: &IncarnationProbe,
    ) -> Option<Arc<WitnessConnection>> {
        let max_idle_time = MAX_IDLE_TIME.min(self.client.idle_timeout());
        self.open_used(max_idle_time, probe).await
    }

    /// Does so beside an answer if the connection would end soon, as earlier ones did.
    pub(crate) async fn refresh_idle(
        self: &Arc<Self>,
        probe: &IncarnationProbe,
    ) -> Option<Arc<WitnessConnection>> {
        let idle_limit = lock(&self.state).idle_limit;
        self.open_used(idle_limit.unwrap_or(Duration::MAX), probe)
            .await
    }

    async fn open_used(
        self: &Arc<Self>,
        max_idle_time: Duration,
        probe: &IncarnationProbe,
    ) -> Option<Arc<WitnessConnection>> {
        let open = self.open().await?;
        if open.idle_time() <= max_idle_time {
            return Some(open);
        }
        if self.keeping() == Keeping::Kept
            && let Asked::Answered(_) = open.ask(self, probe, Instant::now()).await
            && self.current().is_some_and(|it| Arc::ptr_eq(&it, &open))
        {
            return Some(open);
        }
        let _opening = self.opening.lock().await;
        match self.open_now() {
            Some(open) if open.idle_time() <= max_idle_time => Some(open),
            open => self.open_another().await.or(open),
        }
    }

    /// The connection that takes over when `asked` is asked, after which its target may end it. `None` if none
    /// can be opened.
    pub(crate) async fn successor_of(
        self: &Arc<Self>,
        asked: &Arc<WitnessConnection>,
    ) -> Option<Arc<WitnessConnection>> {
        let _opening = self.opening.lock().await;
        let newer = self.open_now().filter(|it| !Arc::ptr_eq(it, asked));
        match newer {
            Some(newer) => Some(newer),
            None => self.open_another().await,
        }
    }

    /// Whether the target keeps connections on which it has answered.
    pub(crate) fn keeping(&self) -> Keeping {
        lock(&self.state).keeping
    }

    /// Records whether the target has kept a connection on which it has answered.
    pub(crate) fn record_kept(&self, is_kept: bool) {
        let mut state = lock(&self.state);
        state.keeping = match state.keeping {
            _ if is_kept => Keeping::Kept,
            // A cut looks the same.
            Keeping::Kept => Keeping::Unknown,
            Keeping::Unknown | Keeping::Ended => Keeping::Ended,
        };
    }

    /// The connection that takes over if the target ends `asked` after an answer, though it mostly keeps them.
    /// The target is asked on it once, so that it is known to lead there. `None` if none can be opened, or if `asked`
    /// is the spare one.
    pub(crate) async fn spare(
        self: &Arc<Self>,
        asked: &Arc<WitnessConnection>,
        probe: &IncarnationProbe,
    ) -> Option<Arc<WitnessConnection>> {
        let is_asked = |it: &Arc<WitnessConnection>| Arc::ptr_eq(it, asked);
        if lock(&self.state).spare.as_ref().is_some_and(is_asked) {
            return None;
        }
        let spare = self.open_spare(asked).await?;
        if spare.proven_at().is_none() {
            self.ask_ahead(&spare, probe);
        }
        Some(spare)
    }

    /// An open connection that was opened after `asked`.
    pub(crate) fn newer_than(&self, asked: &WitnessConnection) -> Option<Arc<WitnessConnection>> {
        let state = lock(&self.state);
        let mut all = state.current.iter().chain(&state.spare);
        let newer = all.find(|it| asked.opened() < it.opened() && !it.has_ended());
        newer.cloned()
    }

    /// The spare connection; opens one if there is none, or if it is the one `asked`. `None` if that fails.
    pub(crate) async fn open_spare(
        self: &Arc<Self>,
        asked: &Arc<WitnessConnection>,
    ) -> Option<Arc<WitnessConnection>> {
        let _opening = self.opening.lock().await;
        let spare = lock(&self.state).spare.clone();
        if let Some(spare) = spare.filter(|it| !it.has_ended() && !Arc::ptr_eq(it, asked)) {
            return Some(spare);
        }
        let connection = self.client.connect(self.address).await.ok()?;
        let opened = Arc::new(WitnessConnection::new(connection));
        lock(&self.state).spare = Some(Arc::clone(&opened));
        tokio::spawn(Arc::clone(self).keep(Arc::downgrade(&opened)));
        Some(opened)
    }

    /// The spare connection if the target was not asked on it.
    pub(crate) fn unasked_spare(&self) -> Option<Arc<WitnessConnection>> {
        let spare = lock(&self.state).spare.clone();
        spare.filter(|it| !it.has_ended() && it.proven_at().is_none())
    }

    /// The newest connection if it is open, or else the spare one.
    pub(crate) fn open_now(&self) -> Option<Arc<WitnessConnection>> {
        let mut state = lock(&self.state);
        let is_open = |it: &Arc<WitnessConnection>| !it.has_ended();
        if let Some(current) = state.current.clone().filter(is_open) {
            return Some(current);
        }
        let spare = state.spare.take().filter(is_open)?;
        state.current = Some(Arc::clone(&spare));
        Some(spare)
    }

    /// Opens a connection in place of the current one. Hold [`WitnessSlot::opening`].
    async fn open_another(self: &Arc<Self>) -> Option<Arc<WitnessConnection>> {
        let opened = self.client.connect(self.address).await;
        let mut state = lock(&self.state);
        match opened {
            Ok(connection) => {
                let opened = Arc::new(WitnessConnection::new(connection));
                if let Some(replaced) = state.current.replace(Arc::clone(&opened)) {
                    state.replaced.push(Arc::clone(&replaced));
                    tokio::spawn(Arc::clone(self).link(replaced, Arc::clone(&opened)));
                }
                tokio::spawn(Arc::clone(self).keep(Arc::downgrade(&opened)));
                Some(opened)
            }
            Err(error) => {
                log::debug!("no connection beside the answers: {error}");
                if state.current.as_ref().is_none_or(|it| it.has_ended()) {
                    state.last_end = Some(Instant::now());
                }
                None
            }
        }
    }

    /// Has `replaced` lead to `opened` if both are open at the same time.
    async fn link(
        self: Arc<Self>,
        replaced: Arc<WitnessConnection>,
        opened: Arc<WitnessConnection>,
    ) {
        // What was cut before may end late.
        sleep(COMMON_END_TIME).await;
        lock(&self.state)
            .replaced
            .retain(|it| !Arc::ptr_eq(it, &replaced));
        if !replaced.has_ended() {
            replaced.link(Successor {
                connection: opened,
                is_proven: false,
            });
            replaced.close_unless_asked();
        }
    }

    /// Watches a connection until it ends or is replaced, or no call has needed it for long.
    async fn keep(self: Arc<Self>, watched: Weak<WitnessConnection>) {
        loop {
            let Some(end) = watched.upgrade().map(|it| it.end_token()) else {
                return;
            };
            let needed_until = lock(&self.state).needed_at + UNNEEDED_TIME;
            tokio::select! {
                () = end.cancelled() => break,
                () = sleep_until(needed_until.into()) => {}
            }
            let mut state = lock(&self.state);
            if state.needed_at + UNNEEDED_TIME <= Instant::now() {
                state.close_all();
                return;
            }
        }
        let Some(ended) = watched.upgrade() else {
            return;
        };
        ended.record_end();
        let mut state = lock(&self.state);
        let is_ended = |it: &Arc<WitnessConnection>| Arc::ptr_eq(it, &ended);
        let is_current = state.current.as_ref().is_some_and(is_ended);
        if is_current || state.replaced.iter().any(is_ended) {
            state.last_end = Some(Instant::now());
        }
        if is_current {
            state.current = None;
            let idle_time = ended.idle_time();
            if idle_time > MAX_IDLE_TIME {
                let limit = (idle_time / 2).max(MIN_IDLE_LIMIT);
                state.idle_limit = Some(state.idle_limit.map_or(limit, |it| it.min(limit)));
            }
        }
    }

    fn is_unneeded(&self) -> bool {
        let state = lock(&self.state);
        state.current.is_none() && state.needed_at.elapsed() > UNNEEDED_TIME
    }

    /// Asks in the background on `connection` which process is there, once for all, so that it is known to lead
    /// to one.
    pub(crate) fn ask_ahead(
        self: &Arc<Self>,
        connection: &Arc<WitnessConnection>,
        probe: &IncarnationProbe,
    ) {
        let (slot, connection) = (Arc::clone(self), Arc::clone(connection));
        let probe = probe.clone();
        tokio::spawn(async move {
            let opened = connection.opened();
            connection.ask(&slot, &probe, opened).await
        });
    }
}

pub(crate) fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
