//! What the head of a target's answer shows, for the log line of its call.

use {
    crate::{ReplyMetadata, TargetStatements},
    std::time::Duration,
    target::Reply,
};

/// What the head of an answer shows: whose it is, how it came, and what its target states.
#[derive(Debug)]
pub(crate) struct ObservedAnswer {
    /// Request id that it names; empty if none.
    pub(crate) id: String,
    /// Target that it names; empty if none.
    pub(crate) target: String,
    /// Age of the connection.
    pub(crate) connection_age: Duration,
    /// Calls that the connection carried before.
    pub(crate) earlier_requests_count: u32,
    /// Whether it ends with its connection.
    pub(crate) is_unframed: bool,
    /// What the target states of itself.
    pub(crate) statements: TargetStatements,
}

impl ObservedAnswer {
    /// What `reply` shows, whose headers say `metadata`.
    pub(crate) fn new(reply: &Reply, metadata: &ReplyMetadata) -> Self {
        Self {
            id: metadata.id.clone().unwrap_or_default(),
            target: metadata.target.clone().unwrap_or_default(),
            connection_age: reply.connection_age(),
            earlier_requests_count: reply.earlier_requests_count(),
            is_unframed: reply.ends_with_connection(),
            statements: metadata.statements.clone(),
        }
    }
}
