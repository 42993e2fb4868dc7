//! Membership of the entry instances, ownership by rendezvous hashing and calls between instances.
//!
//! [`Membership`] learns from a late instance list and from [`Heartbeat`]s who is there, and gives
//! out [`Members`], an immutable view. [`Members::owners`] says which instances keep the directory
//! entries of a key, [`Members::entries_for`] which ones a client account's callers are told to
//! use, and [`moved`] what goes where when ownership changes.
//!
//! ```
//! use cluster::{Member, MemberState, Members};
//!
//! let member = |index: u16| Member {
//!     instance: format!("entry-{index}"),
//!     address: ([127, 0, 0, 1], 8000 + index).into(),
//!     peer_address: ([127, 0, 0, 1], 9000 + index).into(),
//!     region: "almaty".to_owned(),
//!     failure_domain: format!("fd-{}", index % 3),
//!     state: MemberState::Live,
//!     incarnation: 1,
//! };
//! let members = Members::new("almaty".to_owned(), (0..5).map(member));
//! let owners = members.owners(b"block root", 2);
//! assert_ne!(owners[0].failure_domain, owners[1].failure_domain);
//! ```

mod handoff;
mod heartbeat;
mod member;
mod members;
mod membership;
mod rendezvous;
mod rotation;
mod updates;

pub use {
    handoff::{OWNERS_COUNT, moved},
    heartbeat::{Heartbeat, HeartbeatAck},
    member::{Incarnation, Member, MemberState},
    members::{MAX_ENTRIES_COUNT, Members},
    membership::{HEARTBEAT_PEERS_COUNT, Membership, SUSPECT_AFTER},
    updates::MAX_UPDATES_COUNT,
};
