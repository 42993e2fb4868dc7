//! Guards against leaks between client accounts: they must not see each other's prompts, cache or
//! answers. Two accounts send the same prompts, the same idempotency keys and each other's request
//! ids through real daemons.

mod support;

use {
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    standin::engine::Audit,
    std::{collections::BTreeMap, io, net::SocketAddr, time::Duration},
    support::{
        caller::{End, ReceivedAnswer, send},
        http::Connection,
        objects::{self, ACCOUNT, CALLER_KEY, MODEL, SERVICE},
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::task::JoinSet,
};

/// The other client account and its key.
const OTHER_ACCOUNT: &str = "frio-austral";
const OTHER_KEY: &str = "other-key-of-the-test";
/// Prompts that both accounts send. Each has two pieces.
const PROMPTS_COUNT: usize = 12;
const PROMPT_BYTES: usize = 16_100;
/// Idempotency keys that both accounts use, each several times concurrently.
const ORDERS_COUNT: usize = 12;
const ATTEMPTS_PER_ACCOUNT_COUNT: usize = 3;

/// Account whose key a caller uses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TestAccount {
    First,
    Other,
}

impl TestAccount {
    const BOTH: [Self; 2] = [Self::First, Self::Other];

    fn key(self) -> &'static str {
        match self {
            Self::First => CALLER_KEY,
            Self::Other => OTHER_KEY,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::First => ACCOUNT,
            Self::Other => OTHER_ACCOUNT,
        }
    }
}

/// One request of an account and the answer it received.
struct Observed {
    account: TestAccount,
    /// Number of the prompt or of the order.
    number: usize,
    received: ReceivedAnswer,
}

/// Whether the second key belongs to its own account, or to the first account for comparison.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AccountSetup {
    OwnAccount,
    SharedAccount,
}

async fn start(setup: AccountSetup) -> io::Result<TestSystem> {
    let settings = TestSystemSettings {
        engines_count: 1,
        ..TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"))
    };
    let system = TestSystem::start(settings).await?;
    let change = match setup {
        AccountSetup::OwnAccount => json!({"put": objects::account(OTHER_ACCOUNT, OTHER_KEY)}),
        AccountSetup::SharedAccount => shared_account(&system).await?,
    };
    let mut operator = operator(&system).await?;
    operator
        .json(Method::POST, "/v1/operator/apply", &json!([change]))
        .await?;
    for entry in &system.entries {
        wait_until_known(entry.address).await?;
    }
    Ok(system)
}

async fn operator(system: &TestSystem) -> io::Result<Connection> {
    Connection::open(
        system.entries[0].address,
        support::test_system::OPERATOR_KEY,
    )
    .await
}

