//! Imports blocks from stores into engines.

use {
    crate::{
        PeerDirectory, RequestHandler,
        plan::{CompletionContext, Import, Plan},
        queued_link_bytes::QueuedLinkBytes,
    },
    catalog::{RequestId, Target, TargetId},
    decision::Step,
    keyvalue::KeyValue,
    prefix::BlockKey,
    std::time::{Duration, Instant},
    target::{BlockRef, EngineClient, ImportReply, ImportRequest},
};

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Imports the blocks that the plan contains. After a failure, the engine computes them
    /// instead.
    pub(crate) async fn import(
        &self,
        context: &CompletionContext,
        plan: &Plan,
        request: &RequestId,
    ) {
        let Some(planned) = &plan.import else {
            return;
        };
        let Some(store) = context.catalog.targets.get(&planned.store) else {
            return;
        };
        let planned_bytes = planned.blocks.len() as u64 * context.block_bytes();
        let timeout = routing::import_deadline(&plan.choice.chosen);
        let transfer = self
            .link_budgets()
            .admit_import(store, self.link_rate(store, &plan.engine));
        let queued = QueuedLinkBytes::new(self, [&plan.engine.name, &store.name], planned_bytes);
        let import = import_request(context, planned, store);
        let started = Instant::now();
        let engine = EngineClient::new(self.client().clone(), plan.engine.address);
        let result = engine.import(&import, timeout).await;
        drop((queued, transfer));
        let (reply, missing) = match result {
            Ok(reply) => {
                let missing = self.apply_import(&store.name, &reply, started.elapsed(), plan);
                (reply, missing)
            }
            Err(error) => {
                // The failed import shows that the link is no faster than this. The measurement
                // gives the next import more time, or makes routing decide against an import.
                self.measure_links(
                    [&store.name, &plan.engine.name],
                    planned_bytes,
                    started.elapsed(),
                );
                (ImportReply::default(), error.to_string())
            }
        };
        self.records().add_step(
            request,
            Step::Imported {
                store: store.name.clone(),
                blocks_count: reply.imported.len(),
                link_bytes: reply.link_bytes,
                missing,
            },
        );
    }

    /// Updates the measured link rates of two targets after an import between them. Exports are not
    /// measured: they yield to other work, so their rate says little about imports.
    fn measure_links(&self, ends: [&TargetId; 2], bytes: u64, took: Duration) {
        for name in ends {
            if let Some(view) = self.fleet().view(name) {
                view.record_transfer(bytes, took.as_secs_f64());
            }
        }
    }

    /// Updates the link rates and the directory after an import. Returns the errors of the blocks
    /// that were not imported, joined into one text.
    fn apply_import(
        &self,
        store: &TargetId,
        reply: &ImportReply,
        took: Duration,
        plan: &Plan,
    ) -> String {
        self.measure_links([store, &plan.engine.name], reply.link_bytes, took);
        let now = self.directory().now();
        let mut missing = Vec::new();
        for failed in &reply.failed {
            missing.push(failed.error.as_str());
            if let Some(key) = parse_key(&failed.key) {
                self.directory().lock().free_copy(&key, store, now);
            }
        }
        missing.sort_unstable();
        missing.dedup();
        missing.join("; ")
    }
}

/// Parses a block key in hexadecimal form.
pub(crate) fn parse_key(text: &str) -> Option<BlockKey> {
    let mut key = BlockKey::default();
    hex::decode_to_slice(text, &mut key).ok()?;
    Some(key)
}

fn import_request(context: &CompletionContext, planned: &Import, store: &Target) -> ImportRequest {
    ImportRequest {
        store: store.address,
        version: context.version.digest.clone(),
        blocks: planned
            .blocks
            .iter()
            .map(|block| BlockRef {
                key: hex::encode(block.key),
                generation: block.generation,
                ..BlockRef::default()
            })
            .collect(),
    }
}
