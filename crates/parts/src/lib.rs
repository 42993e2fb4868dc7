//! Where parts of prompts are kept, and which of them a call fetches and saves.
//!
//! A prompt is given as parts that calls share. Stores keep parts that engines have evicted. The
//! [`PartDirectory`] follows what each store reports, and plans a call: parts that a store holds whole
//! are fetched, parts that none holds are saved once. Plain state: time comes in as an argument.
//!
//! ```
//! use parts::{Change, CachedPart, PartDirectory, Store, PromptPart, part_key};
//! use std::time::Duration;
//!
//! let mut keeping = PartDirectory::default();
//! let address = ([127, 0, 0, 1], 9100).into();
//! keeping.set_store(Store::new(address, 100_000));
//! let wish = ["template", "session"].map(|id| PromptPart::new("v1", id, 5_000));
//! let engine = (([127, 0, 0, 1], 9200).into(), "almaty-a");
//! let first = keeping.plan(&wish, engine, Duration::ZERO, true);
//! assert_eq!(first.save, [Some(address), Some(address)], "nothing is kept yet");
//! let parts = vec![CachedPart { part: part_key("v1", "session"), tokens: 5_000 }];
//! keeping.apply(&Change::Held { place: address, parts }, Duration::ZERO);
//! let next = keeping.plan(&wish, engine, Duration::ZERO, true);
//! assert_eq!(next.fetch, [None, Some(address)]);
//! ```

mod change;
mod change_log;
mod held_parts;
mod pace;
mod part_directory;
mod part_key;
mod plan;
mod store;

pub use {
    change::{CachedPart, Change},
    change_log::{ChangeLog, MAX_CHANGES_COUNT, Position},
    part_directory::{LinkUse, PartDirectory},
    part_key::{PartKey, part_key},
    plan::{Plan, PromptPart, Transfer},
    store::Store,
};
