//! Imports blocks from stores into engines.

use {
    crate::{
        PeerDirectory, RequestHandler,
        link_queue::LinkQueue,
        plan::{Import, Plan, Scope},
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
    /// Imports the blocks that the plan wants. A failure costs no more than computing them again.
    pub(crate) async fn import(&self, scope: &Scope, plan: &Plan, request: &RequestId) {
        let Some(wanted) = &plan.import else {
            return;
        };
        let Some(store) = scope.catalog.targets.get(&wanted.store) else {
            return;
        };
        let wanted_bytes = wanted.blocks.len() as u64 * scope.block_bytes();
        let bound = routing::import_deadline(&plan.choice.chosen);
        let transfer = self
            .links()
            .import(store, self.link_rate(store, &plan.engine));
        let queued = LinkQueue::new(self, [&plan.engine.name, &store.name], wanted_bytes);
        let import = import_request(scope, wanted, store);
        let started = Instant::now();
        let engine = EngineClient::new(self.client().clone(), plan.engine.address);
        let result = engine.import(&import, bound).await;
        drop((queued, transfer));
        let (reply, missing) = match result {
            Ok(reply) => {
                let missing = self.note_import(&store.name, &reply, started.elapsed(), plan);
                (reply, missing)
            }
            Err(error) => {
                // The link is no faster than this, so the next import is given more time or none.
                self.measure_links(
                    [&store.name, &plan.engine.name],
                    wanted_bytes,
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

    /// Takes in how long an import over the links of two targets took. Exports yield to other
    /// work, so their rate says little about imports.
    fn measure_links(&self, ends: [&TargetId; 2], bytes: u64, took: Duration) {
        for name in ends {
            if let Some(view) = self.fleet().view(name) {
                view.record_transfer(bytes, took.as_secs_f64());
            }
        }
    }

    /// Corrects directory and link by what an import did; gives what is missing, in words.
    fn note_import(
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

/// A block key from its hex form.
pub(crate) fn parse_key(text: &str) -> Option<BlockKey> {
    let mut key = BlockKey::default();
    hex::decode_to_slice(text, &mut key).ok()?;
    Some(key)
}

fn import_request(scope: &Scope, wanted: &Import, store: &Target) -> ImportRequest {
    ImportRequest {
        store: store.address,
        version: scope.version.digest.clone(),
        blocks: wanted
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
