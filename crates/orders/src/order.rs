//! Orders for targets and the state that targets report.

use {
    catalog::{TargetId, VersionDigest},
    serde::{Deserialize, Serialize},
};

/// A state that a target is told to reach. Orders are idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Serve this version.
    LoadVersion {
        /// Digest of the version's weights.
        version: VersionDigest,
    },
    /// Load this adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Take on this role.
    SetRole {
        /// Name of the role.
        role: String,
    },
}

impl Order {
    /// Returns whether the target must read weights to carry out the order.
    #[must_use]
    pub fn is_load(&self) -> bool {
        !matches!(self, Self::SetRole { .. })
    }
}

/// The state that a target reported last. It may be out of date.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObservedState {
    /// Digest of the version that the target serves; empty if it serves none.
    pub version: VersionDigest,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// Role of the target; empty if it has none.
    pub role: String,
    /// Whether the target accepts no new work because it leaves.
    pub leaving: bool,
}

impl ObservedState {
    /// Returns whether the target has reached the state that `order` asks for.
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
    /// Target that receives the order.
    pub target: TargetId,
    /// State that the target is told to reach.
    pub order: Order,
    /// Models that have one engine fewer while the order is carried out.
    pub models: Vec<catalog::ModelId>,
}
