//! The work and memory that a call needs at its target.

/// Tokens of a call at its target; 0 for a call without a prompt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct CallTokens {
    /// Prompt tokens and expected output tokens, which the target holds in memory.
    pub(crate) held_count: u64,
    /// Prompt tokens that the target has to read, since neither it nor another place holds them.
    pub(crate) unread_count: u64,
}
