//! Guards against incomplete or foreign answers that look complete: each caller gets the complete
//! answer to its own request, or an explicit error.
//!
//! Answers are a function of request id and prompt, so short, crossed or mixed ones are detected.

mod support;

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::json,
    standin::{
        Server, answer_text,
        relay::{Relay, RelaySettings},
    },
    std::{net::SocketAddr, time::Duration},
    support::{
        caller::{End, ReceivedAnswer, send},
        objects::{self, CALLER_KEY, DIGEST, MODEL},
        seed::seeds,
        test_system::{TestSystem, TestSystemSettings},
    },
    tokio::{task::JoinSet, time::sleep},
};

const CALLERS_COUNT: u64 = 16;
const REQUESTS_PER_CALLER_COUNT: u64 = 20;
const ANSWER_TOKENS: u64 = 12;

/// One request and the answer its caller received.
#[derive(Clone, Debug)]
struct Exchange {
    prompt: String,
    received: ReceivedAnswer,
}

/// What is wrong with an exchange, if anything.
fn violation(exchange: &Exchange) -> Option<&'static str> {
    let received = &exchange.received;
    let expected = answer_text(&received.request, &exchange.prompt, ANSWER_TOKENS);
    match received.end {
        End::Whole if received.text == expected => None,
        End::Whole => Some("an answer passed off as whole is short or another one's"),
        End::TimedOut => Some("the answer never ended"),
        _ if expected.starts_with(&received.text) => None,
        _ => Some("a broken answer holds text of another one"),
    }
}

async fn call(addresses: Vec<SocketAddr>, caller: u64, seed: u64) -> Vec<Exchange> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ ((caller + 1) << 32));
    let mut exchanges = Vec::new();
    for request in 0..REQUESTS_PER_CALLER_COUNT {
        let address = addresses[random.random_range(0..addresses.len())];
        let prompt = format!("caller {caller} asks {request}");
        let body = json!({
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": ANSWER_TOKENS,
            "stream": random.random_bool(0.7),
        });
        let answer = send(address, CALLER_KEY, "/v1/completions", &body, None).await;
        exchanges.push(Exchange {
            prompt,
            received: answer,
        });
        sleep(Duration::from_millis(random.random_range(0..10))).await;
    }
    exchanges
}

/// Starts two entries and two engines, the second of which is also configured through a relay.
async fn start() -> (TestSystem, Server<Relay>) {
    let settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    let system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let relay = Relay::start(RelaySettings::to(system.engines[1].address)).await;
    let relay = relay.expect("a free port");
    let object = objects::engine("engine-relayed", relay.role().address);
    system.apply(&[object]).await.expect("accepted");
    (system, relay)
}

fn inject_fault(system: &TestSystem, relay: &Server<Relay>, choice: u32, tokens: u64) {
    let set = |engine: usize, switches| {
        system.engines[engine]
            .set_faults(&switches)
            .expect("known faults");
    };
    let mode = |mode: &str| relay.set_faults(&json!({"mode": mode})).expect("faults");
    match choice {
        0 => set(0, json!({"cut_after_tokens": tokens})),
        1 => set(1, json!({"cut_after_tokens": tokens})),
        2 => set(0, json!({"silent_after_tokens": tokens})),
        3 => set(0, json!({"cross_answers": true})),
        4 => set(1, json!({"cross_answers": true})),
        5 => set(1, json!({"delay_ms": 60})),
        6 => mode("cut"),
        7 => mode("blackhole"),
        _ => {
            set(1, json!({"delay_ms": 0}));
            mode("pass");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_whole_and_ones_own_or_end_in_an_error() {
    for seed in seeds(1..=1) {
        race(seed).await;
    }
}

/// Sends requests while engines, links and one entry fail, and checks every answer.
async fn race(seed: u64) {
    let (mut system, relay) = start().await;
    let addresses: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.address).collect();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS_COUNT {
        callers.spawn(call(addresses.clone(), caller, seed));
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut exchanges = Vec::new();
    let mut rounds = 0;
    while !callers.is_empty() {
        let tokens = random.random_range(0..ANSWER_TOKENS);
        inject_fault(&system, &relay, random.random_range(0..12), tokens);
        sleep(Duration::from_millis(30)).await;
        rounds += 1;
        if rounds == 12 {
            // Kills one entry with its open streams; further requests succeed at the other entry.
            drop(system.entries.remove(0));
        }
        while let Some(joined) = callers.try_join_next() {
            exchanges.extend(joined.expect("no caller panics"));
        }
    }
    let count = |wanted: fn(&ReceivedAnswer) -> bool| {
        let answers = exchanges.iter().map(|exchange| &exchange.received);
        answers.filter(|received| wanted(received)).count()
    };
    let whole = count(|received| received.end == End::Whole);
    let part = count(|received| received.end != End::Whole && !received.text.is_empty());
    println!(
        "seed {seed}: {} requests, {whole} whole, {part} broken off",
        exchanges.len()
    );
    for exchange in &exchanges {
        assert_eq!(violation(exchange), None, "{exchange:?}");
    }
    assert!(
        whole > 0 && part > 0,
        "too little happened to show anything"
    );
}

/// The token count at the end of an answer reveals a repeated token, so the answer must not be
/// passed on as complete.
#[tokio::test]
async fn answer_with_a_repeated_token_is_not_complete() {
    let (system, _relay) = start().await;
    let repeat = json!({"repeat_after_tokens": 3});
    for engine in &system.engines {
        engine.set_faults(&repeat).expect("known faults");
    }
    for stream in [true, false] {
        let body = json!({
            "model": MODEL, "prompt": "p", "max_tokens": ANSWER_TOKENS, "stream": stream,
        });
        let address = system.entries[0].address;
        let received = send(address, CALLER_KEY, "/v1/completions", &body, None).await;
        let expected = answer_text(&received.request, "p", ANSWER_TOKENS);
        assert!(
            received.end != End::Whole || received.text == expected,
            "{received:?}"
        );
        assert!(
            !matches!(received.end, End::Torn | End::TimedOut),
            "{received:?}"
        );
    }
}

/// Without the daemon, callers of an engine get each other's answers, which the check must detect.
#[tokio::test]
async fn crossed_answers_are_detected() {
    let (system, _relay) = start().await;
    let engine = &system.engines[0];
    engine
        .set_faults(&json!({"cross_answers": true}))
        .expect("known faults");
    let ask = |request: &'static str| async move {
        let body = json!({
            "prompt": request, "request_id": request, "version": DIGEST,
            "max_tokens": ANSWER_TOKENS, "stream": true,
        });
        let mut received = send(engine.address, "", "/v1/completions", &body, None).await;
        request.clone_into(&mut received.request);
        Exchange {
            prompt: request.to_owned(),
            received,
        }
    };
    let (first, second) = tokio::join!(ask("r1"), ask("r2"));
    assert!(violation(&first).is_some() && violation(&second).is_some());
}