/// Returns the change that adds the other key to the first account.
async fn shared_account(system: &TestSystem) -> io::Result<Value> {
    let path = format!("/v1/operator/client_account/{ACCOUNT}");
    let found = operator(system)
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

/// Waits until an entry accepts the other key.
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

/// A prompt whose text depends only on its number.
fn prompt(number: usize) -> String {
    format!("template {number:04} ").repeat(PROMPT_BYTES / 14 + 1)[..PROMPT_BYTES].to_owned()
}

/// Sends a completion whose body falsely names the first account in fields set by the caller.
async fn complete(address: SocketAddr, account: TestAccount, number: usize) -> Observed {
    let body = json!({
        "model": MODEL,
        "prompt": prompt(number),
        "max_tokens": 3,
        "cache_salt": ACCOUNT,
        "client_account": ACCOUNT,
        "user": ACCOUNT,
    });
    let received = send(address, account.key(), "/v1/completions", &body, None).await;
    Observed {
        account,
        number,
        received,
    }
}

/// The first account sends each prompt once, then both send all of them concurrently.
async fn send_prompts(system: &TestSystem) -> Vec<Observed> {
    let mut observed = Vec::new();
    for number in 0..PROMPTS_COUNT {
        let entry = &system.entries[number % system.entries.len()];
        observed.push(complete(entry.address, TestAccount::First, number).await);
    }
    let mut tasks = JoinSet::new();
    for number in 0..PROMPTS_COUNT {
        for account in TestAccount::BOTH {
            let entry = &system.entries[(number + 1) % system.entries.len()];
            tasks.spawn(complete(entry.address, account, number));
        }
    }
    observed.extend(tasks.join_all().await);
    observed
}

/// Sends calls of both accounts with the same idempotency keys, concurrently through different
/// entries.
async fn send_orders(system: &TestSystem) -> Vec<Observed> {
    let mut tasks = JoinSet::new();
    for number in 0..ORDERS_COUNT {
        for (index, account) in TestAccount::BOTH
            .into_iter()
            .cycle()
            .take(2 * ATTEMPTS_PER_ACCOUNT_COUNT)
            .enumerate()
        {
            let address = system.entries[(number + index / 2) % system.entries.len()].address;
            tasks.spawn(async move {
                let path = format!("/v1/services/{SERVICE}/book");
                let key = format!("order-{number:03}");
                let body = json!({"cold_room": number});
                let received = send(address, account.key(), &path, &body, Some(&key)).await;
                Observed {
                    account,
                    number,
                    received,
                }
            });
        }
    }
    tasks.join_all().await
}

/// Looks up request ids of the first account with the other account's key; returns what it learns.
async fn lookup_violations(
    system: &TestSystem,
    first_account_requests: &[Observed],
) -> io::Result<Vec<String>> {
    let mut violations = Vec::new();
    for address in system.entries.iter().map(|entry| entry.address) {
        let mut other_caller = Connection::open(address, OTHER_KEY).await?;
        let absent = other_caller
            .call(Method::GET, "/v1/decisions/none", &Value::Null)
            .await?;
        for request in first_account_requests
            .iter()
            .filter(|it| it.account == TestAccount::First)
            .map(|it| &it.received.request)
        {
            let path = format!("/v1/decisions/{request}");
            let found = other_caller.call(Method::GET, &path, &Value::Null).await?;
            if found != absent {
                violations.push(format!("{path} told {found:?}"));
            }
            let path = format!("/v1/operator/decisions/{request}");
            let (status, _) = other_caller.call(Method::GET, &path, &Value::Null).await?;
            if status != StatusCode::FORBIDDEN {
                violations.push(format!("{path} answered {status}"));
            }
        }
    }
    Ok(violations)
}

/// Checks that the other account finds nothing in the cache, and that the engine ran each prompt
/// with the cache salt of its account.
fn prompt_violations(observed: &[Observed], audit: &Audit) -> Vec<String> {
    let mut violations = Vec::new();
    let salts: BTreeMap<&str, &str> = audit
        .runs
        .iter()
        .map(|run| (run.request_id.as_str(), run.salt.as_str()))
        .collect();
    for Observed {
        account,
        number,
        received,
    } in observed
    {
        if received.end != End::Whole {
            violations.push(format!("{account:?} got no whole answer: {received:?}"));
        }
        let salt = salts.get(received.request.as_str()).copied();
        if salt != Some(account.name()) {
            violations.push(format!(
                "prompt {number} of {account:?} ran under the salt {salt:?}"
            ));
        }
        if *account == TestAccount::Other && received.cached_tokens > 0 {
            let tokens = received.cached_tokens;
            violations.push(format!(
                "{account:?} found {tokens} cached tokens of prompt {number}"
            ));
        }
    }
    if audit.foreign_blocks > 0 {
        violations.push(format!("{} foreign blocks", audit.foreign_blocks));
    }
    violations
}

/// Checks that the answers of each account belong to its own calls.
fn order_violations(system: &TestSystem, observed: &[Observed]) -> Vec<String> {
    let ledger = system.service.role().ledger();
    let mut violations = Vec::new();
    for number in 0..ORDERS_COUNT {
        for account in TestAccount::BOTH {
            let key = format!("order-{number:03}");
            let runs: Vec<&str> = ledger
                .iter()
                .filter(|run| run.client_account == account.name())
                .filter(|run| run.idempotency_key.contains(&key))
                .map(|run| run.request_id.as_str())
                .collect();
            let own = observed
                .iter()
                .filter(|it| it.account == account && it.number == number);
            for received in own
                .map(|it| &it.received)
                .filter(|received| received.status == 200)
            {
                let answer: Value = serde_json::from_str(&received.text).unwrap_or_default();
                let ran = answer["request_id"].as_str().unwrap_or_default();
                if !runs.contains(&ran) {
                    violations.push(format!(
                        "{account:?} got the answer {ran}, its own are {runs:?}"
                    ));
                }
            }
        }
    }
    violations
}

/// Violations found, by kind of request.
struct Violations {
    prompts: Vec<String>,
    orders: Vec<String>,
    lookups: Vec<String>,
}

async fn run(setup: AccountSetup) -> io::Result<Violations> {
    let system = start(setup).await?;
    let prompts = send_prompts(&system).await;
    let orders = send_orders(&system).await;
    let violations = Violations {
        prompts: prompt_violations(&prompts, &system.engines[0].role().audit()),
        orders: order_violations(&system, &orders),
        lookups: lookup_violations(&system, &prompts).await?,
    };
    let answered = orders.iter().filter(|it| it.received.status == 200).count();
    println!(
        "{setup:?}: {} completions, {} orders ({answered} answered), violations: {} prompts, {} orders, \
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
async fn accounts_are_isolated() {
    let violations = run(AccountSetup::OwnAccount).await.expect("run");
    assert_eq!(violations.prompts, Vec::<String>::new());
    assert_eq!(violations.orders, Vec::<String>::new());
    assert_eq!(violations.lookups, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shared_account_is_detected() {
    let violations = run(AccountSetup::SharedAccount).await.expect("run");
    assert!(!violations.prompts.is_empty(), "cache is shared");
    assert!(!violations.orders.is_empty(), "answers are shared");
    assert!(!violations.lookups.is_empty(), "decisions are shared");
}

#[tokio::test]
async fn unauthorized_callers_learn_nothing() {
    let system = start(AccountSetup::OwnAccount).await.expect("start");
    let paths = [
        "/v1/entries",
        "/v1/decisions/none",
        "/v1/operator/status",
        "/v1/none",
    ];
    let mut unauthorized_caller = Connection::open(system.entries[0].address, "no-key")
        .await
        .expect("entry");
    for path in paths {
        let (status, body) = unauthorized_caller
            .call(Method::GET, path, &Value::Null)
            .await
            .expect(path);
        assert_eq!(status, StatusCode::UNAUTHORIZED, "{path}");
        assert!(!String::from_utf8_lossy(&body).contains("no-key"), "{path}");
    }
    let mut caller = Connection::open(system.entries[0].address, CALLER_KEY)
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
