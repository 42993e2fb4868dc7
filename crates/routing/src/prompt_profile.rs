//! What is known of the request.

/// What is known of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptProfile {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens in one block.
    pub block_tokens: u64,
    /// Size of one block in bytes.
    pub block_bytes: u64,
    /// Leading blocks that were computed before, here or elsewhere.
    pub seen_blocks: usize,
}
