//! Prefix cache, versions, streams and block transfers of the engine stand-in.

mod support;

use {
    http_body_util::BodyExt,
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    standin::{
        Server, answer_text,
        engine::{Engine, EngineSettings},
        store::{Store, StoreSettings},
    },
    std::net::SocketAddr,
    support::{call, get, post, request, send},
};

const PIECE_BYTES: usize = 8_000;

async fn start_engine(settings: EngineSettings) -> Server<Engine> {
    let settings = EngineSettings {
        time_scale: 0.001,
        ..settings
    };
    Engine::start(settings).await.expect("a free port")
}

fn prompt(pieces: usize) -> String {
    "x".repeat(pieces * PIECE_BYTES)
}

fn body(id: &str, salt: &str, keys: &[&str]) -> Value {
    json!({
        "model": "m", "prompt": prompt(keys.len()), "max_tokens": 3, "request_id": id,
        "cache_salt": salt, "block_keys": keys, "version": "v1",
    })
}

/// Runs a completion, checks its answer, and returns how many prompt tokens came from the cache.
async fn complete_and_count_cached(
    address: SocketAddr,
    id: &str,
    salt: &str,
    keys: &[&str],
) -> u64 {
    let answer = post(address, "/v1/completions", body(id, salt, keys)).await;
    assert_eq!(answer["id"], id);
    let expected = answer_text(id, &prompt(keys.len()), 3);
    assert_eq!(answer["choices"][0]["text"], expected);
    let details = &answer["usage"]["prompt_tokens_details"];
    details["cached_tokens"].as_u64().expect("a count")
}

#[tokio::test]
async fn cached_blocks_are_used_under_same_salt_only() {
    let engine = start_engine(EngineSettings::default()).await;
    assert_eq!(
        complete_and_count_cached(engine.address, "r1", "a", &["k1", "k2"]).await,
        0
    );
    assert_eq!(
        complete_and_count_cached(engine.address, "r2", "a", &["k1", "k3"]).await,
        2_000
    );
    assert_eq!(
        complete_and_count_cached(engine.address, "r3", "b", &["k1", "k2"]).await,
        0
    );
    assert_eq!(engine.role().audit().foreign_blocks, 1);
}

#[tokio::test]
async fn least_recently_used_block_is_evicted_and_reported() {
    let settings = EngineSettings {
        memory_tokens: 4_000,
        ..EngineSettings::default()
    };
    let engine = start_engine(settings).await;
    complete_and_count_cached(engine.address, "r1", "a", &["k1", "k2"]).await;
    complete_and_count_cached(engine.address, "r2", "a", &["k1", "k3"]).await;
    let events = get(engine.address, "/v1/cache/events?after=0").await;
    let seen: Vec<String> = events["events"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|event| format!("{} {}", event["kind"], event["key"]).replace('"', ""))
        .collect();
    assert_eq!(seen, ["stored k1", "stored k2", "stored k3", "removed k2"]);
    let blocks = get(engine.address, "/v1/cache/blocks").await;
    assert_eq!(blocks["blocks"].as_array().expect("a list").len(), 2);
}

#[tokio::test]
async fn new_version_does_not_use_old_blocks() {
    let engine = start_engine(EngineSettings::default()).await;
    complete_and_count_cached(engine.address, "r1", "a", &["k1"]).await;
    let order = json!({"kind": "load_version", "version": "v2"});
    post(
        engine.address,
        "/v1/orders",
        json!({"fencing": 1, "order": order}),
    )
    .await;
    let path = "/v1/completions";
    let old = call(
        engine.address,
        Method::POST,
        path,
        &body("r2", "a", &["k1"]),
    )
    .await;
    let (status, answer) = old.expect("an answer");
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(answer["error"]["version"], "v2");
    let mut new = body("r3", "a", &["k1"]);
    new["version"] = "v2".into();
    let answer = post(engine.address, path, new).await;
    assert_eq!(answer["system_fingerprint"], "v2");
    assert_eq!(answer["usage"]["prompt_tokens_details"]["cached_tokens"], 0);
}

#[tokio::test]
async fn old_fencing_number_is_refused_by_engines_that_check() {
    for checks_fencing in [true, false] {
        let settings = EngineSettings {
            checks_fencing,
            ..EngineSettings::default()
        };
        let engine = start_engine(settings).await;
        let order = json!({"kind": "set_role", "role": "prefill"});
        post(
            engine.address,
            "/v1/orders",
            json!({"fencing": 9, "order": order}),
        )
        .await;
        let old = json!({"fencing": 8, "order": order});
        let answer = call(engine.address, Method::POST, "/v1/orders", &old).await;
        let status = answer.expect("an answer").0;
        assert_eq!(status == StatusCode::CONFLICT, checks_fencing);
    }
}

