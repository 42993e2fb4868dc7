//! Origins of streams: the software version that began a stream, since only targets of that version
//! can take it up.
//!
//! [`OriginTable`] keeps the origins that an instance knows. While targets of one version serve, an
//! origin needs no record, since there is nothing to choose; [`PoolVersions`] tells when that is so.
//! Otherwise the instance that passes on a stream's first event sends an [`OriginRecord`] to the
//! [`holders`] of its [`StreamKey`], and the one at which the caller takes the stream up asks them.
//!
//! ```
//! use {
//!     origins::{Origin, OriginRecord, OriginTable, OriginKnowledge, stream_key},
//!     std::time::Duration,
//! };
//!
//! let origin = Origin { pool: "llm".to_owned(), software_version: "v1".to_owned() };
//! let key = stream_key("account", "request");
//! let record = OriginRecord { key, origin: origin.clone(), lifetime: Duration::from_secs(20) };
//! let mut table = OriginTable::default();
//! table.record(&record, true, Duration::ZERO);
//! assert_eq!(table.origin(key, Duration::from_secs(1)), OriginKnowledge::Known(origin));
//! assert_eq!(table.origin(key, Duration::from_secs(21)), OriginKnowledge::Unknown);
//! ```

mod holders;
mod origin;
mod origin_table;
mod pool_versions;

pub use {
    holders::{ASKED_COUNT, HOLDERS_COUNT, has_holder_answered, holders},
    origin::{Origin, OriginKnowledge, OriginRecord, StreamKey, stream_key},
    origin_table::{MAX_ORIGINS_COUNT, OriginTable},
    pool_versions::{PoolVersions, PossibleOrigins, VERSION_MEMORY},
};
