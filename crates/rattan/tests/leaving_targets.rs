//! A leaving target gets no new work after a few seconds, whoever sees it leave and whatever else
//! fails meanwhile. What arrives at the targets is the judge.

mod support;

use {
    hyper::Method,
    serde_json::{Value, json},
    standin::{
        Server,
        relay::{Relay, RelaySettings},
        service::{Service, ServiceSettings},
    },
    std::{net::SocketAddr, time::Duration},
    support::{
        booking::{Order, send},
        http::Connection,
        objects::{self, ACCOUNT, CALLER_KEY},
        world::{OPERATOR_KEY, REGION, World, WorldSettings, complete},
    },
    tokio::time::{Instant, sleep},
};

/// Longest time from the first sign of leaving to the last new work.
const BOUND: Duration = Duration::from_secs(4);
/// How long new work is offered after that.
const WATCHED: Duration = Duration::from_secs(3);
/// Callers at once.
const CALLERS_COUNT: usize = 8;
/// Name of the target that leaves.
const LEAVING: &str = "service-leaving";

/// A system with two targets for one service, one of which is going to leave.
struct Rig {
    world: World,
    leaving: Server<Service>,
}

impl Rig {
    async fn start(settings: WorldSettings) -> Self {
        let world = World::start(settings).await.expect("a world");
        let leaving = Service::start(ServiceSettings::default()).await;
        let leaving = leaving.expect("a free port");
        let rig = Self { world, leaving };
        rig.list(Some("live"));
        let object = objects::service(LEAVING, rig.leaving.address);
        rig.world.apply(&[object]).await.expect("applied");
        rig
    }

    /// Sets the leaving target's state in the instance list, or takes it off.
    fn list(&self, state: Option<&str>) {
        let entry = state.map(|state| {
            json!({
                "name": LEAVING,
                "role": "service",
                "address": self.leaving.address,
                "region": REGION,
                "failure_domain": "fd-0",
                "state": state,
            })
        });
        self.world.instances.role().change(LEAVING, entry);
    }

    fn leaving_count(&self) -> usize {
        self.leaving.role().ledger().len()
    }

    /// Offers work through all entries for `time`; gives how many orders were answered.
    async fn offer(&self, label: &str, path: &str, time: Duration) -> usize {
        let end = Instant::now() + time;
        let entries: Vec<SocketAddr> = self
            .world
            .entries
            .iter()
            .map(|entry| entry.address)
            .collect();
        let callers = (0..CALLERS_COUNT).map(|caller| {
            let address = entries[caller % entries.len()];
            let (label, path) = (format!("{label}-{caller}"), path.to_owned());
            tokio::spawn(offer_until(address, label, path, end))
        });
        let mut answered = 0;
        for caller in callers.collect::<Vec<_>>() {
            answered += caller.await.expect("no panic");
        }
        answered
    }

    /// The leaving target is used before, and gets nothing once the bound has passed.
    async fn assert_left(&self, path: &str) {
        self.offer("bound", path, BOUND).await;
        let before = self.leaving_count();
        let answered = self.offer("after", path, WATCHED).await;
        assert!(answered > 0, "nothing was offered");
        assert_eq!(self.leaving_count(), before, "new work at a leaving target");
    }
}

async fn offer_until(address: SocketAddr, label: String, path: String, end: Instant) -> usize {
    let mut answered = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let order = Order {
            account: ACCOUNT.to_owned(),
            caller_key: CALLER_KEY.to_owned(),
            idempotency_key: format!("{label}-{number}"),
            path: path.clone(),
        };
        answered += usize::from(send(address, &order).await.is_answer());
        sleep(Duration::from_millis(5)).await;
    }
    answered
}

fn settings() -> WorldSettings {
    WorldSettings::new(env!("CARGO_BIN_EXE_rattand"))
}

#[tokio::test]
async fn a_target_that_left_the_list_gets_nothing() {
    let mut settings = settings();
    settings.list_lag = Duration::from_secs(1);
    let rig = Rig::start(settings).await;
    rig.offer("live", "/book", Duration::from_millis(2_500))
        .await;
    assert!(
        rig.leaving_count() > 0,
        "the target is used while it is live"
    );
    rig.list(Some("leaving"));
    rig.offer("listed", "/book", Duration::from_secs(2)).await;
    rig.list(None);
    rig.assert_left("/book").await;
}

