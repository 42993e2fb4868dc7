//! Client accounts never see each other's prompts, cache or answers: two accounts send the same
//! prompts, the same idempotency keys and each other's request ids, through real daemons.

mod support;

use {
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    standin::engine::Audit,
    std::{collections::BTreeMap, io, net::SocketAddr, time::Duration},
    support::{
        caller::{End, Seen, send},
        http::Connection,
        objects::{self, ACCOUNT, CALLER_KEY, MODEL, SERVICE},
        world::{World, WorldSettings},
    },
    tokio::task::JoinSet,
};

/// The other client account and its key.
const OTHER_ACCOUNT: &str = "frio-austral";
const OTHER_KEY: &str = "other-key-of-the-test";
/// Prompts that both accounts send, each two pieces long.
const PROMPTS_COUNT: usize = 12;
const PROMPT_BYTES: usize = 16_100;
/// Idempotency keys that both accounts use, each several times at once.
const ORDERS_COUNT: usize = 12;
const TRIES_COUNT: usize = 3;

/// Whose key a caller has.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Who {
    First,
    Other,
}

impl Who {
    const BOTH: [Self; 2] = [Self::First, Self::Other];

    fn key(self) -> &'static str {
        match self {
            Self::First => CALLER_KEY,
            Self::Other => OTHER_KEY,
        }
    }

    fn account(self) -> &'static str {
        match self {
            Self::First => ACCOUNT,
            Self::Other => OTHER_ACCOUNT,
        }
    }
}

/// What one account saw.
struct Observed {
    who: Who,
    /// Number of the prompt or of the order.
    number: usize,
    seen: Seen,
}

/// Whether the second account is one of its own, or the naive way: a second key of the first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    OwnAccount,
    SharedAccount,
}

async fn start(way: Way) -> io::Result<World> {
    let settings = WorldSettings {
        engines_count: 1,
        ..WorldSettings::new(env!("CARGO_BIN_EXE_rattand"))
    };
    let world = World::start(settings).await?;
    let change = match way {
        Way::OwnAccount => json!({"put": objects::account(OTHER_ACCOUNT, OTHER_KEY)}),
        Way::SharedAccount => shared_account(&world).await?,
    };
    let mut operator = operator(&world).await?;
    operator
        .json(Method::POST, "/v1/operator/apply", &json!([change]))
        .await?;
    for entry in &world.entries {
        wait_until_known(entry.address).await?;
    }
    Ok(world)
}

async fn operator(world: &World) -> io::Result<Connection> {
    Connection::open(world.entries[0].address, support::world::OPERATOR_KEY).await
}

/// The first account with the other key added to its own.
async fn shared_account(world: &World) -> io::Result<Value> {
    let path = format!("/v1/operator/client_account/{ACCOUNT}");
    let found = operator(world)
        .await?
        .json(Method::GET, &path, &Value::Null)
        .await?;
    let mut account = objects::account(ACCOUNT, CALLER_KEY);
    account["key_digests"] = json!([
        gateway::digest_of(CALLER_KEY),
        gateway::digest_of(OTHER_KEY)
    ]);
    Ok(json!({"put": account, "revision": found["revision"]}))
}

