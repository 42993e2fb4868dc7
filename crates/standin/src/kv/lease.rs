//! Leases: keys attached to a lease are deleted when it is revoked or expires.

use {
    super::{
        state::State,
        wire::{ByteString, DecimalU64, LeaseRequest, NOT_FOUND, RpcError, decode},
    },
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    tokio::time::Instant,
};

#[derive(Debug)]
struct Lease {
    ttl_s: u64,
    expires_at: Instant,
    keys: BTreeSet<ByteString>,
}

/// All leases that have not been removed.
#[derive(Debug, Default)]
pub(super) struct Leases {
    last_id: u64,
    leases: BTreeMap<u64, Lease>,
}

impl Leases {
    /// Whether `id` is 0 (no lease) or an existing lease.
    pub(super) fn exists_or_none(&self, id: u64) -> bool {
        id == 0 || self.leases.contains_key(&id)
    }

    pub(super) fn attach(&mut self, id: u64, key: ByteString) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.insert(key);
        }
    }

    pub(super) fn detach(&mut self, id: u64, key: &ByteString) {
        if let Some(lease) = self.leases.get_mut(&id) {
            lease.keys.remove(key);
        }
    }

    /// Creates a lease and returns its id; a `wanted_id` of 0 lets the service choose one.
    fn grant(&mut self, wanted_id: u64, ttl_s: u64) -> u64 {
        let id = if wanted_id == 0 {
            self.last_id + 1
        } else {
            wanted_id
        };
        self.last_id = self.last_id.max(id);
        let lease = Lease {
            ttl_s,
            expires_at: Instant::now() + Duration::from_secs(ttl_s),
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease and returns its time to live in seconds, or 0 if it does not exist.
    fn keep_alive(&mut self, id: u64) -> u64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = Instant::now() + Duration::from_secs(lease.ttl_s);
        lease.ttl_s
    }

    fn expired_ids(&self) -> Vec<u64> {
        let now = Instant::now();
        self.leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect()
    }
}

impl State {
    pub(super) fn expire_leases(&mut self) {
        for id in self.leases.expired_ids() {
            self.remove_lease(id);
        }
    }

    /// Removes a lease and its keys; returns whether the lease existed.
    fn remove_lease(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.leases.remove(&id) else {
            return false;
        };
        if lease.keys.is_empty() {
            return true;
        }
        let revision = self.revision + 1;
        for key in &lease.keys {
            self.delete_at(revision, key);
        }
        self.publish(revision);
        true
    }

    pub(super) fn answer_grant(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.lease_count += 1;
        let call: LeaseRequest = decode(body)?;
        let id = self.leases.grant(call.id.0, call.ttl.0.max(1));
        Ok(json!({
            "header": self.header(),
            "ID": DecimalU64(id),
            "TTL": DecimalU64(call.ttl.0.max(1)),
        }))
    }

    pub(super) fn answer_keep_alive(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.lease_count += 1;
        let call: LeaseRequest = decode(body)?;
        self.expire_leases();
        let ttl_s = self.leases.keep_alive(call.id.0);
        let result = json!({
            "header": self.header(),
            "ID": call.id,
            "TTL": DecimalU64(ttl_s),
        });
        Ok(json!({"result": result}))
    }

    pub(super) fn answer_revoke(&mut self, body: Value) -> Result<Value, RpcError> {
        self.stats.lease_count += 1;
        let call: LeaseRequest = decode(body)?;
        if !self.remove_lease(call.id.0) {
            let message = "etcdserver: requested lease not found";
            return Err(RpcError::new(NOT_FOUND, message));
        }
        Ok(json!({"header": self.header()}))
    }
}