#[tokio::test]
async fn a_target_leaves_while_the_key_value_service_is_down() {
    let rig = Rig::start(settings()).await;
    rig.offer("live", "/status", Duration::from_secs(1)).await;
    assert!(
        rig.leaving_count() > 0,
        "the target is used while it is live"
    );
    let down: Value = json!({"down": true});
    rig.world.kv.set_faults(&down).expect("a switch");
    rig.list(Some("leaving"));
    // Calls that need a claim are refused meanwhile; these need none.
    rig.assert_left("/status").await;
}

#[tokio::test]
async fn a_drained_target_leaves_although_the_list_cannot_be_read() {
    let rig = Rig::start(settings()).await;
    rig.offer("live", "/book", Duration::from_secs(1)).await;
    assert!(
        rig.leaving_count() > 0,
        "the target is used while it is live"
    );
    let down: Value = json!({"down": true});
    rig.world.instances.set_faults(&down).expect("a switch");
    let address = rig.world.entries[0].address;
    let mut operator = Connection::open(address, OPERATOR_KEY).await.expect("open");
    let path = format!("/v1/operator/target/{LEAVING}/drain");
    operator
        .json(Method::POST, &path, &Value::Null)
        .await
        .expect("drained");
    rig.assert_left("/book").await;
}

#[tokio::test]
async fn a_target_whose_leaving_only_some_entries_see_gets_nothing() {
    let rig = Rig::start(settings()).await;
    let relay = Relay::start(RelaySettings::to(rig.world.instances.address)).await;
    let relay = relay.expect("a free port");
    let mut rig = rig;
    // The second entry reads the list through a relay that is cut before the target leaves.
    rig.world.settings.flags = vec![("instance-list", relay.role().address.to_string())];
    rig.world.add_entry().await.expect("an entry starts");
    rig.offer("live", "/book", Duration::from_secs(1)).await;
    assert!(
        rig.leaving_count() > 0,
        "the target is used while it is live"
    );
    relay.set_faults(&json!({"mode": "cut"})).expect("a mode");
    rig.list(Some("leaving"));
    rig.assert_left("/book").await;
}

/// Sends prompts to all entries until `end`; gives how many were answered.
async fn prompts(entries: &[SocketAddr], end: Instant) -> usize {
    let callers = (0..CALLERS_COUNT * 2).map(|caller| {
        let address = entries[caller % entries.len()];
        tokio::spawn(async move {
            let mut answered = 0;
            while Instant::now() < end {
                answered += usize::from(complete(address, 20).await.is_ok());
            }
            answered
        })
    });
    let mut answered = 0;
    for caller in callers.collect::<Vec<_>>() {
        answered += caller.await.expect("no panic");
    }
    answered
}

#[tokio::test]
async fn queued_prompts_do_not_go_to_an_engine_that_leaves() {
    let mut settings = settings();
    settings.engine.max_running_count = 2;
    settings.engine.token_time = Duration::from_millis(20);
    let world = World::start(settings).await.expect("a world");
    let engine = |state: &str| {
        json!({
            "name": "engine-0",
            "role": "engine",
            "address": world.engines[0].address,
            "region": REGION,
            "failure_domain": "fd-0",
            "state": state,
        })
    };
    let list = world.instances.role();
    list.change("engine-0", Some(engine("live")));
    let entries: Vec<SocketAddr> = world.entries.iter().map(|entry| entry.address).collect();
    let runs_count = || world.engines[0].role().audit().runs.len();
    let offered = tokio::spawn({
        let entries = entries.clone();
        let end = Instant::now() + Duration::from_secs(2) + BOUND + WATCHED;
        async move { prompts(&entries, end).await }
    });
    sleep(Duration::from_secs(2)).await;
    assert!(runs_count() > 0, "the engine is used while it is live");
    world
        .kv
        .set_faults(&json!({"down": true}))
        .expect("a switch");
    list.change("engine-0", Some(engine("leaving")));
    sleep(BOUND).await;
    let before = runs_count();
    assert!(offered.await.expect("no panic") > 0);
    assert_eq!(runs_count(), before, "new work at a leaving engine");
}
