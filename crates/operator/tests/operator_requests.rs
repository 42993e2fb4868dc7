//! Operators' requests against an in-memory key-value service.

use {
    configuration::{Follower, FollowerHandle, FollowerSettings, Writer},
    gateway::OperatorRequest,
    keyvalue::MemoryKv,
    operator::{OperatorApi, OperatorRoute},
    proptest::prelude::*,
    serde_json::{Value, json},
    std::time::Duration,
};

struct TestApi {
    kv: MemoryKv,
    operator_api: OperatorApi<MemoryKv>,
}

fn start_api() -> TestApi {
    let kv = MemoryKv::new();
    let follower = Follower::new(kv.clone(), FollowerSettings::default());
    let configuration: FollowerHandle = follower.handle();
    tokio::spawn(follower.run());
    let writer = Writer::new(kv.clone(), Duration::from_secs(1));
    TestApi {
        kv,
        operator_api: OperatorApi::new(writer, configuration),
    }
}

fn request(method: &str, path: &str, body: &Value) -> OperatorRequest {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    OperatorRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        body: body.to_string().into(),
        ..OperatorRequest::default()
    }
}

fn if_match(revision: &Value, mut request: OperatorRequest) -> OperatorRequest {
    request.if_match = Some(format!("\"{revision}\""));
    request
}

fn if_absent(mut request: OperatorRequest) -> OperatorRequest {
    request.if_none_match = Some("*".to_owned());
    request
}

fn target(name: &str) -> Value {
    json!({"name": name, "target_kind": "engine", "address": "127.0.0.1:9101", "region": "r",
        "failure_domain": "d", "max_running_count": 4, "link_bytes_per_s": 1000,
        "labels": {"pool": name}})
}

impl TestApi {
    /// Handles a request, asserts its status and returns the response body.
    async fn expect(&self, request: OperatorRequest, status: u16) -> Value {
        let response = self.operator_api.handle(&request).await;
        assert_eq!(response.status, status, "{request:?}: {}", response.body);
        response.body
    }
}

#[tokio::test(start_paused = true)]
async fn objects_are_created_replaced_and_deleted() {
    let api = start_api();
    let put = request("PUT", "/target/t1", &target("t1"));
    let error = api.expect(put.clone(), 400).await;
    assert_eq!(error["error"]["outcome"], "not_run");
    let created = api.expect(if_absent(put.clone()), 200).await;
    api.expect(if_absent(put.clone()), 409).await;
    let replaced = api
        .expect(if_match(&created["revision"], put.clone()), 200)
        .await;
    api.expect(if_match(&created["revision"], put), 409).await;
    let found = api
        .expect(request("GET", "/target/t1", &json!(null)), 200)
        .await;
    assert_eq!(found["revision"], replaced["revision"]);
    assert_eq!(found["object"]["target_kind"], "engine");
    let delete = request("DELETE", "/target/t1", &json!(null));
    api.expect(if_match(&replaced["revision"], delete), 200)
        .await;
    api.expect(request("GET", "/target/t1", &json!(null)), 404)
        .await;
}

#[tokio::test(start_paused = true)]
async fn lists_are_filtered_by_selector() {
    let api = start_api();
    let changes = json!([{"put": with_kind(target("t1"))}, {"put": with_kind(target("t2"))}]);
    api.expect(request("POST", "/apply", &changes), 200).await;
    for selector in ["pool=t2", "pool%3Dt2"] {
        let path = format!("/target?selector={selector}");
        let listed = api.expect(request("GET", &path, &json!(null)), 200).await;
        assert_eq!(listed["objects"].as_array().expect("array").len(), 1);
    }
    api.expect(request("GET", "/target?selector=pool", &json!(null)), 400)
        .await;
}

/// Guards against a name or a selector that is not found because it came escaped.
#[tokio::test(start_paused = true)]
async fn escaped_names_are_decoded() {
    let api = start_api();
    let changes = json!([{"put": with_kind(target("t1"))}, {"put": with_kind(target("t2"))}]);
    api.expect(request("POST", "/apply", &changes), 200).await;
    let statuses = [
        ("/target/t%31", 200),
        ("/target/t1%2Flabels", 404),
        ("/target/t1%3Fx", 404),
        ("/target/t1%FF", 404),
    ];
    for (path, status) in statuses {
        api.expect(request("GET", path, &json!(null)), status).await;
    }
    let path = "/target?sel%65ctor=pool%3Dt2";
    let listed = api.expect(request("GET", path, &json!(null)), 200).await;
    assert_eq!(listed["objects"].as_array().expect("array").len(), 1);
}

fn with_kind(mut object: Value) -> Value {
    object["kind"] = json!("target");
    object
}

#[tokio::test(start_paused = true)]
async fn labels_and_drain_change_one_field() {
    let api = start_api();
    api.expect(if_absent(request("PUT", "/target/t1", &target("t1"))), 200)
        .await;
    let patch = json!({"set": {"zone": "a"}, "remove": ["pool"]});
    api.expect(request("PATCH", "/target/t1/labels", &patch), 200)
        .await;
    api.expect(request("POST", "/target/t1/drain", &json!(null)), 200)
        .await;
    api.expect(request("POST", "/target/t1/drain", &json!(null)), 200)
        .await;
    api.expect(request("POST", "/target/none/drain", &json!(null)), 404)
        .await;
    let found = api
        .expect(request("GET", "/target/t1", &json!(null)), 200)
        .await;
    assert_eq!(found["object"]["labels"], json!({"zone": "a"}));
    assert_eq!(found["object"]["leaving"], true);
}

#[tokio::test(start_paused = true)]
async fn reads_are_served_while_the_key_value_service_is_down() {
    let api = start_api();
    api.expect(if_absent(request("PUT", "/target/t1", &target("t1"))), 200)
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    api.kv.set_faults(|faults| faults.unreachable = true);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let found = api
        .expect(request("GET", "/target/t1", &json!(null)), 200)
        .await;
    assert!(found["confirmed_age_ms"].as_u64().expect("age") >= 30_000);
    let create = if_absent(request("PUT", "/target/t2", &target("t2")));
    let error = api.expect(create, 503).await;
    assert_eq!(error["error"]["outcome"], "not_run");
    let status = api
        .expect(request("GET", "/status", &json!(null)), 200)
        .await;
    assert_eq!(status["targets_count"], 1);
}

proptest! {
    #[test]
    fn any_request_gets_a_response(
        method in "GET|PUT|PATCH|POST|DELETE",
        path in "(/[a-z_]{0,14}){0,4}",
        text in ".{0,40}",
    ) {
        let request = OperatorRequest { method, path, body: text.clone().into(), query: text,
            ..OperatorRequest::default() };
        let _ = OperatorRoute::parse(&request);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("runtime").block_on(async {
            start_api().operator_api.handle(&request).await;
        });
    }
}
