//! Reads and writes the operators' configuration at the key-value service.
//!
//! [`Writer`] commits changes: all changes of one call in one transaction, each on condition that
//! its object was not changed in the meantime. [`Follower`] keeps an instance's copy of the
//! configuration up to date and publishes it through a [`FollowerHandle`]; the copy never reverts
//! to a lower revision. Both are generic over [`keyvalue::KeyValue`]. Peers exchange a [`Snapshot`]
//! while the service is down.
//!
//! | key | value |
//! |---|---|
//! | `/rattan/config/{kind}/{name}` | JSON of one object |
//! | `/rattan/config/last_change` | id of the last accepted change |
//! | `/rattan/change/{change_id}` | state of a change, under a lease of one hour |

mod apply_error;
mod apply_outcome;
mod change;
mod change_record;
mod follower;
mod follower_handle;
mod follower_state;
mod keys;
mod snapshot;
mod staleness_warning;
mod transaction_plan;
mod writer;

pub use {
    apply_error::ApplyError,
    apply_outcome::ApplyOutcome,
    change::{Change, ChangeId, ObjectName, Precondition, RawChange},
    follower::{Follower, FollowerSettings},
    follower_handle::{FollowerHandle, FollowerStatus},
    keys::{CONFIG_PREFIX, LAST_CHANGE_KEY, change_key, object_key, parse_object_key},
    snapshot::{Snapshot, SnapshotError, VersionedObject},
    writer::Writer,
};
