//! Guards against running a completion with an idempotency key twice; retries get the same answer.

mod support;

use {
    bytes::Bytes,
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    standin::Caller,
    std::net::SocketAddr,
    support::{
        objects::{CALLER_KEY, MODEL},
        test_system::{TestSystem, TestSystemSettings},
    },
};

const KEY: &str = "review-81";

async fn ask(entry: SocketAddr, prompt: &str) -> (StatusCode, Value) {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 8});
    let headers = [("idempotency-key", KEY)];
    let body = Bytes::from(body.to_string());
    let answer = Caller::new(CALLER_KEY)
        .call(entry, Method::POST, "/v1/completions", &headers, body)
        .await;
    let (status, body) = answer.expect("an answer");
    (status, serde_json::from_slice(&body).expect("JSON"))
}

fn runs_count(system: &TestSystem) -> usize {
    let audits = system.engines.iter().map(|engine| engine.role().audit());
    audits.map(|audit| audit.runs.len()).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repetitions_through_other_entries_get_the_stored_answer() {
    let settings = TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"));
    let system = TestSystem::start(settings)
        .await
        .expect("the system starts");
    let prompt = "review the template ".repeat(100);
    let before_count = runs_count(&system);
    let [first, second] = [0, 1].map(|index: usize| system.entries[index].address);
    let (concurrent_left, concurrent_right) =
        tokio::join!(ask(first, &prompt), ask(second, &prompt));
    let (status, answer) = ask(second, &prompt).await;
    assert_eq!(status, StatusCode::OK);
    let text = &answer["choices"][0]["text"];
    for (status, answer) in [concurrent_left, concurrent_right] {
        match status {
            StatusCode::OK => assert_eq!(&answer["choices"][0]["text"], text),
            other => {
                assert_eq!(other, StatusCode::CONFLICT, "{answer}");
                assert_eq!(answer["error"]["outcome"], "unknown");
            }
        }
    }
    assert_eq!(runs_count(&system), before_count + 1);
    let (status, answer) = ask(first, "another prompt").await;
    assert_eq!(status, StatusCode::CONFLICT, "{answer}");
    assert_eq!(answer["error"]["outcome"], "not_run");
}
