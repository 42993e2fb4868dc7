//! Heartbeat messages, which instances exchange once a second.

use {
    crate::Member,
    catalog::Revision,
    serde::{Deserialize, Serialize},
};

/// A heartbeat, sent to a few random peers once a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The sender, with its state and incarnation.
    pub from: Member,
    /// Configuration revision in force at the sender.
    pub revision: Revision,
    /// Whether the sender has just started and wants to learn all members.
    pub joining: bool,
    /// Recent changes of membership; their number is bounded.
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
