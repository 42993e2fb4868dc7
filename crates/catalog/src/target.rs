//! A target (model engine, store instance or plain service) and its raw JSON form.

use {
    crate::{FailureDomainId, InvalidField, Labels, ObjectKind, RegionId, TargetId, check},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Maximum number of calls one plain service may list.
const MAX_CALLS_COUNT: usize = 256;

/// Kind of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine, which runs model versions and holds KV cache in limited memory.
    Engine,
    /// A store instance, which holds exported KV cache behind a link of limited bandwidth.
    Store,
    /// A plain HTTP service that is not a model engine.
    Service,
}

/// A path of a plain service and whether calls to it are idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// Path of the call at the service, with a leading slash.
    pub path: String,
    /// Whether repeating the call has no further effect.
    pub idempotent: bool,
}

/// A target that requests can be sent to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "RawTarget")]
pub struct Target {
    /// Name, unique among targets; equal to its name in the instance list.
    pub name: TargetId,
    /// Kind of the target; `target_kind` in JSON, where `kind` is the kind of object.
    #[serde(rename = "target_kind")]
    pub kind: TargetKind,
    /// IP address and port that the target listens on.
    pub address: SocketAddr,
    /// Region the target runs in.
    pub region: RegionId,
    /// Failure domain the target runs in.
    pub failure_domain: FailureDomainId,
    /// Labels that placement rules select by.
    pub labels: Labels,
    /// Whether the target is draining: it gets no new work.
    pub leaving: bool,
    /// Whether the target rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Number of requests the target runs at once; further ones are queued.
    pub max_running_count: u32,
    /// Bandwidth in bytes per second of the link to the stores (for an engine) or to the engines
    /// (for a store); 0 for services.
    pub link_bytes_per_s: u64,
    /// Capacity for exported blocks in bytes; 0 unless the target is a store.
    pub capacity_bytes: u64,
    /// Name of the plain service this target provides; empty unless the target is a service.
    pub service: String,
    /// Known calls of the plain service. A call that is not listed is treated as not idempotent.
    pub calls: Vec<ServiceCall>,
}

/// A target as an operator wrote it, not validated yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTarget {
    /// `target`, or omitted.
    #[serde(default)]
    pub kind: Option<ObjectKind>,
    /// Becomes [`Target::name`].
    pub name: String,
    /// Becomes [`Target::kind`].
    pub target_kind: TargetKind,
    /// Becomes [`Target::address`].
    pub address: String,
    /// Becomes [`Target::region`].
    pub region: String,
    /// Becomes [`Target::failure_domain`].
    pub failure_domain: String,
    /// Becomes [`Target::labels`].
    #[serde(default)]
    pub labels: Labels,
    /// Becomes [`Target::leaving`]; `false` if omitted.
    #[serde(default)]
    pub leaving: bool,
    /// Becomes [`Target::checks_fencing`]; `false` if omitted.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Becomes [`Target::max_running_count`].
    pub max_running_count: u32,
    /// Becomes [`Target::link_bytes_per_s`]; 0 if omitted.
    #[serde(default)]
    pub link_bytes_per_s: u64,
    /// Becomes [`Target::capacity_bytes`]; 0 if omitted.
    #[serde(default)]
    pub capacity_bytes: u64,
    /// Becomes [`Target::service`]; empty if omitted.
    #[serde(default)]
    pub service: String,
    /// Becomes [`Target::calls`]; empty if omitted.
    #[serde(default)]
    pub calls: Vec<ServiceCall>,
}

impl TryFrom<RawTarget> for Target {
    type Error = InvalidField;

    fn try_from(raw: RawTarget) -> Result<Self, InvalidField> {
        check::kind(raw.kind, ObjectKind::Target)?;
        check::name("name", &raw.name)?;
        let address = parse_address(&raw.address)?;
        check::name("region", &raw.region)?;
        check::name("failure_domain", &raw.failure_domain)?;
        check::labels("labels", &raw.labels)?;
        check::at_least_one("max_running_count", raw.max_running_count.into())?;
        check_kind_fields(&raw)?;
        check_calls(&raw.calls)?;
        Ok(Self {
            name: raw.name,
            kind: raw.target_kind,
            address,
            region: raw.region,
            failure_domain: raw.failure_domain,
            labels: raw.labels,
            leaving: raw.leaving,
            checks_fencing: raw.checks_fencing,
            max_running_count: raw.max_running_count,
            link_bytes_per_s: raw.link_bytes_per_s,
            capacity_bytes: raw.capacity_bytes,
            service: raw.service,
            calls: raw.calls,
        })
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, InvalidField> {
    let address: Option<SocketAddr> = text.parse().ok();
    match address {
        Some(address) if address.port() != 0 => Ok(address),
        _ => Err(InvalidField::new(
            "address",
            format!("{text:?} is not a valid address"),
            "use an IP address and a port above 0, for example 10.0.0.7:9101",
        )),
    }
}

/// Checks that fields specific to a kind of target are present for that kind and omitted for
/// others.
fn check_kind_fields(raw: &RawTarget) -> Result<(), InvalidField> {
    let is_store = raw.target_kind == TargetKind::Store;
    let is_service = raw.target_kind == TargetKind::Service;
    if is_store {
        check::at_least_one("capacity_bytes", raw.capacity_bytes)?;
    } else if raw.capacity_bytes != 0 {
        return Err(only_for("capacity_bytes", "a store"));
    }
    if is_service {
        check::name("service", &raw.service)?;
        if raw.link_bytes_per_s != 0 {
            return Err(only_for("link_bytes_per_s", "an engine or a store"));
        }
        return Ok(());
    }
    check::at_least_one("link_bytes_per_s", raw.link_bytes_per_s)?;
    if !raw.service.is_empty() {
        return Err(only_for("service", "a service"));
    }
    if !raw.calls.is_empty() {
        return Err(only_for("calls", "a service"));
    }
    Ok(())
}

fn only_for(field: &str, kind: &str) -> InvalidField {
    InvalidField::new(
        field,
        format!("only {kind} has this field"),
        "leave it out or correct `target_kind`",
    )
}

fn check_calls(calls: &[ServiceCall]) -> Result<(), InvalidField> {
    if calls.len() > MAX_CALLS_COUNT {
        return Err(InvalidField::new(
            "calls",
            format!("{} calls", calls.len()),
            format!("use at most {MAX_CALLS_COUNT}"),
        ));
    }
    let mut seen = BTreeSet::new();
    for (index, call) in calls.iter().enumerate() {
        let field = format!("calls[{index}].path");
        check::path(&field, &call.path)?;
        if !seen.insert(&call.path) {
            return Err(InvalidField::new(
                &field,
                format!("{:?} is listed twice", call.path),
                "keep one entry for each path",
            ));
        }
    }
    Ok(())
}
