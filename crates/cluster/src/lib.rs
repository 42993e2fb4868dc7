//! Membership of the entry instances, ownership by rendezvous hashing and calls between instances.
//!
//! [`Membership`] tracks the entry instances from an instance list, which may be out of date, and
//! from [`Heartbeat`]s. [`Members`] is an immutable view of it. [`Members::owners`] returns the
//! instances that keep the directory entries of a key, [`Members::entry_instances_for`] the
//! instances that the callers of a client account should use, and [`keys_to_hand_off`] the keys to
//! send to their new owners when ownership changes.
//!
//! [`Cluster`] runs this over sockets. [`serve`] answers peers through a [`PeerHandler`], and
//! [`Peers`] calls them. Both sides first prove that they share a [`PeerKey`] ([`handshake`]).
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

mod account_shares;
mod circuit_breaker;
mod cluster;
mod connection;
mod directory_messages;
mod error;
mod handler;
mod handoff;
pub mod handshake;
mod heartbeat;
mod hedged_lookup;
mod member;
mod members;
mod membership;
mod peer_key;
mod peer_rotation;
mod peer_slot;
mod peers;
mod server;
mod service;
mod traffic_counters;
mod update_queue;

pub use {
    account_shares::AccountShares,
    circuit_breaker::CircuitBreaker,
    cluster::Cluster,
    connection::transport,
    directory_messages::{BlockWrite, DirectoryAnswer, DirectoryUpdate, HeldBlock, Holder},
    error::{HandshakeError, PeerError},
    handler::PeerHandler,
    handoff::{OWNERS_COUNT, keys_to_hand_off},
    heartbeat::{Heartbeat, HeartbeatAck},
    hedged_lookup::{LookupOutcome, LookupTimeouts, hedged_lookup},
    member::{Incarnation, Member, MemberState},
    members::{MAX_ENTRY_INSTANCES_COUNT, Members},
    membership::{HEARTBEAT_PEERS_COUNT, Membership, SUSPECT_AFTER},
    peer_key::{MIN_KEY_BYTES, PeerKey, PeerKeyError, PeerKeys},
    peers::{HEARTBEAT_TIMEOUT, Peers},
    server::{accept_connection, serve},
    service::CatalogCopy,
    traffic_counters::TrafficCounters,
    update_queue::MAX_UPDATES_COUNT,
};
