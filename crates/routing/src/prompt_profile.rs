//! Size of a prompt and how much of it has been computed before.

/// Size of a prompt and how much of it has been computed before.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptProfile {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of prompt tokens per block.
    pub block_tokens: u64,
    /// Size of one block in bytes.
    pub block_bytes: u64,
    /// Number of leading blocks that some engine has computed before.
    pub seen_blocks: usize,
}
