//! Tracks where each cached block is stored, its state, and the value of keeping it.
//!
//! A [`Directory`] is the soft state that an entry instance keeps about the prompts whose first
//! block it owns. It does no I/O and reads no clock: the caller passes `now` as the time since an
//! origin of its choice, so the daemon and the tests run the same code.
//!
//! Copies in stores go through [`CopyState::Writing`], [`CopyState::Committed`] and
//! [`CopyState::Freed`]; only committed copies are returned, with the generation that a reader must
//! present. Copies in engine memory follow the engine's cache events
//! ([`Directory::apply_events`]).
//!
//! ```
//! use {
//!     directory::{Directory, StoreWrite},
//!     std::time::Duration,
//! };
//!
//! let mut directory = Directory::default();
//! let now = Duration::ZERO;
//! let write = StoreWrite {
//!     key: [7; 32],
//!     target: "store-a".into(),
//!     generation: 1,
//!     size_bytes: 4_096,
//!     client_account: "kitchens".into(),
//! };
//! directory.begin_write(&write, now)?;
//! assert_eq!(directory.copies(&write.key).count(), 0);
//! directory.commit(&write.key, &write.target, write.generation, now)?;
//! assert_eq!(directory.copies(&write.key).count(), 1);
//! directory.free(&write.key, now);
//! assert_eq!(directory.copies(&write.key).count(), 0);
//! # Ok::<(), directory::WriteError>(())
//! ```

mod account_reuse;
mod block;
mod block_copy;
mod block_reuse;
mod cache_events;
mod directory;
mod error;
mod eviction;
mod export_plan;
mod interner;
mod prefix_match;
mod rendezvous;
mod store_usage;

pub use {
    account_reuse::AccountReuse,
    block::CopyState,
    block_copy::{BlockCopy, Generation, Place, StoreCopy, StoreWrite},
    cache_events::{ApplyOutcome, CacheEvent, CacheEventKind},
    directory::{Directory, PromptBlocks},
    error::WriteError,
    eviction::Victim,
    export_plan::{ExportPlan, ExportPolicy, StoreState},
    prefix_match::PrefixMatch,
};
