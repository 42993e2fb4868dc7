//! The operators' configuration as validated types: client accounts, model versions, targets and
//! placement rules. Each object has labels, which selectors match.
//!
//! This crate does no I/O. Raw values are deserialized from JSON and validated by [`TryFrom`]; an
//! [`InvalidField`] names the field, the problem and the remedy. [`Catalog`] holds all objects at
//! one revision, [`Edit`] is a change to one of them, and [`parse_file`] parses an operator's file.
//!
//! ```
//! use catalog::{Catalog, parse_file};
//!
//! let file = r#"{
//!     "kind": "client_account",
//!     "name": "countertops",
//!     "labels": { "deployment": "tasboulak" },
//!     "max_running_count": 8,
//!     "tokens_per_s": 20000
//! }"#;
//! let objects = parse_file(file).expect("the file is valid");
//! let catalog = Catalog::from_objects(1, objects);
//! assert_eq!(catalog.client_accounts["countertops"].weight, 1);
//! assert_eq!(catalog::warnings(&catalog).len(), 1); // The account has no key yet.
//! ```

mod catalog;
mod check;
mod client_account;
mod edit;
mod ids;
mod invalid_field;
mod labels;
mod model_version;
mod object;
mod operator_file;
mod placement_rule;
mod target;
mod warning;

pub use {
    catalog::Catalog,
    client_account::{ClientAccount, RawClientAccount},
    edit::Edit,
    ids::{
        ClientAccountId, FailureDomainId, InstanceId, ModelId, ModelVersionId, PlacementRuleId,
        RegionId, RequestId, Revision, SoftwareVersion, TargetId, VersionDigest,
    },
    invalid_field::InvalidField,
    labels::{Labels, Selector},
    model_version::{ModelVersion, RawModelVersion},
    object::{Object, ObjectError, ObjectKind},
    operator_file::{FileError, parse_file},
    placement_rule::{Objective, PlacementRule, RawPlacementRule},
    target::{RawTarget, ServiceCall, Target, TargetKind},
    warning::{Warning, warnings},
};
