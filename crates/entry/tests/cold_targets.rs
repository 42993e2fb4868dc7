//! Guards against a mass restart that leaves a pool cold, whose targets then crash by the calls of
//! instances that know nothing of each other's.

mod support;

use {
    balance::ColdAllowance,
    entry::Settings,
    futures::future::join_all,
    keyvalue::MemoryKv,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    support::{
        Answer, Instance, keep_current, put, settings,
        target::{Target, most_in_window, respond, serve_until},
        wait_until,
    },
    tokio::{
        net::TcpSocket,
        time::{interval, sleep},
    },
    tokio_util::sync::CancellationToken,
};

const COLD_PER_S: usize = 8;
/// Calls that a cold target bears in one second: 8 x 1.5 + 5.
const MAX_CALLS_COUNT: usize = 17;
const ALLOWANCE: ColdAllowance = ColdAllowance {
    overage_factor: 1.5,
    slack_count: 5.0,
};
const WINDOW: Duration = Duration::from_secs(1);
const COLD_MS: u64 = 8_000;
const INSTANCES_COUNT: usize = 12;
const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
/// Interval between the calls of one instance.
const CALL_PERIOD: Duration = Duration::from_millis(40);
/// Time after which instances use a part that they have become due.
const RAISE_TIME: Duration = Duration::from_millis(2_500);

struct Fleet {
    kv: MemoryKv,
    instances: Vec<Instance>,
}

/// What became of the calls of a phase.
#[derive(Default)]
struct Phase {
    served_count: usize,
    /// Refusals that named no time.
    timeless_count: usize,
}

impl Fleet {
    /// Starts instances before targets that are warm, and waits until all know each other.
    async fn start(targets: &[SocketAddr]) -> Self {
        let kv = MemoryKv::new();
        put(
            &kv,
            "operators/configuration",
            &format!("1 cold={COLD_PER_S}"),
        )
        .await;
        keep_current(&kv);
        let fleet = Self {
            instances: (0..INSTANCES_COUNT)
                .map(|index| {
                    let settings = Settings {
                        cold_allowance: Some(ALLOWANCE),
                        ..settings(&format!("i{index}"))
                    };
                    Instance::start_with(settings, kv.clone())
                })
                .collect(),
            kv,
        };
        for (name, address) in TARGETS.iter().zip(targets) {
            fleet.register(name, *address, 1, 0).await;
        }
        for instance in &fleet.instances {
            wait_until("all addresses", async || {
                instance.addresses().await.len() == INSTANCES_COUNT
            })
            .await;
        }
        fleet
    }

    async fn register(&self, name: &str, address: SocketAddr, start: u64, cold_ms: u64) {
        let registration = format!("{address} 1 v1 {start} - 8 cold_ms={cold_ms}");
        put(&self.kv, &format!("targets/{name}"), &registration).await;
    }

    /// Sends calls to all instances for `time`.
    async fn call_for(&self, time: Duration) -> Phase {
        let until = Instant::now() + time;
        let calls = self.instances.iter().map(|instance| async move {
            let mut answers = Vec::new();
            let mut ticks = interval(CALL_PERIOD);
            while Instant::now() < until {
                ticks.tick().await;
                answers.extend(instance.answer("/once/7").await);
            }
            answers
        });
        let answers: Vec<Answer> = join_all(calls).await.into_iter().flatten().collect();
        let is_timeless =
            |answer: &&Answer| answer.status == 503 && !answer.headers.contains_key("retry-after");
        Phase {
            served_count: answers.iter().filter(|it| it.status == 200).count(),
            timeless_count: answers.iter().filter(is_timeless).count(),
        }
    }
}

#[tokio::test]
async fn pool_that_returns_cold_serves_what_it_bears_and_no_more() {
    let (mut warm, mut cold) = (Vec::new(), Vec::new());
    for _ in TARGETS {
        warm.push(Target::start(Duration::from_millis(5)).await);
        cold.push(Target::start(Duration::from_millis(5)).await);
    }
    let addresses: Vec<SocketAddr> = warm.iter().map(|it| it.address).collect();
    let fleet = Fleet::start(&addresses).await;
    fleet.call_for(RAISE_TIME).await;
    for (name, target) in TARGETS.iter().zip(&cold) {
        fleet.register(name, target.address, 2, COLD_MS).await;
    }
    // The targets are still cold at its end.
    let time = Duration::from_millis(COLD_MS - 1_000);
    let phase = fleet.call_for(time).await;
    for target in &cold {
        let most = most_in_window(&target.arrivals(), WINDOW);
        assert!(most <= MAX_CALLS_COUNT, "{most} calls in a second");
    }
    let borne_count = COLD_PER_S * TARGETS.len() * usize::try_from(time.as_secs()).unwrap();
    let served_count = phase.served_count;
    println!("{served_count} calls served, all targets bear {borne_count}");
    assert!(
        served_count * 2 >= borne_count,
        "{served_count} calls served, all targets bear {borne_count}"
    );
    assert_eq!(phase.timeless_count, 0);
}

/// A target that can be restarted at its address.
struct RestartingTarget {
    address: SocketAddr,
    end: CancellationToken,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RestartingTarget {
    /// Starts a target at `address`; with port 0 at any.
    fn start(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(address).unwrap();
        let listener = socket.listen(1_000).unwrap();
        let target = Self {
            address: listener.local_addr().unwrap(),
            end: CancellationToken::new(),
            arrivals: Arc::default(),
        };
        let arrivals = target.arrivals.clone();
        tokio::spawn(serve_until(listener, target.end.clone(), move |_| {
            arrivals.lock().unwrap().push(Instant::now());
            async {
                sleep(Duration::from_millis(5)).await;
                respond(200, "done".to_owned())
            }
        }));
        target
    }
}

/// Time for which a restarting target is away.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Time from the restart of a target until it registers.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_500);

#[tokio::test]
async fn targets_that_restart_at_their_addresses_are_spared_before_they_register() {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let before: Vec<RestartingTarget> = TARGETS
        .iter()
        .map(|_| RestartingTarget::start(any))
        .collect();
    let addresses: Vec<SocketAddr> = before.iter().map(|it| it.address).collect();
    let fleet = Fleet::start(&addresses).await;
    fleet.call_for(RAISE_TIME).await;
    let restarts = async {
        for target in &before {
            target.end.cancel();
        }
        sleep(AWAY_TIME).await;
        let after: Vec<RestartingTarget> = addresses
            .iter()
            .copied()
            .map(RestartingTarget::start)
            .collect();
        sleep(REGISTRATION_DELAY).await;
        for (name, address) in TARGETS.iter().zip(&addresses) {
            let cold_ms = COLD_MS - u64::try_from(REGISTRATION_DELAY.as_millis()).unwrap();
            fleet.register(name, *address, 2, cold_ms).await;
        }
        after
    };
    let time = Duration::from_millis(COLD_MS - 1_000);
    let (after, _) = tokio::join!(restarts, fleet.call_for(AWAY_TIME + time));
    for target in &after {
        let arrivals = target.arrivals.lock().unwrap();
        let most = most_in_window(&arrivals, WINDOW);
        println!("{most} calls in a second of {}", arrivals.len());
        assert!(most <= MAX_CALLS_COUNT, "{most} calls in a second");
        assert!(arrivals.len() > COLD_PER_S, "the target bears calls");
    }
}
