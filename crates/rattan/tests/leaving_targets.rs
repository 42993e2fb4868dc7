//! Guards against new work reaching a leaving target. It must stop within a few seconds, whichever
//! entries see the target leave and whatever else fails. Checked by the ledgers of the targets.

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
        http::Connection,
        objects::{self, ACCOUNT, CALLER_KEY},
        service_calls::{ServiceCall, send},
        test_system::{OPERATOR_KEY, REGION, TestSystem, TestSystemSettings, complete},
    },
    tokio::time::{Instant, sleep},
};

/// Longest time between the first sign that a target leaves and its last new work.
const MAX_LEAVING_TIME: Duration = Duration::from_secs(4);
/// How long calls are sent after that, none of which may reach the target.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);
/// Number of concurrent callers.
const CALLERS_COUNT: usize = 8;
/// Name of the target that leaves.
const LEAVING_TARGET: &str = "service-leaving";

/// A system with two targets for one service, one of which will leave.
struct Fixture {
    system: TestSystem,
    leaving: Server<Service>,
}

impl Fixture {
    async fn start(settings: TestSystemSettings) -> Self {
        let system = TestSystem::start(settings)
            .await
            .expect("the system starts");
        let leaving = Service::start(ServiceSettings::default()).await;
        let leaving = leaving.expect("a free port");
        let fixture = Self { system, leaving };
        fixture.set_listed_state(Some("live"));
        let object = objects::service(LEAVING_TARGET, fixture.leaving.address);
        fixture.system.apply(&[object]).await.expect("applied");
        fixture
    }

    /// Sets the state of the leaving target in the instance list, or removes it from the list.
    fn set_listed_state(&self, state: Option<&str>) {
        let entry = state.map(|state| {
            json!({
                "name": LEAVING_TARGET,
                "role": "service",
                "address": self.leaving.address,
                "region": REGION,
                "failure_domain": "fd-0",
                "state": state,
            })
        });
        self.system.instances.role().change(LEAVING_TARGET, entry);
    }

    fn leaving_calls_count(&self) -> usize {
        self.leaving.role().ledger().len()
    }

    /// Sends calls through all entries for `time`; returns how many were answered.
    async fn send_calls(&self, label: &str, path: &str, time: Duration) -> usize {
        let end = Instant::now() + time;
        let entries: Vec<SocketAddr> = self
            .system
            .entries
            .iter()
            .map(|entry| entry.address)
            .collect();
        let callers = (0..CALLERS_COUNT).map(|caller| {
            let address = entries[caller % entries.len()];
            let (label, path) = (format!("{label}-{caller}"), path.to_owned());
            tokio::spawn(send_calls_until(address, label, path, end))
        });
        let mut answered = 0;
        for caller in callers.collect::<Vec<_>>() {
            answered += caller.await.expect("no panic");
        }
        answered
    }

    /// Asserts that the leaving target gets no calls once [`MAX_LEAVING_TIME`] has passed.
    async fn assert_gets_no_calls(&self, path: &str) {
        self.send_calls("bound", path, MAX_LEAVING_TIME).await;
        let before = self.leaving_calls_count();
        let answered = self.send_calls("after", path, OBSERVATION_TIME).await;
        assert!(answered > 0, "no call was answered");
        assert_eq!(
            self.leaving_calls_count(),
            before,
            "new work at a leaving target"
        );
    }
}

async fn send_calls_until(address: SocketAddr, label: String, path: String, end: Instant) -> usize {
    let mut answered = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let service_call = ServiceCall {
            account: ACCOUNT.to_owned(),
            caller_key: CALLER_KEY.to_owned(),
            idempotency_key: format!("{label}-{number}"),
            path: path.clone(),
        };
        answered += usize::from(send(address, &service_call).await.is_answer());
        sleep(Duration::from_millis(5)).await;
    }
    answered
}

fn settings() -> TestSystemSettings {
    TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"))
}

