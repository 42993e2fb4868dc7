//! Tracks which stores and engines hold cached parts of prompts, and plans which parts a call
//! fetches and saves.
//!
//! A prompt consists of parts that several calls may share. Stores keep the parts that engines have
//! evicted. The [`PartDirectory`] applies what each store and engine reports, and plans calls: a
//! part that a store holds completely is fetched from it, and a part that no store holds is saved
//! once. Both need a recent report of the store. The crate does no I/O and reads no clock; the
//! current time is passed in.
//!
//! ```
//! use parts::{CachedPart, Change, PartDirectory, PromptPart, Store, part_key};
//! use std::time::Duration;
//!
//! let mut directory = PartDirectory::default();
//! let store = ([127, 0, 0, 1], 9100).into();
//! directory.set_store(Store::new(store, 100_000));
//! directory.set_reported(store, Duration::ZERO);
//! let prompt_parts = ["template", "session"].map(|id| PromptPart::new("v1", id, 5_000));
//! let engine = (([127, 0, 0, 1], 9200).into(), "almaty-a");
//! let first_plan = directory.plan(&prompt_parts, engine, Duration::ZERO, true);
//! assert_eq!(first_plan.save, [Some(store), Some(store)], "no store holds a part yet");
//! let parts = vec![CachedPart { part: part_key("v1", "session"), tokens: 5_000 }];
//! directory.apply(&Change::Held { place: store, parts }, Duration::ZERO);
//! let next_plan = directory.plan(&prompt_parts, engine, Duration::ZERO, true);
//! assert_eq!(next_plan.fetch, [None, Some(store)]);
//! ```

mod change;
mod change_log;
mod part_directory;
mod part_holders;
mod part_key;
mod plan;
mod slowdown;
mod store;
mod store_report;

pub use {
    change::{CachedPart, Change},
    change_log::{ChangeLog, MAX_CHANGES_COUNT, Position},
    part_directory::{LinkUse, PartDirectory},
    part_key::{PartKey, part_key},
    plan::{Plan, PromptPart, Transfer},
    store::{MAX_FETCH_TIME, MAX_REPORT_AGE, OLD_REPORT_LIFETIME, Store},
};
