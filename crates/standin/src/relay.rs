//! A TCP relay that can close, reset, delay, hold back or silence the connections through it.

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer},
        server::{Role, Server},
        sync::lock,
    },
    hyper::{Request, body::Incoming},
    serde::{Deserialize, Serialize},
    std::{
        future::pending,
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::watch,
        task::JoinSet,
        time::sleep,
    },
};

/// Most bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;
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

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayMode {
    /// Forwards data both ways.
    #[default]
    Pass,
    /// Closes all open and all new connections.
    Cut,
    /// Connections that are open when the switch is set forward no more data; new ones work.
    Blackhole,
    /// Open and new connections stay open but forward no data.
    BlackholeAll,
    /// Connections stay open. Data, and the end of connections, waits until the mode changes.
    Hold,
    /// Like [`RelayMode::Hold`], for what callers send only.
    HoldCalls,
    /// Like [`RelayMode::Hold`], for what the target sends only.
    HoldAnswers,
    /// Resets all open and all new connections.
    Reset,
    /// Closes all open connections and listens no more.
    Refuse,
}

impl RelayMode {
    /// Whether open connections end.
    fn ends_connections(self) -> bool {
        matches!(self, Self::Cut | Self::Reset | Self::Refuse)
    }

    /// Whether data in this direction waits.
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::Hold => true,
            Self::HoldCalls => direction == Direction::ToTarget,
            Self::HoldAnswers => direction == Direction::ToCaller,
            _ => false,
        }
    }
}

/// Direction of data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    ToTarget,
    ToCaller,
}

/// Fault switches of a relay.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RelayFaults {
    /// What the relay does with connections.
    pub mode: RelayMode,
    /// Delay of every chunk of data in milliseconds.
    pub delay_ms: u64,
}

/// A TCP relay. Connect to [`Relay::address`]; the address of its [`Server`] serves the fault
/// switches.
#[derive(Debug)]
pub struct Relay {
    /// Address on which the relay accepts connections.
    pub address: SocketAddr,
    to: Mutex<SocketAddr>,
    /// The listener until [`Role::background`] takes it.
    listener: Mutex<Option<TcpListener>>,
    switches: FaultSwitches<RelayFaults>,
    /// Number of changes of the switches; tells connections opened before a change from later ones.
    epoch: watch::Sender<u64>,
    /// What ended the open connections last; a connection that was open then has ended, however short
    /// the fault was.
    last_end: watch::Sender<LastEnd>,
    passed_bytes: AtomicU64,
}

