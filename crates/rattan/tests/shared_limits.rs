//! Guards against several instances that each grant the whole limit of a client account.

mod support;

use {
    hyper::Method,
    serde_json::{Value, json},
    std::{io, net::SocketAddr, time::Duration},
    support::{
        caller::{End, ReceivedAnswer, send},
        http::Connection,
        objects::{self, MODEL},
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::task::JoinSet,
};

const ENTRIES_COUNT: usize = 5;
const LIMITED_ACCOUNT: &str = "frio-austral";
const LIMITED_KEY: &str = "limited-key-of-the-test";
const MAX_RUNNING_COUNT: usize = 20;
const CALLS_PER_ENTRY_COUNT: usize = 30;
/// Answers take longer than a call may wait in the queue, so that those answered ran at once.
const TOKEN_TIME: Duration = Duration::from_millis(20);
const ANSWER_TOKENS: usize = 200;
/// Time after which instances grant their parts of the limits.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Part of the limit that callers must get from the instance that they are told to use first.
const MIN_FIRST_COUNT: usize = 12;

async fn start() -> io::Result<TestSystem> {
    let mut settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    settings.entries_count = ENTRIES_COUNT;
    settings.engine.token_time = TOKEN_TIME;
    let system = TestSystem::start(settings).await?;
    let mut account = objects::account(LIMITED_ACCOUNT, LIMITED_KEY);
    account["max_running_count"] = MAX_RUNNING_COUNT.into();
    system.apply(&[account]).await?;
    tokio::time::sleep(SETTLING_TIME).await;
    Ok(system)
}

/// Sends many calls at once to each of the entries.
async fn flood(entries: &[SocketAddr]) -> Vec<ReceivedAnswer> {
    let mut tasks = JoinSet::new();
    for address in entries.iter().copied() {
        for number in 0..CALLS_PER_ENTRY_COUNT {
            tasks.spawn(async move {
                let body = json!({
                    "model": MODEL,
                    "prompt": format!("fault code {number} of {address}"),
                    "max_tokens": ANSWER_TOKENS,
                    "stream": true,
                });
                send(address, LIMITED_KEY, "/v1/completions", &body, None).await
            });
        }
    }
    tasks.join_all().await
}

fn whole_count(answers: &[ReceivedAnswer]) -> usize {
    answers.iter().filter(|it| it.end == End::Whole).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entries_together_keep_the_limit_of_an_account() {
    let system = start().await.expect("start");
    let entries: Vec<SocketAddr> = system.entries.iter().map(|it| it.address).collect();
    let answers = flood(&entries).await;
    let count = whole_count(&answers);
    println!("{count} of {} calls ran at once", answers.len());
    assert!(count <= MAX_RUNNING_COUNT, "{count} ran at once");
    assert!(count >= MIN_FIRST_COUNT, "{count} ran at once");
    let refused = answers.iter().filter(|it| it.end != End::Whole);
    for answer in refused {
        let End::Refused { message, .. } = &answer.end else {
            panic!("{answer:?}");
        };
        assert!(answer.is_refused("not_run"), "{answer:?}");
        assert!(message.contains("this instance of 5 grants"), "{message}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_that_callers_are_told_to_use_grants_most() {
    let system = start().await.expect("start");
    let mut caller = Connection::open(system.entries[0].address, LIMITED_KEY)
        .await
        .expect("entry");
    let listed = caller
        .json(Method::GET, "/v1/entries", &Value::Null)
        .await
        .expect("entries");
    let first = listed["entries"][0]["address"].as_str().expect("address");
    let answers = flood(&[first.parse().expect("address")]).await;
    let count = whole_count(&answers);
    println!("{count} of {} calls ran at once", answers.len());
    assert!(
        (MIN_FIRST_COUNT..=MAX_RUNNING_COUNT).contains(&count),
        "{count} ran at once"
    );
}
