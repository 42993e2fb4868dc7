//! What lies in the key-value service, decoded.

use {
    catalog::{FailureDomainId, InstanceId, ModelId, TargetId},
    keyvalue::LeaseId,
    relay::LoadedModel,
    routes::{PoolId, RouteConfig},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::net::SocketAddr,
};

/// An item can't be read; it names nothing to use, and the others hold.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(
    visibility(pub),
    display("{key} can't be read: {problem}; check what wrote it")
)]
pub struct ItemError {
    /// Key of the item.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

/// What a target says of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRegistration {
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Calls that it runs at once.
    pub slots_count: u32,
    /// Whether it leaves.
    pub leaving: bool,
    /// Weights that it has.
    pub models: Vec<LoadedModel>,
    /// When it started, in milliseconds since the Unix epoch by its own clock; tells two starts
    /// under one name apart.
    pub started_unix_ms: u64,
}

impl TargetRegistration {
    /// A target with one slot and no models.
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
        }
    }
}

/// What an entry instance says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomainId,
    /// Whether it takes callers.
    pub ready: bool,
    /// Address at which other instances read what it learns of stores and engines.
    #[serde(default)]
    pub feed: Option<SocketAddr>,
}

/// Which instance may give orders, and under which lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// The instance.
    pub instance: InstanceId,
    /// Its lease, which the record is bound to.
    pub lease: LeaseId,
}

/// Targets whose weights are being replaced, so that no instance sends them calls meanwhile.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadingRecord {
    /// Model.
    pub model: ModelId,
    /// Version that replaces older ones.
    pub version: u64,
    /// Targets that take no calls for now.
    pub loading: Vec<TargetId>,
    /// Targets that have the version now.
    pub loaded: Vec<TargetId>,
}

/// A version of a model's weights that was named lately. The record ends when older weights must not be
/// used any more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecentVersion {
    /// The version.
    pub version: u64,
    /// The version that was wanted before; 0 if none was.
    pub replaces: u64,
}

/// What an item holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The configuration.
    Configuration(Box<RouteConfig>),
    /// The version of a model's weights that is wanted.
    Version(u64),
    /// A target.
    Target(TargetRegistration),
    /// An entry instance.
    Member(MemberRecord),
    /// The instance that may give orders.
    Holder(HolderRecord),
    /// Targets whose weights are being replaced.
    Loading(LoadingRecord),
    /// A version of a model's weights that was named lately.
    Recent(RecentVersion),
}

/// What a key names.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum ItemName {
    /// The configuration.
    Configuration,
    /// The version of a model.
    Version(ModelId),
    /// A target.
    Target(TargetId),
    /// An entry instance.
    Member(InstanceId),
    /// The holder of the right to give orders.
    Holder,
    /// Targets whose weights are being replaced.
    Loading,
    /// A version of a model's weights that was named lately.
    Recent(ModelId, u64),
}

/// Beginning of the keys of entry instances.
const MEMBERS_PREFIX: &str = "rattan/members/";
/// Key of the right to give orders.
pub(crate) const HOLDER_KEY: &str = "rattan/orders/holder";

/// Key of the targets whose weights are being replaced.
pub(crate) const LOADING_KEY: &str = "rattan/orders/loading";

/// Beginning of the keys of versions that were named lately.
const RECENT_PREFIX: &str = "rattan/versions/";

/// Key of a version that was named lately.
pub(crate) fn recent_key(model: &str, version: u64) -> String {
    format!("{RECENT_PREFIX}{model}/{version}")
}

/// Key of an entry instance.
pub(crate) fn member_key(instance: &str) -> String {
    format!("{MEMBERS_PREFIX}{instance}")
}

/// What a key of the entry instances' own names.
pub(crate) fn own_name(key: &str) -> Option<ItemName> {
    if key == HOLDER_KEY {
        return Some(ItemName::Holder);
    }
    if key == LOADING_KEY {
        return Some(ItemName::Loading);
    }
    if let Some(recent) = key.strip_prefix(RECENT_PREFIX) {
        let (model, version) = recent.rsplit_once('/')?;
        return Some(ItemName::Recent(model.to_owned(), version.parse().ok()?));
    }
    let instance = key.strip_prefix(MEMBERS_PREFIX)?;
    Some(ItemName::Member(instance.to_owned()))
}

/// Reads an item of the entry instances' own.
pub(crate) fn own_item(name: &ItemName, key: &str, value: &[u8]) -> Result<Item, ItemError> {
    let unreadable = |problem: String| ItemError {
        key: key.to_owned(),
        problem,
    };
    let item = match name {
        ItemName::Loading => serde_json::from_slice(value).map(Item::Loading),
        ItemName::Holder => serde_json::from_slice(value).map(Item::Holder),
        ItemName::Recent(..) => serde_json::from_slice(value).map(Item::Recent),
        _ => serde_json::from_slice(value).map(Item::Member),
    };
    item.map_err(|error| unreadable(error.to_string()))
}
