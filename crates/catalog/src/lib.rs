//! The operators' configuration as checked types: client accounts, model versions, targets and
//! placement rules, each marked with labels and chosen by selectors.
//!
//! Nothing here does I/O. Raw values come from JSON and become checked ones by [`TryFrom`].

mod account;
mod ids;
mod labels;
mod model;
mod rule;
mod snapshot;
mod target;

pub use {
    account::ClientAccount,
    ids::{
        ClientAccountId, FailureDomainId, InstanceId, ModelId, ModelVersionId, PlacementRuleId,
        RegionId, RequestId, Revision, TargetId, VersionDigest,
    },
    labels::{Labels, Selector},
    model::ModelVersion,
    rule::{Objective, PlacementRule},
    snapshot::Catalog,
    target::{ServiceCall, Target, TargetKind},
};
