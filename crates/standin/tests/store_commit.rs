//! Guards against reads of incomplete, freed or replaced blocks: a block is readable only when it
//! is complete, only under its generation, and only until it is freed.

mod support;

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, StatusCode},
    serde_json::{Value, json},
    standin::{
        Server,
        store::{BlockState, Store, StoreSettings},
    },
    std::net::SocketAddr,
    support::{call, get, request, send},
};

async fn start_store(settings: StoreSettings) -> Server<Store> {
    Store::start(settings).await.expect("a free port")
}

/// Writes a block announced with `size` bytes and returns the status; 0 if there was no response.
async fn write(address: SocketAddr, key: &str, generation: u64, size: usize, body: &[u8]) -> u16 {
    let path =
        format!("/v1/blocks/{key}?generation={generation}&size_bytes={size}&client_account=a");
    let request = Request::put(path)
        .header("x-checksum", blake3::hash(body).to_hex().as_str())
        .body(Full::new(Bytes::copy_from_slice(body)))
        .expect("a valid request");
    send(address, request)
        .await
        .map_or(0, |response| response.status().as_u16())
}

/// Reads a block and returns status and body.
async fn read(address: SocketAddr, key: &str, generation: u64) -> (u16, Bytes) {
    let path = format!("/v1/blocks/{key}?generation={generation}");
    let response = send(address, request(Method::GET, &path, Bytes::new()))
        .await
        .expect("an answer");
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("a whole body");
    (status, body.to_bytes())
}

#[tokio::test]
async fn committed_block_is_read_under_its_generation_only() {
    let store = start_store(StoreSettings::default()).await;
    assert_eq!(write(store.address, "k", 7, 4, b"abcd").await, 201);
    assert_eq!(
        read(store.address, "k", 7).await,
        (200, Bytes::from("abcd"))
    );
    assert_eq!(read(store.address, "k", 8).await.0, 409);
    assert_eq!(read(store.address, "j", 7).await.0, 404);
    assert_eq!(write(store.address, "k", 8, 4, b"efgh").await, 409);
}

#[tokio::test]
async fn freed_block_is_gone_and_key_can_be_reused() {
    let store = start_store(StoreSettings::default()).await;
    write(store.address, "k", 7, 4, b"abcd").await;
    let path = "/v1/blocks/k?generation=7";
    for _ in 0..2 {
        let freed = call(store.address, Method::DELETE, path, &Value::Null).await;
        assert_eq!(freed.expect("an answer").0, StatusCode::OK);
    }
    assert_eq!(read(store.address, "k", 7).await.0, 404);
    assert_eq!(write(store.address, "k", 8, 4, b"efgh").await, 201);
    let usage = get(store.address, "/v1/usage").await;
    assert_eq!(usage["used_bytes"], 4);
}

#[tokio::test]
async fn write_of_wrong_size_is_discarded() {
    let store = start_store(StoreSettings::default()).await;
    assert_eq!(write(store.address, "k", 1, 5, b"abcd").await, 400);
    assert_eq!(read(store.address, "k", 1).await.0, 404);
    assert_eq!(get(store.address, "/v1/usage").await["used_bytes"], 0);
}

#[tokio::test]
async fn block_being_written_is_not_readable() {
    let settings = StoreSettings {
        link_bytes_per_s: 1,
        ..StoreSettings::default()
    };
    let store = start_store(settings).await;
    let address = store.address;
    let writer =
        tokio::spawn(async move { write(address, "k", 1, 90_000, &vec![0; 90_000]).await });
    while store.role().list().is_empty() {
        tokio::task::yield_now().await;
    }
    assert_eq!(store.role().list()[0].state, BlockState::Writing);
    assert_eq!(read(address, "k", 1).await.0, 425);
    writer.abort();
}

#[tokio::test]
async fn crash_during_write_loses_all_blocks() {
    let store = start_store(StoreSettings::default()).await;
    write(store.address, "old", 1, 4, b"abcd").await;
    store
        .set_faults(&json!({"die_mid_write": true}))
        .expect("a switch");
    assert_eq!(write(store.address, "k", 1, 4, b"abcd").await, 0);
    assert!(store.role().list().is_empty());
    assert_eq!(write(store.address, "k", 2, 4, b"abcd").await, 201);
}

#[tokio::test]
async fn full_store_refuses_writes() {
    let settings = StoreSettings {
        memory_bytes: 4,
        disk_bytes: 4,
        ..StoreSettings::default()
    };
    let store = start_store(settings).await;
    assert_eq!(write(store.address, "a", 1, 4, b"abcd").await, 201);
    assert_eq!(write(store.address, "b", 1, 4, b"abcd").await, 201);
    assert_eq!(write(store.address, "c", 1, 4, b"abcd").await, 507);
}
