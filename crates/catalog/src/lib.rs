//! The operators' configuration as checked types: client accounts, model versions, targets and
//! placement rules, each marked with labels and chosen by selectors.
//!
//! Nothing here does I/O. Raw values come from JSON and become checked ones by [`TryFrom`]; an
//! [`Invalid`] names the field, the problem and the remedy. [`Catalog`] is one consistent state of
//! all objects, [`Edit`] one change of it, [`parse_file`] reads what an operator wrote.
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

mod account;
mod catalog;
mod check;
mod edit;
mod file;
mod ids;
mod invalid;
mod labels;
mod model;
mod object;
mod rule;
mod target;
mod warning;

pub use {
    account::{ClientAccount, RawClientAccount},
    catalog::Catalog,
    edit::Edit,
    file::{FileError, parse_file},
    ids::{
        ClientAccountId, FailureDomainId, InstanceId, ModelId, ModelVersionId, PlacementRuleId,
        RegionId, RequestId, Revision, TargetId, VersionDigest,
    },
    invalid::Invalid,
    labels::{Labels, Selector},
    model::{ModelVersion, RawModelVersion},
    object::{Object, ObjectError, ObjectKind},
    rule::{Objective, PlacementRule, RawPlacementRule},
    target::{RawTarget, ServiceCall, Target, TargetKind},
    warning::{Warning, warnings},
};
