//! What instances tell each other once a second.

use {
    crate::Member,
    catalog::Revision,
    serde::{Deserialize, Serialize},
};

/// Sent to a few random peers a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender, with its state and incarnation.
    pub from: Member,
    /// Configuration revision in force at the sender.
    pub revision: Revision,
    /// Whether the sender knows few members and wants all of them.
    pub joining: bool,
    /// Recent changes of membership, a bounded number.
    pub updates: Vec<Member>,
}

/// The answer to a [`Heartbeat`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAck {
    /// The receiver, with its state and incarnation.
    pub from: Member,
    /// Configuration revision in force at the receiver.
    pub revision: Revision,
    /// Recent changes of membership; every member if the sender is joining.
    pub updates: Vec<Member>,
}
