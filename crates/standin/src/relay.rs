//! A TCP relay that can close, delay or silence the connections through it.

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer},
        server::{Role, Server},
    },
    hyper::{Request, body::Incoming},
    serde::{Deserialize, Serialize},
    std::{
        future::pending,
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinSet,
        time::sleep,
    },
};

/// Most bytes forwarded at a time.
const BUFFER_BYTES: usize = 16 * 1024;

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
    to: SocketAddr,
    listener: TcpListener,
    switches: FaultSwitches<RelayFaults>,
    /// Number of changes of the switches; tells connections opened before a change from later ones.
    epoch: watch::Sender<u64>,
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
            to: settings.to,
            listener,
            switches: FaultSwitches::default(),
            epoch: watch::Sender::new(0),
            passed_bytes: AtomicU64::new(0),
        });
        Server::start(settings.control, relay).await
    }

    /// Bytes forwarded since the start, in both directions.
    #[must_use]
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    async fn relay(self: Arc<Self>, caller: TcpStream) {
        let Ok(target) = TcpStream::connect(self.to).await else {
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let connection = Connection {
            relay: Arc::clone(&self),
            opened_epoch: *self.epoch.borrow(),
            silent: AtomicBool::new(false),
        };
        let (caller_read, caller_write) = caller.into_split();
        let (target_read, target_write) = target.into_split();
        tokio::select! {
            () = connection.wait_until_cut() => {}
            _ = async {
                tokio::join!(
                    connection.forward(caller_read, target_write),
                    connection.forward(target_read, caller_write),
                )
            } => {}
        }
    }
}

/// One connection through the relay, with its caller and its target.
struct Connection {
    relay: Arc<Relay>,
    opened_epoch: u64,
    silent: AtomicBool,
}

impl Connection {
    /// Forwards data in one direction until it ends. Never returns once the connection is silenced.
    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let read = tokio::select! {
                read = from.read(&mut buffer) => read,
                () = self.wait_until_silent() => return pending().await,
            };
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
        let silent = match self.relay.switches.get().mode {
            RelayMode::BlackholeAll => true,
            RelayMode::Blackhole => self.opened_epoch < *self.relay.epoch.borrow(),
            RelayMode::Pass | RelayMode::Cut => false,
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

    async fn wait_until_cut(&self) {
        self.relay
            .switches
            .wait_for(|faults| faults.mode == RelayMode::Cut)
            .await;
    }
}

impl Role for Relay {
    type Faults = RelayFaults;

    fn switches(&self) -> &FaultSwitches<RelayFaults> {
        &self.switches
    }

    fn faults_changed(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }

    async fn background(self: Arc<Self>) {
        let mut connections = JoinSet::new();
        loop {
            if let Ok((caller, _)) = self.listener.accept().await {
                connections.spawn(Arc::clone(&self).relay(caller));
            }
            while connections.try_join_next().is_some() {}
        }
    }

    async fn answer(self: Arc<Self>, _request: Request<Incoming>) -> Answer {
        http::not_found()
    }
}
