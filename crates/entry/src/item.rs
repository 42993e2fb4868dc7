//! Items of the key-value service, decoded.

use {
    crate::{FencingRecord, FencingToken},
    catalog::{FailureDomainId, InstanceId, ModelId, SoftwareVersion, TargetId},
    keyvalue::LeaseId,
    quarantine::{CrashId, SuspectKey},
    relay::LoadedModel,
    routes::{PoolId, RouteConfig},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
};

/// An item cannot be decoded. It counts as deleted; other items are not affected.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(
    visibility(pub),
    display("{key} cannot be decoded: {problem}; check what wrote it")
)]
pub struct ItemError {
    /// Key of the item.
    pub key: String,
    /// What is wrong with its value.
    pub problem: String,
}

/// Registration of a target, written by the target itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRegistration {
    /// Pool that the target belongs to.
    pub pool: PoolId,
    /// Address that serves calls.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Number of calls that the target runs concurrently.
    pub slots_count: u32,
    /// Whether the target is draining and takes no new calls.
    pub leaving: bool,
    /// Models that the target has loaded, with their versions.
    pub models: Vec<LoadedModel>,
    /// Start time in milliseconds since the Unix epoch by the target's own clock; distinguishes two
    /// starts under one id.
    pub started_unix_ms: u64,
    /// Version of the target's software.
    pub software_version: SoftwareVersion,
    /// How much longer the target stays cold, as of its writing; zero if it is warm or does not say.
    pub cold_left: Duration,
}

impl TargetRegistration {
    /// Creates a registration with one slot and no models.
    #[must_use]
    pub fn new(pool: impl Into<PoolId>, address: SocketAddr) -> Self {
        Self {
            pool: pool.into(),
            address,
            failure_domain: FailureDomainId::default(),
            slots_count: 1,
            leaving: false,
            models: Vec::new(),
            started_unix_ms: 0,
            software_version: SoftwareVersion::default(),
            cold_left: Duration::ZERO,
        }
    }
}

/// Membership record of an entry instance, written by the instance itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Address that serves calls.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether the instance accepts calls.
    pub ready: bool,
    /// Address at which other instances read its feed of stores and engines.
    #[serde(default)]
    pub feed: Option<SocketAddr>,
    /// Address at which it answers calls of other instances.
    #[serde(default)]
    pub peer_calls: Option<SocketAddr>,
    /// Rate of its link in bits per second; `None` if it is not known, also in records of older builds.
    #[serde(default)]
    pub link_bits_per_s: Option<u64>,
    /// Highest fencing token that the instance knew when it wrote the record; 0 if none, also in records of
    /// older builds.
    #[serde(default)]
    pub highest_fencing: FencingToken,
    /// Instance that this token was given to; empty if that is not known.
    #[serde(default)]
    pub fencing_holder: InstanceId,
}

/// The holder of the order lock. The default names no instance, as nothing else that can't be read does.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// Instance that holds the lock.
    pub instance: InstanceId,
    /// Lease of that instance, which the record is bound to.
    pub lease: LeaseId,
    /// Fencing token of its orders; 0 in records of older builds.
    #[serde(default)]
    pub fencing: FencingToken,
}

/// Announces the targets that are being updated to new weights, so that instances send their calls
/// to others if there are any.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadingRecord {
    /// Model with the highest wanted version number.
    pub model: ModelId,
    /// Newest wanted version of that model.
    pub version: u64,
    /// Targets whose update is in progress, of any model. They may still be draining.
    pub loading: Vec<TargetId>,
    /// Targets that have loaded the version or a newer one.
    pub loaded: Vec<TargetId>,
}

/// Marks a recently requested version of a model's weights. The record expires when older weights must
/// no longer be used.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentVersion {
    /// The version.
    pub version: u64,
    /// The previously wanted version; 0 if there was none.
    pub replaces: u64,
}

/// Says that a target crashed under a call with a suspect part or under a suspect call, or that a
/// target answered one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRecord {
    /// Id of the part as callers send it, or method and path of the call; shortened if it is long.
    #[serde(rename = "part")]
    pub label: String,
    /// Instance that wrote the record.
    pub instance: InstanceId,
}

/// A limit that a target states, as an instance heard it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitRecord {
    /// Calls per second that the target takes from all instances together.
    pub limit_per_s: f64,
    /// Instance that wrote the record.
    pub instance: InstanceId,
}

/// Decoded value of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The configuration.
    Configuration(Box<RouteConfig>),
    /// The wanted version of a model's weights.
    Version(u64),
    /// A target's registration.
    Target(TargetRegistration),
    /// An entry instance's membership record.
    Member(MemberRecord),
    /// The holder of the order lock.
    Holder(HolderRecord),
    /// The highest fencing token that was given to a holder.
    Fencing(FencingRecord),
    /// The targets that are loading new weights.
    Loading(LoadingRecord),
    /// A mark of a recently requested version.
    Recent(RecentVersion),
    /// A crash under a call with a suspect part, or under a suspect call.
    Crash {
        /// Key of the part or call.
        suspect: SuspectKey,
        /// The crash.
        crash: CrashId,
        /// What the instance that saw it wrote.
        record: SuspectRecord,
    },
    /// A part or call that may have crashed targets was answered.
    Answered(SuspectKey),
    /// A limit that a target states.
    Limit(LimitRecord),
    /// The targets of a failure domain get no calls.
    Evacuation,
}

/// Parsed key of an item.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ItemName {
    /// The configuration.
    Configuration,
    /// The wanted version of a model's weights.
    Version(ModelId),
    /// A target.
    Target(TargetId),
    /// An entry instance.
    Member(InstanceId),
    /// The holder of the order lock.
    Holder,
    /// The highest fencing token that was given to a holder.
    Fencing,
    /// The targets that are loading new weights.
    Loading,
    /// The mark of a recently requested version of a model's weights.
    Recent(ModelId, u64),
    /// A crash under a call with a suspect part, or under a suspect call.
    Crash(SuspectKey, CrashId),
    /// The word that a suspect part or call was answered.
    Answered(SuspectKey),
    /// The limit that a target states.
    Limit(TargetId),
    /// The request that the targets of a failure domain get no calls.
    Evacuation(FailureDomainId),
}

impl ItemName {
    /// Whether operators or targets write the item, in the platform's own format; instances write
    /// the others.
    #[must_use]
    pub fn belongs_to_platform(&self) -> bool {
        match self {
            Self::Configuration | Self::Version(_) | Self::Target(_) | Self::Evacuation(_) => true,
            Self::Member(_)
            | Self::Holder
            | Self::Fencing
            | Self::Loading
            | Self::Recent(..)
            | Self::Crash(..)
            | Self::Answered(_)
            | Self::Limit(_) => false,
        }
    }
}
