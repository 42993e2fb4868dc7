//! Operators' calls against an in-memory service.

use {
    configuration::{Follower, FollowerSettings, Handle, Writer},
    gateway::OperatorRequest,
    keyvalue::MemoryKv,
    operator::{OperatorApi, OperatorRoute},
    proptest::prelude::*,
    serde_json::{Value, json},
    std::time::Duration,
};

struct Bench {
    kv: MemoryKv,
    operator: OperatorApi<MemoryKv>,
}

fn bench() -> Bench {
    let kv = MemoryKv::new();
    let follower = Follower::new(kv.clone(), FollowerSettings::default());
    let handle: Handle = follower.handle();
    tokio::spawn(follower.run());
    let writer = Writer::new(kv.clone(), Duration::from_secs(1));
    Bench {
        kv,
        operator: OperatorApi::new(writer, handle),
    }
}

fn call(method: &str, path: &str, body: &Value) -> OperatorRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    OperatorRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        body: body.to_string().into(),
        ..OperatorRequest::default()
    }
}

fn if_match(revision: &Value, mut call: OperatorRequest) -> OperatorRequest {
    call.if_match = Some(format!("\"{revision}\""));
    call
}

fn if_absent(mut call: OperatorRequest) -> OperatorRequest {
    call.if_none_match = Some("*".to_owned());
    call
}

fn target(name: &str) -> Value {
    json!({"name": name, "target_kind": "engine", "address": "127.0.0.1:9101", "region": "r",
        "failure_domain": "d", "max_running_count": 4, "link_bytes_per_s": 1000,
        "labels": {"pool": name}})
}

impl Bench {
    async fn expect(&self, call: OperatorRequest, status: u16) -> Value {
        let answer = self.operator.handle(&call).await;
        assert_eq!(answer.status, status, "{call:?}: {}", answer.body);
        answer.body
    }
}

#[tokio::test(start_paused = true)]
async fn objects_are_created_replaced_and_deleted() {
    let bench = bench();
    let put = call("PUT", "/target/t1", &target("t1"));
    let error = bench.expect(put.clone(), 400).await;
    assert_eq!(error["error"]["outcome"], "not_run");
    let created = bench.expect(if_absent(put.clone()), 200).await;
    bench.expect(if_absent(put.clone()), 409).await;
    let replaced = bench
        .expect(if_match(&created["revision"], put.clone()), 200)
        .await;
    bench.expect(if_match(&created["revision"], put), 409).await;
    let found = bench
        .expect(call("GET", "/target/t1", &json!(null)), 200)
        .await;
    assert_eq!(found["revision"], replaced["revision"]);
    assert_eq!(found["object"]["target_kind"], "engine");
    let delete = call("DELETE", "/target/t1", &json!(null));
    bench
        .expect(if_match(&replaced["revision"], delete), 200)
        .await;
    bench
        .expect(call("GET", "/target/t1", &json!(null)), 404)
        .await;
}

#[tokio::test(start_paused = true)]
async fn lists_are_chosen_by_selector() {
    let bench = bench();
    let changes = json!([{"put": with_kind(target("t1"))}, {"put": with_kind(target("t2"))}]);
    bench.expect(call("POST", "/apply", &changes), 200).await;
    for selector in ["pool=t2", "pool%3Dt2"] {
        let path = format!("/target?selector={selector}");
        let listed = bench.expect(call("GET", &path, &json!(null)), 200).await;
        assert_eq!(listed["objects"].as_array().expect("array").len(), 1);
    }
    bench
        .expect(call("GET", "/target?selector=pool", &json!(null)), 400)
        .await;
}

fn with_kind(mut object: Value) -> Value {
    object["kind"] = json!("target");
    object
}

#[tokio::test(start_paused = true)]
async fn labels_and_drain_change_one_member() {
    let bench = bench();
    bench
        .expect(if_absent(call("PUT", "/target/t1", &target("t1"))), 200)
        .await;
    let patch = json!({"set": {"zone": "a"}, "remove": ["pool"]});
    bench
        .expect(call("PATCH", "/target/t1/labels", &patch), 200)
        .await;
    bench
        .expect(call("POST", "/target/t1/drain", &json!(null)), 200)
        .await;
    bench
        .expect(call("POST", "/target/t1/drain", &json!(null)), 200)
        .await;
    bench
        .expect(call("POST", "/target/none/drain", &json!(null)), 404)
        .await;
    let found = bench
        .expect(call("GET", "/target/t1", &json!(null)), 200)
        .await;
    assert_eq!(found["object"]["labels"], json!({"zone": "a"}));
    assert_eq!(found["object"]["leaving"], true);
}

#[tokio::test(start_paused = true)]
async fn reads_go_on_while_the_service_is_down() {
    let bench = bench();
    bench
        .expect(if_absent(call("PUT", "/target/t1", &target("t1"))), 200)
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    bench.kv.set_faults(|faults| faults.unreachable = true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let found = bench
        .expect(call("GET", "/target/t1", &json!(null)), 200)
        .await;
    assert!(found["confirmed_age_ms"].as_u64().expect("age") >= 30_000);
    let refused = if_absent(call("PUT", "/target/t2", &target("t2")));
    let error = bench.expect(refused, 503).await;
    assert_eq!(error["error"]["outcome"], "not_run");
    let status = bench
        .expect(call("GET", "/status", &json!(null)), 200)
        .await;
    assert_eq!(status["targets_count"], 1);
}

proptest! {
    #[test]
    fn any_call_is_answered(method in "GET|PUT|PATCH|POST|DELETE", path in "(/[a-z_]{0,14}){0,4}",
        text in ".{0,40}") {
        let call = OperatorRequest { method, path, body: text.clone().into(), query: text,
            ..OperatorRequest::default() };
        let _ = OperatorRoute::parse(&call);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(async {
            bench().operator.handle(&call).await;
        });
    }
}
