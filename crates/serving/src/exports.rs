//! Exports blocks from engines to stores.

use {
    crate::{
        PeerDirectory, RequestHandler,
        plan::{CompletionContext, Plan},
        queued_link_bytes::QueuedLinkBytes,
        stores,
    },
    catalog::{RequestId, Target, TargetId},
    cluster::{BlockWrite, DirectoryUpdate},
    decision::Step,
    directory::{ExportPlan, ExportPolicy, Prompt, StoreCopy, Write},
    keyvalue::KeyValue,
    rand::random,
    std::time::Duration,
    target::{BlockRef, EngineClient, ExportRequest},
};

/// Timeout of an export. It may be long, since no caller waits for an export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Keeps two copies of each block, so that the loss of a store or a link causes no recomputation.
const EXPORT_POLICY: ExportPolicy = ExportPolicy {
    min_saved_s_per_mebibyte: 0.0,
    replicas_count: 2,
};

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Records the use of the plan's blocks, then exports those that the directory selects.
    pub(crate) async fn export(
        &self,
        context: &CompletionContext,
        plan: &Plan,
        request: &RequestId,
    ) {
        let now = self.directory().now();
        let prompt = Prompt {
            client_account: &context.account.name,
            keys: &plan.keys,
            block_bytes: context.block_bytes(),
            block_recompute: self.block_compute_time(context, &plan.engine),
        };
        let stores = stores::export_destinations(self, context);
        let exports = {
            let mut directory = self.directory().lock();
            directory.record_use(&prompt, now);
            directory.exports(&prompt, &stores, &EXPORT_POLICY, now)
        };
        if let Some(root) = plan.keys.first() {
            let used = DirectoryUpdate::Used {
                client_account: context.account.name.clone(),
                keys: plan.keys.clone(),
            };
            self.peers().publish(root, vec![used]);
        }
        for export in &exports {
            self.make_room(context, &export.store, export.link_bytes)
                .await;
            self.export_to(context, plan, export, request).await;
        }
    }

    /// Time that the engine takes to compute one block, or zero if it has not reported its rate.
    pub(crate) fn block_compute_time(
        &self,
        context: &CompletionContext,
        engine: &Target,
    ) -> Duration {
        let rate = self
            .fleet()
            .view(&engine.name)
            .and_then(|view| view.report())
            .map_or(0.0, |report| report.prefill_tokens_per_s);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(f64::from(context.version.piece_tokens) / rate)
    }

    async fn export_to(
        &self,
        context: &CompletionContext,
        plan: &Plan,
        export: &ExportPlan,
        request: &RequestId,
    ) {
        let Some(store) = context.catalog.targets.get(&export.store) else {
            return;
        };
        let rate = self.link_rate(store, &plan.engine);
        let Some(transfer) = self.link_budgets().admit_export(store, rate).await else {
            let reason = format!("the link of {} has had no room for long", store.name);
            return self.record_export(request, String::new(), 0, 0, reason);
        };
        let writes = self.begin_writes(context, export);
        let queued =
            QueuedLinkBytes::new(self, [&plan.engine.name, &store.name], export.link_bytes);
        let body = ExportRequest {
            store: store.address,
            version: context.version.digest.clone(),
            blocks: writes.iter().map(block_ref).collect(),
        };
        let engine = EngineClient::new(self.client().clone(), plan.engine.address);
        let result = engine.export(&body, EXPORT_TIMEOUT).await;
        drop((queued, transfer));
        let (exported, link_bytes, reason) = match result {
            Ok(reply) => {
                let reason = reply.failed.first().map_or_else(
                    || format!("expected to save {:.2} s of computing", export.saved_s),
                    |failed| failed.error.clone(),
                );
                (reply.exported, reply.link_bytes, reason)
            }
            Err(error) => (Vec::new(), 0, error.to_string()),
        };
        let committed_count = self.finish_writes(plan, store, writes, &exported).await;
        let store = store.name.clone();
        self.record_export(request, store, committed_count, link_bytes, reason);
    }

    fn record_export(
        &self,
        request: &RequestId,
        store: TargetId,
        blocks_count: usize,
        link_bytes: u64,
        reason: String,
    ) {
        let step = Step::Exported {
            store,
            blocks_count,
            link_bytes,
            reason,
        };
        self.records().add_step(request, step);
    }

    /// Begins a write in the directory for each block of an export. Leaves out blocks that the
    /// directory refuses.
    fn begin_writes(&self, context: &CompletionContext, export: &ExportPlan) -> Vec<Write> {
        let now = self.directory().now();
        let mut directory = self.directory().lock();
        export
            .keys
            .iter()
            .map(|key| Write {
                key: *key,
                target: export.store.clone(),
                generation: random::<u64>() >> 1,
                size_bytes: context.block_bytes(),
                client_account: context.account.name.clone(),
            })
            .filter(|write| directory.begin_write(write, now).is_ok())
            .collect()
    }

    /// Commits the copies that the store has confirmed and frees the others. Returns the number of
    /// committed copies.
    async fn finish_writes(
        &self,
        plan: &Plan,
        store: &Target,
        writes: Vec<Write>,
        exported: &[BlockRef],
    ) -> usize {
        let now = self.directory().now();
        let mut committed = Vec::new();
        let mut freed = Vec::new();
        {
            let mut directory = self.directory().lock();
            for write in writes {
                let is_confirmed = exported.iter().any(|block| {
                    block.generation == write.generation && block.key == hex::encode(write.key)
                });
                let is_committed = is_confirmed
                    && directory
                        .commit(&write.key, &write.target, write.generation, now)
                        .is_ok();
                if is_committed {
                    committed.push(DirectoryUpdate::Committed(BlockWrite::from(&write)));
                } else {
                    directory.free_copy(&write.key, &write.target, now);
                    freed.push(stored_copy(&write));
                }
            }
        }
        let committed_count = committed.len();
        if let Some(root) = plan.keys.first() {
            self.peers().publish(root, committed);
        }
        self.delete(store, &freed).await;
        committed_count
    }
}

fn block_ref(write: &Write) -> BlockRef {
    BlockRef {
        key: hex::encode(write.key),
        generation: write.generation,
        size_bytes: write.size_bytes,
        client_account: write.client_account.clone(),
    }
}

fn stored_copy(write: &Write) -> StoreCopy {
    StoreCopy {
        key: write.key,
        target: write.target.clone(),
        generation: write.generation,
        size_bytes: write.size_bytes,
    }
}