impl Relay {
    /// Starts a relay that forwards all data.
    ///
    /// # Errors
    ///
    /// An address cannot be bound.
    pub async fn start(settings: RelaySettings) -> io::Result<Server<Self>> {
        let listener = TcpListener::bind(settings.listen).await?;
        let relay = Arc::new(Self {
            address: listener.local_addr()?,
            to: Mutex::new(settings.to),
            listener: Mutex::new(Some(listener)),
            switches: FaultSwitches::default(),
            epoch: watch::Sender::new(0),
            last_end: watch::Sender::default(),
            passed_bytes: AtomicU64::new(0),
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

    /// Forwards new connections to another address. Open ones stay where they are.
    pub fn set_to(&self, to: SocketAddr) {
        *lock(&self.to) = to;
    }

    /// Bytes forwarded since the start, in both directions.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    async fn relay(self: Arc<Self>, mut caller: TcpStream) {
        let to = *lock(&self.to);
        let Ok(mut target) = TcpStream::connect(to).await else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let connection = Connection {
            relay: Arc::clone(&self),
            opened_epoch: *self.epoch.borrow(),
            opened_after: self.last_end.borrow().number,
            silent: AtomicBool::new(false),
        };
        let (caller_read, caller_write) = caller.split();
        let (target_read, target_write) = target.split();
        tokio::select! {
            () = connection.wait_until_ended() => {}
            _ = async {
                tokio::join!(
                    connection.forward(caller_read, target_write, Direction::ToTarget),
                    connection.forward(target_read, caller_write, Direction::ToCaller),
                )
            } => {}
        }
        let ended = *self.last_end.borrow();
        let was_reset = ended.number > connection.opened_after && ended.mode == RelayMode::Reset;
        if was_reset || self.mode() == RelayMode::Reset {
            let _ = caller.set_zero_linger();
            let _ = target.set_zero_linger();
        }
    }

    /// Accepts connections until the relay is told to refuse them.
    async fn accept(self: &Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let refuses = |faults: &RelayFaults| faults.mode == RelayMode::Refuse;
        loop {
            tokio::select! {
                accepted = listener.accept() => if let Ok((caller, _)) = accepted {
                    connections.spawn(Arc::clone(self).relay(caller));
                },
                () = self.switches.wait_for(refuses) => return,
            }
            while connections.try_join_next().is_some() {}
        }
    }

    /// Listens at the relay's address again.
    async fn listen_again(&self) -> TcpListener {
        let accepts = |faults: &RelayFaults| faults.mode != RelayMode::Refuse;
        loop {
            self.switches.wait_for(accepts).await;
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(error) => log::warn!("relay {} cannot listen again: {error}", self.address),
            }
            sleep(LISTEN_PAUSE).await;
        }
    }
}

/// The last fault that ended all open connections.
#[derive(Clone, Copy, Debug, Default)]
struct LastEnd {
    /// Number of such faults so far.
    number: u64,
    mode: RelayMode,
}

/// One connection through the relay, with its caller and its target.
struct Connection {
    relay: Arc<Relay>,
    opened_epoch: u64,
    /// Number of the last fault that ended connections before it was opened.
    opened_after: u64,
    silent: AtomicBool,
}

impl Connection {
    /// Forwards data in one direction until it ends. Never returns once the connection is silenced.
    async fn forward(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, direction: Direction) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_until_silent() => return pending().await,
            };
            let passes = |faults: &RelayFaults| !faults.mode.holds(direction);
            self.relay.switches.wait_for(passes).await;
            let Ok(length @ 1..) = read else {
                let _ = to.shutdown().await;
                return;
            };
            let delay_ms = self.relay.switches.get().delay_ms;
            if delay_ms > 0 {
                sleep(Duration::from_millis(delay_ms)).await;
            }
            if self.update_silent() {
                return pending().await;
            }
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            self.relay
                .passed_bytes
                .fetch_add(length as u64, Ordering::Relaxed);
        }
    }

    /// Whether the connection is silenced. Once silenced, it stays so when the mode changes.
    fn update_silent(&self) -> bool {
        let silent = match self.relay.mode() {
            RelayMode::BlackholeAll => true,
            RelayMode::Blackhole => self.opened_epoch < *self.relay.epoch.borrow(),
            _ => false,
        };
        if silent {
            self.silent.store(true, Ordering::Relaxed);
        }
        self.silent.load(Ordering::Relaxed)
    }

    async fn wait_until_silent(&self) {
        let mut epoch = self.relay.epoch.subscribe();
        while !self.update_silent() {
            if epoch.changed().await.is_err() {
                pending::<()>().await;
            }
        }
    }

    async fn wait_until_ended(&self) {
        let mut last_end = self.relay.last_end.subscribe();
        let is_ended = |last: &LastEnd| last.number > self.opened_after;
        tokio::select! {
            // The sender lives as long as the relay.
            _ = last_end.wait_for(is_ended) => {}
            () = self.relay.switches.wait_for(|faults| faults.mode.ends_connections()) => {}
        }
    }
}

impl Role for Relay {
    type Faults = RelayFaults;

    fn switches(&self) -> &FaultSwitches<RelayFaults> {
        &self.switches
    }

    fn faults_changed(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
        let mode = self.mode();
        if mode.ends_connections() {
            self.last_end.send_modify(|last| {
                let number = last.number + 1;
                *last = LastEnd { number, mode };
            });
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
