//! Transactions, leases and watches of the key-value stand-in.

mod support;

use {
    http_body_util::BodyExt,
    hyper::{Method, StatusCode},
    serde_json::{Value, json},
    standin::{
        Server,
        kv::{Kv, KvSettings},
    },
    std::{net::SocketAddr, time::Duration},
    support::{base64, call, post, request, send},
    tokio::time::timeout,
};

async fn start_kv() -> Server<Kv> {
    Kv::start(KvSettings::default()).await.expect("a free port")
}

fn put(key: &str, value: &str) -> Value {
    json!({"requestPut": {"key": base64(key), "value": base64(value)}})
}

/// Condition that the key does not exist.
fn key_is_absent(key: &str) -> Value {
    json!({"key": base64(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0"})
}

async fn txn(address: SocketAddr, compare: Value, success: Value) -> Value {
    let body = json!({"compare": compare, "success": success});
    post(address, "/v3/kv/txn", body).await
}

/// Number of keys with the prefix.
async fn key_count(address: SocketAddr, prefix: &str) -> usize {
    let mut end = prefix.as_bytes().to_vec();
    *end.last_mut().expect("a prefix") += 1;
    let end = String::from_utf8(end).expect("text");
    let body = json!({"key": base64(prefix), "range_end": base64(&end)});
    let range = post(address, "/v3/kv/range", body).await;
    range["kvs"].as_array().expect("a list").len()
}

#[tokio::test]
async fn only_first_create_succeeds() {
    let kv = start_kv().await;
    let first = txn(
        kv.address,
        json!([key_is_absent("a")]),
        json!([put("a", "1")]),
    )
    .await;
    let second = txn(
        kv.address,
        json!([key_is_absent("a")]),
        json!([put("a", "2")]),
    )
    .await;
    assert_eq!(first["succeeded"], true);
    assert_eq!(first["header"]["revision"], "2");
    assert_eq!(second["succeeded"], false);
    assert_eq!(second["header"]["revision"], "2");
}

#[tokio::test]
async fn nested_transactions_share_a_revision() {
    let kv = start_kv().await;
    let nested = |key: &str| {
        let steps = json!([put(key, "x")]);
        json!({"requestTxn": {"compare": [key_is_absent(key)], "success": steps}})
    };
    txn(kv.address, json!([]), json!([put("b", "old")])).await;
    let answer = txn(kv.address, json!([]), json!([nested("a"), nested("b")])).await;
    assert_eq!(answer["responses"][0]["response_txn"]["succeeded"], true);
    assert_eq!(answer["responses"][1]["response_txn"]["succeeded"], false);
    assert_eq!(answer["header"]["revision"], "3");
    let twice = json!({"success": [put("c", "1"), put("c", "2")]});
    let (status, _) = call(kv.address, Method::POST, "/v3/kv/txn", &twice)
        .await
        .expect("an answer");
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let kv = start_kv().await;
    let lease = post(kv.address, "/v3/lease/grant", json!({"TTL": "1", "ID": 0})).await;
    let id = lease["ID"].clone();
    let bound = json!({"key": base64("l/a"), "value": "", "lease": id});
    txn(kv.address, json!([]), json!([{"requestPut": bound}])).await;
    let renewed = post(kv.address, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(renewed["result"]["TTL"], "1");
    assert_eq!(key_count(kv.address, "l/").await, 1);
    let gone = async {
        while key_count(kv.address, "l/").await > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(30), gone)
        .await
        .expect("the lease expires");
    let expired = post(kv.address, "/v3/lease/keepalive", json!({"ID": id})).await;
    assert_eq!(expired["result"]["TTL"], "0");
}

/// Reads the results of a watch until `count` changes have arrived or the stream ends.
async fn watch_lines(address: SocketAddr, start_revision: u64, count: usize) -> Vec<Value> {
    let create = json!({
        "key": base64("w/"), "range_end": base64("w0"), "start_revision": start_revision,
        "progress_notify": true,
    });
    let body = json!({"create_request": create}).to_string();
    let response = send(address, request(Method::POST, "/v3/watch", body)).await;
    let mut body = response.expect("an answer").into_body();
    let mut lines = Vec::new();
    let mut seen = 0;
    while seen < count {
        let Some(Ok(frame)) = body.frame().await else {
            break;
        };
        let text = frame.into_data().expect("data");
        for line in text
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
        {
            let line: Value = serde_json::from_slice(line).expect("one object a line");
            let events = line["result"]["events"].as_array();
            seen += events.map_or(0, Vec::len);
            lines.push(line["result"].clone());
        }
    }
    lines
}

#[tokio::test]
async fn watch_replays_history_in_order() {
    let kv = start_kv().await;
    for index in 0..3 {
        txn(
            kv.address,
            json!([]),
            json!([put("w/a", &index.to_string())]),
        )
        .await;
        txn(kv.address, json!([]), json!([put("x", "other")])).await;
    }
    let delete = json!({"requestDeleteRange": {"key": base64("w/a")}});
    txn(kv.address, json!([]), json!([delete])).await;
    let lines = watch_lines(kv.address, 4, 3).await;
    let events: Vec<&Value> = lines
        .iter()
        .filter_map(|line| line["events"].as_array())
        .flatten()
        .collect();
    assert_eq!(events.len(), 3);
    assert_eq!(events[0]["kv"]["mod_revision"], "4");
    assert_eq!(events[1]["kv"]["value"], base64("2"));
    assert_eq!(events[2]["type"], "DELETE");
    assert_eq!(events[2]["kv"]["mod_revision"], "8");
}

#[tokio::test]
async fn compacted_start_or_gap_ends_watch() {
    let kv = start_kv().await;
    for _ in 0..3 {
        txn(kv.address, json!([]), json!([put("w/a", "v")])).await;
    }
    kv.set_faults(&json!({"compact": true})).expect("a switch");
    let lines = watch_lines(kv.address, 2, 1).await;
    let last = lines.last().expect("a line");
    assert_eq!(last["canceled"], true);
    assert_eq!(last["compact_revision"], "4");
    let open = tokio::spawn(watch_lines(kv.address, 0, 1));
    while kv.role().stats().open_watch_count == 0 {
        tokio::task::yield_now().await;
    }
    kv.set_faults(&json!({"watch_gap": true}))
        .expect("a switch");
    open.await.expect("the watch ends");
}

#[tokio::test]
async fn call_with_lost_answer_takes_effect() {
    let kv = start_kv().await;
    post(kv.address, "/fault", json!({"lose_answers": 1})).await;
    let body = json!({"success": [put("a", "1")]});
    let lost = call(kv.address, Method::POST, "/v3/kv/txn", &body).await;
    assert!(lost.is_none());
    assert_eq!(key_count(kv.address, "a").await, 1);
}

#[tokio::test]
async fn down_switch_refuses_calls_until_reset() {
    let kv = start_kv().await;
    txn(kv.address, json!([]), json!([put("a", "1")])).await;
    post(kv.address, "/fault", json!({"down": true})).await;
    let body = json!({"key": base64("a")});
    let refused = call(kv.address, Method::POST, "/v3/kv/range", &body).await;
    assert!(refused.is_none());
    post(kv.address, "/fault", json!({"down": false})).await;
    assert_eq!(key_count(kv.address, "a").await, 1);
}
