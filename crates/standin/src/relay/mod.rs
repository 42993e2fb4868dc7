//! A TCP relay that can close, reset, delay, hold back or silence the connections through it, and accept them late.

mod connection;
mod kept_port;
mod relay_faults;

pub use relay_faults::{RelayFaults, RelayMode};

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer},
        server::{Role, Server},
        sync::lock,
    },
    connection::Connection,
    hyper::{Request, body::Incoming},
    kept_port::KeptPort,
    relay_faults::Direction,
    std::{
        future::{pending, poll_fn},
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        task::Poll,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Mutex as AsyncMutex, watch},
        task::JoinSet,
        time::sleep,
    },
};

/// Pause between two tries to listen again.
const LISTEN_PAUSE: Duration = Duration::from_millis(10);

/// Settings of a relay.
#[derive(Clone, Copy, Debug)]
pub struct RelaySettings {
    /// Address to accept connections on.
    pub listen: SocketAddr,
    /// Address to forward connections to.
    pub to: SocketAddr,
    /// Address that serves the fault switches.
    pub control: SocketAddr,
}

impl RelaySettings {
    /// Settings of a relay to `to` on free ports of the loopback interface.
    #[must_use]
    pub fn to(to: SocketAddr) -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            to,
            control: (Ipv4Addr::LOCALHOST, 0).into(),
        }
    }
}

/// A TCP relay. Connect to [`Relay::address`]; the address of its [`Server`] serves the fault
/// switches.
#[derive(Debug)]
pub struct Relay {
    /// Address on which the relay accepts connections.
    pub address: SocketAddr,
    to: Mutex<SocketAddr>,
    port: KeptPort,
    /// The listener until [`Role::background`] takes it.
    listener: Mutex<Option<TcpListener>>,
    switches: FaultSwitches<RelayFaults>,
    /// Number of changes of the switches; tells connections opened before a change from later ones.
    epoch: watch::Sender<u64>,
    /// What ended the open connections last; a connection that was open then has ended, however short
    /// the fault was.
    last_end: watch::Sender<LastEnd>,
    passed_bytes: AtomicU64,
    /// The connections that are led on.
    led_on: Mutex<Vec<Weak<Connection>>>,
    /// Held by the connection that is accepted next.
    accepting: AsyncMutex<()>,
    waiting: WaitingCounts,
}

/// What a fault that ends connections found.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndCounts {
    /// Connections that were open, and end.
    pub open_count: usize,
    /// Connections that were not yet led on.
    pub waiting_count: usize,
    /// Whether those ended too.
    pub ends_waiting: bool,
}

/// Connections that waited to be led on while all open ones were ended.
#[derive(Debug, Default)]
struct WaitingCounts {
    /// Held by each connection that waits now.
    now: Arc<()>,
    last: Mutex<EndCounts>,
    spared: AtomicU64,
    met: AtomicU64,
}