/// Waits until an entry knows the other key.
async fn wait_until_known(address: SocketAddr) -> io::Result<()> {
    for _ in 0..400 {
        let mut caller = Connection::open(address, OTHER_KEY).await?;
        let (status, _) = caller
            .call(Method::GET, "/v1/entries", &Value::Null)
            .await?;
        if status == StatusCode::OK {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(io::Error::other("the key is not known"))
}

/// A prompt whose text depends on its number alone.
fn prompt(number: usize) -> String {
    format!("template {number:04} ").repeat(PROMPT_BYTES / 14 + 1)[..PROMPT_BYTES].to_owned()
}

/// A completion that also claims, in fields of the caller's own, to be the first account's.
async fn complete(address: SocketAddr, who: Who, number: usize) -> Observed {
    let body = json!({
        "model": MODEL,
        "prompt": prompt(number),
        "max_tokens": 3,
        "cache_salt": ACCOUNT,
        "client_account": ACCOUNT,
        "user": ACCOUNT,
    });
    let seen = send(address, who.key(), "/v1/completions", &body, None).await;
    Observed { who, number, seen }
}

/// The first account warms each prompt up, then both send all of them at once.
async fn send_prompts(world: &World) -> Vec<Observed> {
    let mut observed = Vec::new();
    for number in 0..PROMPTS_COUNT {
        let entry = &world.entries[number % world.entries.len()];
        observed.push(complete(entry.address, Who::First, number).await);
    }
    let mut tasks = JoinSet::new();
    for number in 0..PROMPTS_COUNT {
        for who in Who::BOTH {
            let entry = &world.entries[(number + 1) % world.entries.len()];
            tasks.spawn(complete(entry.address, who, number));
        }
    }
    observed.extend(tasks.join_all().await);
    observed
}

/// Both accounts use the same idempotency keys, several times at once through different entries.
async fn send_orders(world: &World) -> Vec<Observed> {
    let mut tasks = JoinSet::new();
    for number in 0..ORDERS_COUNT {
        for (index, who) in Who::BOTH
            .into_iter()
            .cycle()
            .take(2 * TRIES_COUNT)
            .enumerate()
        {
            let address = world.entries[(number + index / 2) % world.entries.len()].address;
            tasks.spawn(async move {
                let path = format!("/v1/services/{SERVICE}/book");
                let key = format!("order-{number:03}");
                let body = json!({"cold_room": number});
                let seen = send(address, who.key(), &path, &body, Some(&key)).await;
                Observed { who, number, seen }
            });
        }
    }
    tasks.join_all().await
}

/// What the other account learns by looking up the first one's request ids.
async fn look_up(world: &World, stolen: &[Observed]) -> io::Result<Vec<String>> {
    let mut violations = Vec::new();
    for address in world.entries.iter().map(|entry| entry.address) {
        let mut thief = Connection::open(address, OTHER_KEY).await?;
        let absent = thief
            .call(Method::GET, "/v1/decisions/none", &Value::Null)
            .await?;
        for request in stolen
            .iter()
            .filter(|it| it.who == Who::First)
            .map(|it| &it.seen.request)
        {
            let path = format!("/v1/decisions/{request}");
            let found = thief.call(Method::GET, &path, &Value::Null).await?;
            if found != absent {
                violations.push(format!("{path} told {found:?}"));
            }
            let path = format!("/v1/operator/decisions/{request}");
            let (status, _) = thief.call(Method::GET, &path, &Value::Null).await?;
            if status != StatusCode::FORBIDDEN {
                violations.push(format!("{path} answered {status}"));
            }
        }
    }
    Ok(violations)
}

/// Prompts: no account's first visit finds cache, and the engine ran each under its account's salt.
fn judge_prompts(observed: &[Observed], audit: &Audit) -> Vec<String> {
    let mut violations = Vec::new();
    let salts: BTreeMap<&str, &str> = audit
        .runs
        .iter()
        .map(|run| (run.request_id.as_str(), run.salt.as_str()))
        .collect();
    for Observed { who, number, seen } in observed {
        if seen.end != End::Whole {
            violations.push(format!("{who:?} got no whole answer: {seen:?}"));
        }
        let salt = salts.get(seen.request.as_str()).copied();
        if salt != Some(who.account()) {
            violations.push(format!(
                "prompt {number} of {who:?} ran under the salt {salt:?}"
            ));
        }
        if *who == Who::Other && seen.cached_tokens > 0 {
            let tokens = seen.cached_tokens;
            violations.push(format!(
                "{who:?} found {tokens} cached tokens of prompt {number}"
            ));
        }
    }
    if audit.foreign_blocks > 0 {
        violations.push(format!("{} foreign blocks", audit.foreign_blocks));
    }
    violations
}

/// Orders: each account's order ran once, and its answers are those of its own run.
fn judge_orders(world: &World, observed: &[Observed]) -> Vec<String> {
    let ledger = world.service.role().ledger();
    let mut violations = Vec::new();
    for number in 0..ORDERS_COUNT {
        for who in Who::BOTH {
            let key = format!("order-{number:03}");
            let runs: Vec<&str> = ledger
                .iter()
                .filter(|run| run.client_account == who.account())
                .filter(|run| run.idempotency_key.contains(&key))
                .map(|run| run.request_id.as_str())
                .collect();
            let own = observed
                .iter()
                .filter(|it| it.who == who && it.number == number);
            for seen in own.map(|it| &it.seen).filter(|seen| seen.status == 200) {
                let answer: Value = serde_json::from_str(&seen.text).unwrap_or_default();
                let ran = answer["request_id"].as_str().unwrap_or_default();
                if !runs.contains(&ran) {
                    violations.push(format!(
                        "{who:?} got the answer {ran}, its own are {runs:?}"
                    ));
                }
            }
        }
    }
    violations
}

/// What the checks found, by what was tried.
struct Violations {
    prompts: Vec<String>,
    orders: Vec<String>,
    lookups: Vec<String>,
}

async fn run(way: Way) -> io::Result<Violations> {
    let world = start(way).await?;
    let prompts = send_prompts(&world).await;
    let orders = send_orders(&world).await;
    let violations = Violations {
        prompts: judge_prompts(&prompts, &world.engines[0].role().audit()),
        orders: judge_orders(&world, &orders),
        lookups: look_up(&world, &prompts).await?,
    };
    let answered = orders.iter().filter(|it| it.seen.status == 200).count();
    println!(
        "{way:?}: {} completions, {} orders ({answered} answered), violations: {} prompts, {} orders, \
         {} look-ups",
        prompts.len(),
        orders.len(),
        violations.prompts.len(),
        violations.orders.len(),
        violations.lookups.len(),
    );
    Ok(violations)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accounts_see_nothing_of_each_other() {
    let violations = run(Way::OwnAccount).await.expect("run");
    assert_eq!(violations.prompts, Vec::<String>::new());
    assert_eq!(violations.orders, Vec::<String>::new());
    assert_eq!(violations.lookups, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_customers_under_one_account_are_caught() {
    let violations = run(Way::SharedAccount).await.expect("run");
    assert!(!violations.prompts.is_empty(), "cache is shared");
    assert!(!violations.orders.is_empty(), "answers are shared");
    assert!(!violations.lookups.is_empty(), "decisions are shared");
}

#[tokio::test]
async fn strangers_learn_nothing() {
    let world = start(Way::OwnAccount).await.expect("start");
    let paths = [
        "/v1/entries",
        "/v1/decisions/none",
        "/v1/operator/status",
        "/v1/none",
    ];
    let mut stranger = Connection::open(world.entries[0].address, "no-key")
        .await
        .expect("entry");
    for path in paths {
        let (status, body) = stranger
            .call(Method::GET, path, &Value::Null)
            .await
            .expect(path);
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{path}");
        assert!(!String::from_utf8_lossy(&body).contains("no-key"), "{path}");
    }
    let mut caller = Connection::open(world.entries[0].address, CALLER_KEY)
        .await
        .expect("entry");
    for path in [
        "/v1/operator/status",
        "/v1/operator/client_account",
        "/v1/operator/none",
    ] {
        let (status, _) = caller
            .call(Method::GET, path, &Value::Null)
            .await
            .expect(path);
        assert_eq!(status, StatusCode::FORBIDDEN, "{path}");
    }
}