#[tokio::test]
async fn exported_blocks_can_be_imported_by_other_engine() {
    let store = Store::start(StoreSettings::default())
        .await
        .expect("a port");
    let first = start_engine(EngineSettings::default()).await;
    let second = start_engine(EngineSettings::default()).await;
    complete_and_count_cached(first.address, "r1", "a", &["k1", "k2"]).await;
    let block = |key: &str| json!({"key": key, "generation": 5, "size_bytes": 32_000, "client_account": "a"});
    let transfer = json!({
        "store": store.address, "version": "v1", "blocks": [block("k1"), block("k2"), block("k9")],
    });
    let exported = post(first.address, "/v1/kv/export", transfer.clone()).await;
    assert_eq!(exported["link_bytes"], 64_000);
    assert_eq!(exported["failed"][0]["key"], "k9");
    let imported = post(second.address, "/v1/kv/import", transfer).await;
    assert_eq!(imported["imported"], json!(["k1", "k2"]));
    assert_eq!(
        complete_and_count_cached(second.address, "r2", "a", &["k1", "k2"]).await,
        4_000
    );
    assert_eq!(second.role().audit().partial_blocks, 0);
}

#[tokio::test]
async fn blocks_of_misreported_version_are_counted_in_audit() {
    let store = Store::start(StoreSettings::default())
        .await
        .expect("a port");
    let misreporting = start_engine(EngineSettings::default()).await;
    let correct = start_engine(EngineSettings {
        version: "v2".to_owned(),
        ..EngineSettings::default()
    })
    .await;
    misreporting
        .set_faults(&json!({"lie_version": "v2"}))
        .expect("a switch");
    let mut completion = body("r1", "a", &["k1"]);
    completion["version"] = "v2".into();
    let answer = post(misreporting.address, "/v1/completions", completion).await;
    assert_eq!(answer["system_fingerprint"], "v1");
    let blocks = json!([{"key": "k1", "generation": 1}]);
    let transfer = json!({"store": store.address, "version": "v2", "blocks": blocks});
    post(misreporting.address, "/v1/kv/export", transfer.clone()).await;
    let imported = post(correct.address, "/v1/kv/import", transfer).await;
    assert_eq!(imported["imported"], json!([]));
    assert_eq!(correct.role().audit().wrong_version_blocks, 1);
}

#[tokio::test]
async fn cut_export_does_not_commit_block() {
    let store = Store::start(StoreSettings::default())
        .await
        .expect("a port");
    let engine = start_engine(EngineSettings::default()).await;
    complete_and_count_cached(engine.address, "r1", "a", &["k1", "k2"]).await;
    engine
        .set_faults(&json!({"export_cut_blocks": 2}))
        .expect("a switch");
    let blocks = json!([{"key": "k1", "generation": 1}, {"key": "k2", "generation": 1}]);
    let transfer = json!({"store": store.address, "version": "v1", "blocks": blocks});
    let exported = post(engine.address, "/v1/kv/export", transfer).await;
    assert_eq!(exported["exported"].as_array().expect("a list").len(), 1);
    let kept = store.role().list();
    assert_eq!(
        kept.iter()
            .map(|block| block.key.as_str())
            .collect::<Vec<_>>(),
        ["k1"]
    );
}

/// Reads a stream and returns its text and whether the end marker arrived.
async fn read_stream(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> (String, bool) {
    let response = send(address, request(method, path, body.to_string())).await;
    let mut body = response.expect("an answer").into_body();
    let mut received = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        received.extend_from_slice(&frame.into_data().expect("data"));
    }
    let received = String::from_utf8(received).expect("text");
    let text = received
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .map(|chunk| {
            chunk["choices"][0]["text"]
                .as_str()
                .expect("text")
                .to_owned()
        })
        .collect();
    (text, received.contains("[DONE]"))
}

#[tokio::test]
async fn cut_stream_can_be_resumed() {
    let engine = start_engine(EngineSettings::default()).await;
    engine
        .set_faults(&json!({"cut_after_tokens": 2}))
        .expect("a switch");
    let mut completion = body("r1", "a", &["k1"]);
    completion["stream"] = true.into();
    let (head, done) =
        read_stream(engine.address, Method::POST, "/v1/completions", &completion).await;
    assert!(!done);
    assert_eq!(head.len(), 8);
    let path = "/v1/runs/r1?from_token=2";
    let (tail, done) = read_stream(engine.address, Method::GET, path, &Value::Null).await;
    assert!(done);
    assert_eq!(head + &tail, answer_text("r1", &prompt(1), 3));
}

#[tokio::test]
async fn cross_answers_switch_swaps_answers() {
    let engine = start_engine(EngineSettings::default()).await;
    engine
        .set_faults(&json!({"cross_answers": true}))
        .expect("a switch");
    let (first, second) = (body("r1", "a", &["k1"]), body("r2", "a", &["k1"]));
    let (first, second) = tokio::join!(
        post(engine.address, "/v1/completions", first),
        post(engine.address, "/v1/completions", second),
    );
    assert_eq!((&first["id"], &second["id"]), (&json!("r2"), &json!("r1")));
}
