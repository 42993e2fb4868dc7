//! Updates the block directory and the decision record after a complete answer.

use {
    crate::{
        PeerDirectory, RequestHandler,
        plan::{CompletionContext, Plan},
    },
    catalog::RequestId,
    decision::Step,
    keyvalue::KeyValue,
    std::time::Duration,
    target::Usage,
};

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Corrects the directory with the engine's own count of cached tokens and adds the final step
    /// to the decision record.
    pub(crate) fn record_finished(
        &self,
        context: &CompletionContext,
        plan: &Plan,
        request: &RequestId,
        usage: &Usage,
        first_token: Duration,
    ) {
        let cached_tokens = usage.prompt_tokens_details.cached_tokens;
        let block_tokens = u64::from(context.version.piece_tokens).max(1);
        let cached_blocks = usize::try_from(cached_tokens / block_tokens).unwrap_or(usize::MAX);
        let now = self.directory().now();
        let engine = &plan.engine.name;
        let believed_blocks = plan.choice.chosen.import_from_block;
        {
            let mut directory = self.directory().lock();
            directory.observe_belief(engine, believed_blocks, cached_blocks);
            directory.observe_run(engine, &plan.keys, cached_blocks, now);
        }
        let lost_blocks = plan.seen_blocks.saturating_sub(cached_blocks) as u64;
        let recomputed_tokens = lost_blocks * block_tokens;
        self.records().add_step(
            request,
            Step::Finished {
                prompt_tokens: usage.prompt_tokens,
                cached_tokens,
                recomputed_tokens,
                recompute_reason: recompute_reason(plan, cached_blocks),
                answer_tokens: usage.completion_tokens,
                first_token_ms: u64::try_from(first_token.as_millis()).unwrap_or(u64::MAX),
            },
        );
    }
}

/// The reason why blocks that had been computed before were computed again. Empty if none were.
fn recompute_reason(plan: &Plan, cached_blocks: usize) -> String {
    if cached_blocks >= plan.seen_blocks {
        return String::new();
    }
    let expected = &plan.choice.chosen;
    if expected.recomputed_tokens > 0 && plan.import.is_none() {
        return "no copy could be had sooner than computing again".to_owned();
    }
    if plan.import.is_some() {
        return "the import brought fewer blocks than the store was believed to have".to_owned();
    }
    "the engine had given up blocks that it was believed to have".to_owned()
}
