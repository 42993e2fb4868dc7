//! Orders and what targets report about themselves.

use {
    catalog::{TargetId, VersionDigest},
    serde::{Deserialize, Serialize},
};

/// The state that a target shall reach. Repeating an order changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Serve this version.
    LoadVersion {
        /// Digest of the version's weights.
        version: VersionDigest,
    },
    /// Have this adapter loaded.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Work in this role.
    SetRole {
        /// Name of the role.
        role: String,
    },
}

impl Order {
    /// Whether the target reads weights to carry it out.
    #[must_use]
    pub fn is_load(&self) -> bool {
        !matches!(self, Self::SetRole { .. })
    }
}

/// What a target reported last. It may lag behind.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedState {
    /// Digest of the version that it serves; empty if none.
    pub version: VersionDigest,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Its role; empty if it has none.
    pub role: String,
    /// Whether it takes no new work.
    pub leaving: bool,
}

impl ObservedState {
    /// Whether the target has reached the state that `order` states.
    #[must_use]
    pub fn satisfies(&self, order: &Order) -> bool {
        match order {
            Order::LoadVersion { version } => self.version == *version,
            Order::LoadAdapter { adapter } => self.adapters.contains(adapter),
            Order::SetRole { role } => self.role == *role,
        }
    }
}

/// An order for one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedOrder {
    /// Target.
    pub target: TargetId,
    /// Order.
    pub order: Order,
    /// Models whose engines are affected while the order is carried out.
    pub models: Vec<catalog::ModelId>,
}
