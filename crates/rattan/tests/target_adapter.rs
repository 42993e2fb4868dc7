//! Tests the target clients against the stand-ins that the other tests use.

use {
    orders::Order,
    serde_json::json,
    standin::{
        answer_text,
        engine::{Engine, EngineSettings},
        service::{Service, ServiceSettings},
        store::{Store, StoreSettings},
    },
    std::time::Duration,
    target::{
        AnswerEvent, BlockRef, Client, ClientSettings, CompletionRequest, EngineClient,
        ExportRequest, ImportRequest, Reuse, SendError, ServiceClient, ServiceRequest, StoreClient,
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn client() -> Client {
    Client::new(ClientSettings::default())
}

fn fast_engine() -> EngineSettings {
    EngineSettings {
        time_scale: 0.01,
        ..EngineSettings::default()
    }
}

fn completion(request_id: &str, version: &str) -> CompletionRequest {
    CompletionRequest {
        model: "m".to_owned(),
        prompt: "x".repeat(8_000),
        max_tokens: 4,
        stream: true,
        request_id: request_id.to_owned(),
        cache_salt: "a".to_owned(),
        block_keys: vec!["aa".to_owned()],
        version: version.to_owned(),
        ..CompletionRequest::default()
    }
}

/// Runs a completion and returns its text and cached tokens.
async fn run(
    engine: &EngineClient,
    completion: &CompletionRequest,
) -> Result<(String, u64), SendError> {
    let mut answer = engine.complete(completion, Reuse::Allowed, TIMEOUT).await?;
    let mut text = String::new();
    loop {
        match answer.next(TIMEOUT).await? {
            AnswerEvent::Text(token) => text += &token,
            AnswerEvent::End { usage, .. } => {
                return Ok((text, usage.prompt_tokens_details.cached_tokens));
            }
        }
    }
}

#[tokio::test]
async fn answer_is_complete_and_a_torn_one_can_be_resumed() {
    let server = Engine::start(fast_engine()).await.expect("a free port");
    let engine = EngineClient::new(client(), server.address);
    let wanted = completion("r1", "v1");
    let expected = answer_text("r1", &wanted.prompt, 4);
    let whole = run(&engine, &wanted).await.expect("a whole answer");
    assert_eq!(whole, (expected.clone(), 0));
    server
        .set_faults(&json!({"cut_after_tokens": 1}))
        .expect("known faults");
    let torn = run(&engine, &completion("r2", "v1")).await;
    assert!(matches!(torn, Err(SendError::Unknown { .. })));
    let mut rest = engine.resume(&wanted, 3, TIMEOUT).await.expect("known");
    let token = rest.next(TIMEOUT).await.expect("a token");
    assert_eq!(token, AnswerEvent::Text(expected[12..].to_owned()));
    assert!(matches!(
        rest.next(TIMEOUT).await,
        Ok(AnswerEvent::End { .. })
    ));
}

#[tokio::test]
async fn refusals_before_running_are_recognized() {
    let server = Engine::start(fast_engine()).await.expect("a free port");
    let engine = EngineClient::new(client(), server.address);
    let other = run(&engine, &completion("r1", "v2"))
        .await
        .expect_err("409");
    assert!(other.is_version_mismatch() && other.not_run());
    server
        .set_faults(&json!({"leaving": true}))
        .expect("known faults");
    let leaving = run(&engine, &completion("r1", "v1"))
        .await
        .expect_err("503");
    assert!(leaving.is_leaving());
    assert!(engine.load().await.expect("a report").leaving);
    assert!(server.role().audit().runs.is_empty());
}

#[tokio::test]
async fn blocks_move_through_a_store() {
    let store = Store::start(StoreSettings::default())
        .await
        .expect("a port");
    let (first, second) = (
        Engine::start(fast_engine()).await,
        Engine::start(fast_engine()).await,
    );
    let (first, second) = (first.expect("a port"), second.expect("a port"));
    let source = EngineClient::new(client(), first.address);
    let sink = EngineClient::new(client(), second.address);
    run(&source, &completion("r1", "v1")).await.expect("whole");
    let block = BlockRef {
        key: "aa".to_owned(),
        generation: 3,
        size_bytes: 32_000,
        client_account: "a".to_owned(),
    };
    let export = ExportRequest {
        store: store.address,
        version: "v1".to_owned(),
        blocks: vec![block.clone()],
    };
    let exported = source.export(&export, TIMEOUT).await.expect("an export");
    assert_eq!((exported.exported.len(), exported.link_bytes), (1, 32_000));
    let import = ImportRequest {
        store: store.address,
        version: "v1".to_owned(),
        blocks: vec![block],
    };
    let imported = sink.import(&import, TIMEOUT).await.expect("an import");
    assert_eq!(imported.imported, ["aa"]);
    assert_eq!(
        run(&sink, &completion("r2", "v1")).await.expect("whole").1,
        2_000
    );
    let client = StoreClient::new(client(), store.address);
    assert_eq!(client.blocks("").await.expect("a list").blocks.len(), 1);
    client.free("aa", 3).await.expect("freed");
    assert_eq!(client.usage().await.expect("a report").used_bytes, 0);
}

#[tokio::test]
async fn events_and_orders_are_exchanged() {
    let server = Engine::start(fast_engine()).await.expect("a free port");
    let engine = EngineClient::new(client(), server.address);
    run(&engine, &completion("r1", "v1")).await.expect("whole");
    let order = Order::LoadVersion {
        version: "v2".to_owned(),
    };
    assert_eq!(engine.order(4, &order).await.expect("an answer").fencing, 4);
    let events = engine.cache_events(0).await.expect("events").events;
    assert_eq!(events.len(), 2);
    assert_eq!(events[1].version, "v1");
    assert!(engine.cache_blocks().await.expect("all").blocks.is_empty());
    assert_eq!(engine.load().await.expect("a report").version, "v2");
}

#[tokio::test]
async fn service_outcomes_agree_with_its_ledger() {
    let server = Service::start(ServiceSettings::default()).await;
    let server = server.expect("a free port");
    let service = ServiceClient::new(client(), server.address);
    let call = ServiceRequest {
        path: "/orders/cut".to_owned(),
        request_id: "r1".to_owned(),
        idempotency_key: "k1".to_owned(),
        client_account: "a".to_owned(),
        ..ServiceRequest::default()
    };
    server
        .set_faults(&json!({"refuse": 1}))
        .expect("known faults");
    assert!(
        service
            .call(&call, TIMEOUT)
            .await
            .expect_err("503")
            .not_run()
    );
    assert!(server.role().ledger().is_empty());
    server
        .set_faults(&json!({"cut_after_run": 1}))
        .expect("known faults");
    let cut = service.call(&call, TIMEOUT).await.expect_err("no answer");
    assert!(matches!(cut, SendError::Unknown { .. }));
    assert_eq!(server.role().ledger().len(), 1);
    assert_eq!(
        service
            .call(&call, TIMEOUT)
            .await
            .expect("an answer")
            .status,
        200
    );
}