impl Relay {
    /// Starts a relay that forwards all data.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(settings: RelaySettings) -> io::Result<Server<Self>> {
        let port = KeptPort::take(settings.listen)?;
        let listener = port.listen()?;
        let relay = Arc::new(Self {
            address: port.address(),
            port,
            to: Mutex::new(settings.to),
            listener: Mutex::new(Some(listener)),
            switches: FaultSwitches::default(),
            epoch: watch::Sender::new(0),
            last_end: watch::Sender::default(),
            passed_bytes: AtomicU64::new(0),
            led_on: Mutex::default(),
            accepting: AsyncMutex::default(),
            waiting: WaitingCounts::default(),
        });
        Server::start(settings.control, relay).await
    }

    /// What the relay does with connections.
    #[must_use]
    pub fn mode(&self) -> RelayMode {
        self.switches.get().mode
    }

    /// Sets what the relay does with connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.switches.update(|faults| faults.mode = mode);
        self.faults_changed();
    }

    /// Sets the delay of every chunk of data.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.switches.update(|faults| faults.delay_ms = delay_ms);
    }

    /// Sets how connections are accepted and led on.
    pub fn set_opening(&self, accept_delay: Duration, opens_lazily: bool, ends_waiting: bool) {
        let accept_delay_ms = u64::try_from(accept_delay.as_millis()).unwrap_or(u64::MAX);
        self.switches.update(|faults| {
            faults.accept_delay_ms = accept_delay_ms;
            faults.opens_lazily = opens_lazily;
            faults.ends_waiting = ends_waiting;
        });
    }

    /// Sets the time over which a cut closes the connections that are open.
    pub fn set_end_spread(&self, spread: Duration) {
        let end_spread_ms = u64::try_from(spread.as_millis()).unwrap_or(u64::MAX);
        self.switches
            .update(|faults| faults.end_spread_ms = end_spread_ms);
    }

    /// What the last fault that ended connections found. Connections that the operating system has completed and
    /// the relay has not taken from it yet are not counted.
    #[must_use]
    pub fn last_end_counts(&self) -> EndCounts {
        *lock(&self.waiting.last)
    }

    /// Connections that waited when all open ones were ended, and were led on after that.
    #[must_use]
    pub fn spared_count(&self) -> u64 {
        self.waiting.spared.load(Ordering::Relaxed)
    }

    /// Connections that were ended while they waited to be led on.
    #[must_use]
    pub fn met_waiting_count(&self) -> u64 {
        self.waiting.met.load(Ordering::Relaxed)
    }

    /// Forwards new connections to another address. Open ones stay where they are.
    pub fn set_to(&self, to: SocketAddr) {
        *lock(&self.to) = to;
    }

    /// Bytes forwarded since the start, in both directions.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Leads a connection on that the relay has accepted `after` as many faults that ended connections.
    async fn relay(self: Arc<Self>, mut caller: TcpStream, after: u64) {
        let waiting = Arc::clone(&self.waiting.now);
        let led_on = tokio::select! {
            biased;
            mode = self.wait_until_met(after) => {
                self.waiting.met.fetch_add(1, Ordering::Relaxed);
                if mode == RelayMode::Reset {
                    let _ = caller.set_zero_linger();
                }
                return;
            }
            led_on = self.lead_on(&caller) => led_on,
        };
        drop(waiting);
        let Some(mut target) = led_on else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let connection = self.begin_connection();
        if connection.opened_after > after && !self.mode().ends_connections() {
            self.waiting.spared.fetch_add(1, Ordering::Relaxed);
        }
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        let is_passed_on = tokio::select! {
            () = connection.wait_until_ended() => false,
            forwarded = async {
                tokio::try_join!(
                    connection.forward(caller_read, target_write, Direction::ToTarget),
                    connection.forward(target_read, caller_write, Direction::ToCaller),
                )
            } => forwarded.is_err() || connection.is_broken(),
        };
        let ended = *self.last_end.borrow();
        let was_reset = ended.number > connection.opened_after && ended.mode == RelayMode::Reset;
        if is_passed_on || was_reset || self.mode() == RelayMode::Reset {
            let _ = caller.set_zero_linger();
            let _ = target.set_zero_linger();
        }
    }

    /// Opens the relay's own side of a connection when its turn has come; `None` if that fails, or the caller
    /// leaves before its first byte.
    async fn lead_on(&self, caller: &TcpStream) -> Option<TcpStream> {
        let RelayFaults {
            accept_delay_ms,
            opens_lazily,
            ..
        } = self.switches.get();
        if accept_delay_ms > 0 {
            let _accepting = self.accepting.lock().await;
            sleep(Duration::from_millis(accept_delay_ms)).await;
        }
        if opens_lazily && !matches!(caller.peek(&mut [0]).await, Ok(1..)) {
            return None;
        }
        let to = *lock(&self.to);
        TcpStream::connect(to).await.ok()
    }

    /// Waits until a fault meets a connection that is not yet led on; returns what the relay does then.
    async fn wait_until_met(&self, after: u64) -> RelayMode {
        let mut last_end = self.last_end.subscribe();
        loop {
            let last = *last_end.borrow_and_update();
            if last.number > after && self.switches.get().ends_waiting {
                return last.mode;
            }
            if last_end.changed().await.is_err() {
                return pending().await;
            }
        }
    }

    fn begin_connection(self: &Arc<Self>) -> Arc<Connection> {
        let mut led_on = lock(&self.led_on);
        let connection = Arc::new(Connection {
            relay: Arc::clone(self),
            opened_epoch: *self.epoch.borrow(),
            opened_after: self.last_end.borrow().number,
            silent: AtomicBool::new(false),
            broken: AtomicBool::new(false),
            answered_at: Mutex::new(Instant::now()),
            ends_at: Mutex::default(),
        });
        led_on.retain(|it| it.strong_count() > 0);
        led_on.push(Arc::downgrade(&connection));
        connection
    }

    /// Sets when the connections that are open end.
    fn end_connections(&self, faults: &RelayFaults) {
        let led_on = lock(&self.led_on);
        let mut open: Vec<_> = led_on.iter().filter_map(Weak::upgrade).collect();
        open.sort_by_key(|it| *lock(&it.answered_at));
        let spread = match faults.mode {
            RelayMode::Cut => Duration::from_millis(faults.end_spread_ms),
            _ => Duration::ZERO,
        };
        *lock(&self.waiting.last) = EndCounts {
            open_count: open.len(),
            waiting_count: Arc::strong_count(&self.waiting.now) - 1,
            ends_waiting: faults.ends_waiting,
        };
        let others_count = u32::try_from(open.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let step = spread / others_count.max(1);
        let mut at = Instant::now();
        for connection in open.iter().rev() {
            let mut ends_at = lock(&connection.ends_at);
            *ends_at = Some(ends_at.map_or(at, |earlier| earlier.min(at)));
            at += step;
        }
        let mode = faults.mode;
        self.last_end.send_modify(|last| {
            let number = last.number + 1;
            *last = LastEnd { number, mode };
        });
    }

    /// Accepts connections until the relay is told to refuse them.
    async fn accept(self: &Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let refuses = |faults: &RelayFaults| faults.mode == RelayMode::Refuse;
        let mut last_end = self.last_end.subscribe();
        loop {
            tokio::select! {
                biased;
                () = self.switches.wait_for(refuses) => return,
                // What waits with the operating system was there before the fault.
                Ok(()) = last_end.changed() => {
                    let after = last_end.borrow_and_update().number - 1;
                    while let Some(caller) = accept_waiting(&listener).await {
                        connections.spawn(Arc::clone(self).relay(caller, after));
                    }
                }
                accepted = listener.accept() => if let Ok((caller, _)) = accepted {
                    let after = last_end.borrow().number;
                    connections.spawn(Arc::clone(self).relay(caller, after));
                },
            }
            while connections.try_join_next().is_some() {}
        }
    }

    /// Listens at the relay's address again.
    async fn listen_again(&self) -> TcpListener {
        let accepts = |faults: &RelayFaults| faults.mode != RelayMode::Refuse;
        loop {
            self.switches.wait_for(accepts).await;
            match self.port.listen() {
                Ok(listener) => return listener,
                Err(error) => log::warn!("relay {} cannot listen again: {error}", self.address),
            }
            sleep(LISTEN_PAUSE).await;
        }
    }
}

/// Accepts a connection that the operating system has completed, if there is one.
async fn accept_waiting(listener: &TcpListener) -> Option<TcpStream> {
    let accepted = poll_fn(|context| match listener.poll_accept(context) {
        Poll::Ready(accepted) => Poll::Ready(accepted.ok()),
        Poll::Pending => Poll::Ready(None),
    });
    accepted.await.map(|(caller, _)| caller)
}

/// The last fault that ended all open connections.
#[derive(Clone, Copy, Debug, Default)]
struct LastEnd {
    /// Number of such faults so far.
    number: u64,
    mode: RelayMode,
}

impl Role for Relay {
    type Faults = RelayFaults;

    fn switches(&self) -> &FaultSwitches<RelayFaults> {
        &self.switches
    }

    fn faults_changed(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
        let faults = self.switches.get();
        if faults.mode.ends_connections() {
            self.end_connections(&faults);
        }
    }

    async fn background(self: Arc<Self>) {
        let mut listener = lock(&self.listener).take();
        loop {
            match listener.take() {
                Some(listener) => self.accept(listener).await,
                None => listener = Some(self.listen_again().await),
            }
        }
    }

    async fn answer(self: Arc<Self>, _request: Request<Incoming>) -> Answer {
        http::not_found()
    }
}
