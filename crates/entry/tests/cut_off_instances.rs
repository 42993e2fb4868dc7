//! Calls at an instance that is cut off from all targets, while callers and other instances reach it.

mod support;

use {
    futures::future::join_all,
    keyvalue::MemoryKv,
    socket2::{Domain, SockAddr, Socket, Type},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    support::{Instance, OutgoingCall, put, target::Target, wait_until},
    tokio::{net::TcpStream, time::sleep},
};

/// Number of targets.
const TARGETS_COUNT: usize = 4;
/// Time after which an instance must have noticed that it is cut off.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of calls sent in each check.
const CALLS_COUNT: usize = 24;
/// Number of calls sent at the same time.
const CONCURRENT_CALLS_COUNT: usize = 4;
/// Duration of a call at its target.
const WORK: Duration = Duration::from_millis(10);
/// Time until a target is tried, is served and has answered.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// An address that refuses connections.
fn refusing() -> SocketAddr {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).unwrap();
    listener.local_addr().unwrap()
}

/// A listener whose queue of connections is full, so that further ones hang.
struct Hanging {
    address: SocketAddr,
    _listener: Socket,
    _queued: Vec<TcpStream>,
}

impl Hanging {
    async fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        listener.bind(&SockAddr::from(any)).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut queued = Vec::new();
        let connect_time = Duration::from_millis(100);
        while let Ok(Ok(stream)) =
            tokio::time::timeout(connect_time, TcpStream::connect(address)).await
        {
            queued.push(stream);
        }
        Self {
            address,
            _listener: listener,
            _queued: queued,
        }
    }
}

/// Three instances before four targets.
struct Fleet {
    kv: MemoryKv,
    instances: Vec<Instance>,
    targets: Vec<Target>,
}

impl Fleet {
    async fn start() -> Self {
        let mut fleet = Self {
            kv: MemoryKv::new(),
            instances: Vec::new(),
            targets: Vec::new(),
        };
        put(&fleet.kv, "operators/configuration", "1").await;
        for _ in 0..TARGETS_COUNT {
            fleet.targets.push(Target::start(WORK).await);
        }
        fleet.register_targets().await;
        for name in ["one", "two", "three"] {
            let instance = Instance::start(name, fleet.kv.clone());
            wait_until("the instance is ready", async || instance.is_ready().await).await;
            fleet.instances.push(instance);
        }
        for instance in &fleet.instances {
            wait_until("a call is answered", async || {
                instance.send(&OutgoingCall::get("/")).await == Some(200)
            })
            .await;
        }
        fleet
    }

    /// Registers the targets, so that the instances look up their addresses again.
    async fn register_targets(&self) {
        for (index, target) in self.targets.iter().enumerate() {
            let value = format!("{} 1", target.address);
            put(&self.kv, &format!("targets/target{index}"), &value).await;
        }
    }

    /// Cuts instances off from all targets, or ends the cut if there is no `address`.
    async fn cut_off(&self, indexes: &[usize], address: Option<SocketAddr>) {
        for index in indexes {
            *self.instances[*index].unreachable.lock().unwrap() = address;
        }
        self.register_targets().await;
    }

    /// Sends calls to one instance; returns their statuses.
    async fn send(&self, index: usize, call: &OutgoingCall) -> Vec<Option<u16>> {
        let instance = &self.instances[index];
        let mut statuses = Vec::new();
        for _ in 0..CALLS_COUNT / CONCURRENT_CALLS_COUNT {
            let calls = (0..CONCURRENT_CALLS_COUNT).map(|_| instance.send(call));
            statuses.extend(join_all(calls).await);
        }
        statuses
    }

    /// Number of calls of an instance that have waited for a connection to a target in vain.
    fn waited_count(&self, index: usize) -> usize {
        let lines = self.instances[index].lines("\"event\":\"call\"");
        let waited = |line: &&String| line.contains("connecting timed out");
        lines.iter().filter(waited).count()
    }

    /// Sends calls to one instance until it must have noticed that it is cut off.
    async fn wait_for_notice(&self, index: usize) {
        let started = Instant::now();
        while started.elapsed() < CONTACT_TIME {
            let call = OutgoingCall::get("/");
            let calls = (0..CONCURRENT_CALLS_COUNT).map(|_| self.instances[index].send(&call));
            join_all(calls).await;
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn calls_count(&self) -> usize {
        self.targets.iter().map(Target::calls_count).sum()
    }
}

#[tokio::test]
async fn calls_at_an_instance_whose_connections_to_targets_are_refused_are_served() {
    let fleet = Fleet::start().await;
    fleet.cut_off(&[0], Some(refusing())).await;
    fleet.wait_for_notice(0).await;
    for path in ["/", "/once/", "/accounts/"] {
        let call = OutgoingCall::post(path, "a body").key("sound-key");
        let before = fleet.calls_count();
        let statuses = fleet.send(0, &call).await;
        assert_eq!(statuses, [Some(200); CALLS_COUNT], "{path}");
        assert_eq!(
            fleet.calls_count() - before,
            CALLS_COUNT,
            "{path} runs once"
        );
    }
}

#[tokio::test]
async fn calls_at_an_instance_whose_connections_to_targets_hang_are_served() {
    let fleet = Fleet::start().await;
    let hanging = Hanging::start().await;
    fleet.cut_off(&[0], Some(hanging.address)).await;
    fleet.wait_for_notice(0).await;
    let before = fleet.waited_count(0);
    let statuses = fleet.send(0, &OutgoingCall::get("/")).await;
    assert_eq!(statuses, [Some(200); CALLS_COUNT]);
    assert_eq!(fleet.waited_count(0), before);
}

#[tokio::test]
async fn two_cut_off_instances_do_not_pass_calls_to_each_other() {
    let fleet = Fleet::start().await;
    fleet.cut_off(&[0, 1], Some(refusing())).await;
    fleet.wait_for_notice(0).await;
    fleet.wait_for_notice(1).await;
    for index in [0, 1] {
        let statuses = fleet.send(index, &OutgoingCall::get("/once/")).await;
        assert_eq!(statuses, [Some(200); CALLS_COUNT]);
    }
}

#[tokio::test]
async fn calls_are_refused_at_once_if_all_instances_are_cut_off() {
    let fleet = Fleet::start().await;
    let hanging = Hanging::start().await;
    fleet.cut_off(&[0, 1, 2], Some(hanging.address)).await;
    for index in 0..fleet.instances.len() {
        fleet.wait_for_notice(index).await;
    }
    for index in 0..fleet.instances.len() {
        let before = fleet.waited_count(index);
        let statuses = fleet.send(index, &OutgoingCall::get("/once/")).await;
        assert_eq!(statuses, [Some(503); CALLS_COUNT]);
        assert_eq!(fleet.waited_count(index), before);
    }
}

#[tokio::test]
async fn instance_uses_targets_itself_again_after_a_cut() {
    let fleet = Fleet::start().await;
    fleet.cut_off(&[0], Some(refusing())).await;
    fleet.wait_for_notice(0).await;
    fleet.cut_off(&[0], None).await;
    sleep(SETTLING_TIME).await;
    let before = fleet.instances[0].lines("\"forwarded_to\":\"t").len();
    let statuses = fleet.send(0, &OutgoingCall::get("/once/")).await;
    assert_eq!(statuses, [Some(200); CALLS_COUNT]);
    assert!(before > 0, "calls were passed on during the cut");
    assert_eq!(
        fleet.instances[0].lines("\"forwarded_to\":\"t").len(),
        before
    );
}