#[tokio::test]
async fn target_removed_from_the_list_gets_no_calls() {
    let mut settings = settings();
    settings.list_lag = Duration::from_secs(1);
    let fixture = Fixture::start(settings).await;
    fixture
        .send_calls("live", "/book", Duration::from_millis(2_500))
        .await;
    assert!(
        fixture.leaving_calls_count() > 0,
        "the target is used while it is live"
    );
    fixture.set_listed_state(Some("leaving"));
    fixture
        .send_calls("listed", "/book", Duration::from_secs(2))
        .await;
    fixture.set_listed_state(None);
    fixture.assert_gets_no_calls("/book").await;
}

#[tokio::test]
async fn target_leaving_during_a_key_value_outage_gets_no_calls() {
    let fixture = Fixture::start(settings()).await;
    fixture
        .send_calls("live", "/status", Duration::from_secs(1))
        .await;
    assert!(
        fixture.leaving_calls_count() > 0,
        "the target is used while it is live"
    );
    let down: Value = json!({"down": true});
    fixture.system.kv.set_faults(&down).expect("known faults");
    fixture.set_listed_state(Some("leaving"));
    // Calls that need a claim are refused during the outage. These calls need none.
    fixture.assert_gets_no_calls("/status").await;
}

#[tokio::test]
async fn drained_target_gets_no_calls_while_the_list_is_unreadable() {
    let fixture = Fixture::start(settings()).await;
    fixture
        .send_calls("live", "/book", Duration::from_secs(1))
        .await;
    assert!(
        fixture.leaving_calls_count() > 0,
        "the target is used while it is live"
    );
    let down: Value = json!({"down": true});
    fixture
        .system
        .instances
        .set_faults(&down)
        .expect("known faults");
    let address = fixture.system.entries[0].address;
    let mut operator = Connection::open(address, OPERATOR_KEY).await.expect("open");
    let path = format!("/v1/operator/target/{LEAVING_TARGET}/drain");
    operator
        .json(Method::POST, &path, &Value::Null)
        .await
        .expect("drained");
    fixture.assert_gets_no_calls("/book").await;
}

#[tokio::test]
async fn target_gets_no_calls_if_only_some_entries_see_it_leave() {
    let fixture = Fixture::start(settings()).await;
    let relay = Relay::start(RelaySettings::to(fixture.system.instances.address)).await;
    let relay = relay.expect("a free port");
    let mut fixture = fixture;
    // The additional entry reads the list through a relay, which is cut before the target leaves.
    fixture.system.settings.flags = vec![("instance-list", relay.role().address.to_string())];
    fixture.system.add_entry().await.expect("an entry starts");
    fixture
        .send_calls("live", "/book", Duration::from_secs(1))
        .await;
    assert!(
        fixture.leaving_calls_count() > 0,
        "the target is used while it is live"
    );
    relay
        .set_faults(&json!({"mode": "cut"}))
        .expect("known faults");
    fixture.set_listed_state(Some("leaving"));
    fixture.assert_gets_no_calls("/book").await;
}

/// Sends prompts to all entries until `end`; returns how many were answered.
async fn send_prompts_until(entries: &[SocketAddr], end: Instant) -> usize {
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
async fn queued_prompts_are_not_sent_to_a_leaving_engine() {
    let mut settings = settings();
    settings.engine.max_running_count = 2;
    settings.engine.token_time = Duration::from_millis(20);
    let system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let engine = |state: &str| {
        json!({
            "name": "engine-0",
            "role": "engine",
            "address": system.engines[0].address,
            "region": REGION,
            "failure_domain": "fd-0",
            "state": state,
        })
    };
    let list = system.instances.role();
    list.change("engine-0", Some(engine("live")));
    let entries: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.address).collect();
    let runs_count = || system.engines[0].role().audit().runs.len();
    let answered_count = tokio::spawn({
        let entries = entries.clone();
        let end = Instant::now() + Duration::from_secs(2) + MAX_LEAVING_TIME + OBSERVATION_TIME;
        async move { send_prompts_until(&entries, end).await }
    });
    sleep(Duration::from_secs(2)).await;
    assert!(runs_count() > 0, "the engine is used while it is live");
    system
        .kv
        .set_faults(&json!({"down": true}))
        .expect("known faults");
    list.change("engine-0", Some(engine("leaving")));
    sleep(MAX_LEAVING_TIME).await;
    let before = runs_count();
    assert!(answered_count.await.expect("no panic") > 0);
    assert_eq!(runs_count(), before, "new work at a leaving engine");
}
