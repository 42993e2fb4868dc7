//! Membership of the entry instances, ownership by rendezvous hashing and calls between instances.
//!
//! [`Membership`] learns from a late instance list and from [`Heartbeat`]s who is there, and gives
//! out [`Members`], an immutable view. [`Members::owners`] says which instances keep the directory
//! entries of a key, [`Members::entries_for`] which ones a client account's callers are told to
//! use, and [`moved`] what goes where when ownership changes.
//!
//! [`Cluster`] runs this over sockets. [`serve`] answers peers through a [`PeerHandler`], and
//! [`Peers`] calls them; both ends prove first that they hold a [`PeerKey`] in common
//! ([`handshake`]).
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

mod breaker;
mod cluster;
mod connection;
mod directory_call;
mod error;
mod handler;
mod handoff;
pub mod handshake;
mod heartbeat;
mod lookup;
mod member;
mod members;
mod membership;
mod peer_key;
mod peers;

mod rotation;
mod server;
mod service;
mod slot;
mod traffic;
mod updates;

pub use {
    breaker::Breaker,
    cluster::Cluster,
    connection::transport,
    directory_call::{BlockWrite, DirectoryAnswer, DirectoryUpdate, HeldBlock, Holder},
    error::{HandshakeError, PeerError},
    handler::PeerHandler,
    handoff::{OWNERS_COUNT, moved},
    heartbeat::{Heartbeat, HeartbeatAck},
    lookup::{Lookup, LookupBounds, lookup},
    member::{Incarnation, Member, MemberState},
    members::{MAX_ENTRIES_COUNT, Members},
    membership::{HEARTBEAT_PEERS_COUNT, Membership, SUSPECT_AFTER},
    peer_key::{MIN_KEY_BYTES, PeerKey, PeerKeyError, PeerKeys},
    peers::{HEARTBEAT_TIMEOUT, Peers},
    server::{next_stream, serve},
    service::CatalogCopy,
    traffic::Traffic,
    updates::MAX_UPDATES_COUNT,
};
