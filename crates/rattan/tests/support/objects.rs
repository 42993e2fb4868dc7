//! Configuration objects in the JSON form that operators send.

use {
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// Name that callers use for the model.
pub const MODEL: &str = "notes";
/// Digest of the first version of the model.
pub const DIGEST: &str = "d1d1d1d1";
/// Client account of the callers, and their key.
pub const ACCOUNT: &str = "tasboulak";
pub const CALLER_KEY: &str = "caller-key-of-the-test";
/// Name of the plain service.
pub const SERVICE: &str = "bookings";

/// A client account with practically no limits.
pub fn account(name: &str, key: &str) -> Value {
    json!({
        "kind": "client_account",
        "name": name,
        "key_digests": [gateway::digest_of(key)],
        "max_running_count": 10_000,
        "tokens_per_s": 100_000_000,
        "weight": 1,
    })
}

/// The first version of [`MODEL`].
pub fn model_version() -> Value {
    json!({
        "kind": "model_version",
        "name": "notes-1",
        "model": MODEL,
        "digest": DIGEST,
        "active": true,
        "piece_bytes": 8_000,
        "piece_tokens": 2_000,
        "kv_bytes_per_token": 16,
    })
}

/// An engine.
pub fn engine(name: &str, address: SocketAddr) -> Value {
    json!({
        "kind": "target",
        "name": name,
        "target_kind": "engine",
        "address": address,
        "region": super::test_system::REGION,
        "failure_domain": "fd-0",
        "max_running_count": 256,
        "link_bytes_per_s": 50_000_000,
    })
}

/// A plain service with one call that is not idempotent and one that is.
pub fn service(name: &str, address: SocketAddr) -> Value {
    json!({
        "kind": "target",
        "name": name,
        "target_kind": "service",
        "address": address,
        "region": super::test_system::REGION,
        "failure_domain": "fd-0",
        "max_running_count": 256,
        "service": SERVICE,
        "calls": [
            { "path": "/book", "idempotent": false },
            { "path": "/status", "idempotent": true },
        ],
    })
}

/// A rule that lets every account use every target.
pub fn rule() -> Value {
    json!({ "kind": "placement_rule", "name": "all" })
}

/// Digest of the version that follows [`DIGEST`].
pub const NEXT_DIGEST: &str = "d2d2d2d2";

/// A version of [`MODEL`] with this name and digest.
pub fn version(name: &str, digest: &str, active: bool) -> Value {
    let mut version = model_version();
    version["name"] = name.into();
    version["digest"] = digest.into();
    version["active"] = active.into();
    version
}

/// A store.
pub fn store(name: &str, address: SocketAddr, capacity_bytes: u64) -> Value {
    json!({
        "kind": "target",
        "name": name,
        "target_kind": "store",
        "address": address,
        "region": super::test_system::REGION,
        "failure_domain": "fd-0",
        "max_running_count": 256,
        "link_bytes_per_s": 50_000_000,
        "capacity_bytes": capacity_bytes,
    })
}
