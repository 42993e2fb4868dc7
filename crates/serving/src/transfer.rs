//! Moves blocks between engines and stores.

use {
    crate::{
        PeerBlocks, Serving,
        plan::{Import, Plan, Scope},
        stores::{self, Link},
    },
    catalog::{RequestId, Target, TargetId},
    cluster::{BlockWrite, DirectoryUpdate},
    decision::Step,
    directory::{ExportPlan, ExportPolicy, Prompt, StoreCopy, Write},
    fleet::LinkRate,
    platform::KeyValue,
    prefix::BlockKey,
    rand::random,
    std::time::{Duration, Instant},
    target::{BlockRef, EngineClient, ExportRequest, ImportReply, ImportRequest, StoreClient},
};

/// Longest time allowed for an export, which nobody waits for.
const EXPORT_BOUND: Duration = Duration::from_secs(20);
/// Two copies, so that losing a store or a link costs no computing.
const EXPORT_POLICY: ExportPolicy = ExportPolicy {
    min_saved_s_per_mebibyte: 0.0,
    replicas_count: 2,
};
/// Share of a store's capacity that may be in use before copies are given up.
const STORE_FULL_SHARE: f64 = 0.9;

impl<Kv, Peers> Serving<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerBlocks,
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
        self.journal().step(
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
                view.measure_link(bytes, took.as_secs_f64());
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
        let now = self.blocks().now();
        let mut missing = Vec::new();
        for failed in &reply.failed {
            missing.push(failed.error.as_str());
            if let Some(key) = parse_key(&failed.key) {
                self.blocks().lock().free_copy(&key, store, now);
            }
        }
        missing.sort_unstable();
        missing.dedup();
        missing.join("; ")
    }

    /// Notes that an engine answered from `plan`'s blocks, then exports those worth it.
    pub(crate) async fn export(&self, scope: &Scope, plan: &Plan, request: &RequestId) {
        let now = self.blocks().now();
        let prompt = Prompt {
            client_account: &scope.account.name,
            keys: &plan.keys,
            block_bytes: scope.block_bytes(),
            block_recompute: self.block_recompute(scope, &plan.engine),
        };
        let stores = stores::destinations(self, scope);
        let exports = {
            let mut directory = self.blocks().lock();
            directory.record_use(&prompt, now);
            directory.exports(&prompt, &stores, &EXPORT_POLICY, now)
        };
        if let Some(root) = plan.keys.first() {
            let used = DirectoryUpdate::Used {
                client_account: scope.account.name.clone(),
                keys: plan.keys.clone(),
            };
            self.peers().publish(root, vec![used]);
        }
        for export in &exports {
            self.make_room(scope, &export.store, export.link_bytes)
                .await;
            self.export_to(scope, plan, export, request).await;
        }
    }

    /// Time an engine takes to compute one block.
    pub(crate) fn block_recompute(&self, scope: &Scope, engine: &Target) -> Duration {
        let rate = self
            .fleet()
            .view(&engine.name)
            .and_then(|view| view.report())
            .map_or(0.0, |report| report.prefill_tokens_per_s);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(f64::from(scope.version.piece_tokens) / rate)
    }

    async fn export_to(
        &self,
        scope: &Scope,
        plan: &Plan,
        export: &ExportPlan,
        request: &RequestId,
    ) {
        let Some(store) = scope.catalog.targets.get(&export.store) else {
            return;
        };
        let rate = self.link_rate(store, &plan.engine);
        let Some(transfer) = self.links().export(store, rate).await else {
            let reason = format!("the link of {} has had no room for long", store.name);
            return self.note_export(request, String::new(), 0, 0, reason);
        };
        let writes = self.begin_writes(scope, export);
        let queued = LinkQueue::new(self, [&plan.engine.name, &store.name], export.link_bytes);
        let body = ExportRequest {
            store: store.address,
            version: scope.version.digest.clone(),
            blocks: writes.iter().map(block_ref).collect(),
        };
        let engine = EngineClient::new(self.client().clone(), plan.engine.address);
        let result = engine.export(&body, EXPORT_BOUND).await;
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
        let committed_count = self.settle_writes(plan, store, writes, &exported).await;
        let store = store.name.clone();
        self.note_export(request, store, committed_count, link_bytes, reason);
    }

    fn note_export(
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
        self.journal().step(request, step);
    }

    /// Rate of the link between a store and an engine.
    fn link_rate(&self, store: &Target, engine: &Target) -> LinkRate {
        let store_view = self.fleet().view(&store.name);
        let engine_view = self.fleet().view(&engine.name);
        store_view.zip(engine_view).map_or_else(
            || LinkRate::configured(store.link_bytes_per_s),
            |(store, engine)| Link::between(&store, &engine).rate,
        )
    }

    fn begin_writes(&self, scope: &Scope, export: &ExportPlan) -> Vec<Write> {
        let now = self.blocks().now();
        let mut directory = self.blocks().lock();
        export
            .keys
            .iter()
            .map(|key| Write {
                key: *key,
                target: export.store.clone(),
                generation: random::<u64>() >> 1,
                size_bytes: scope.block_bytes(),
                client_account: scope.account.name.clone(),
            })
            .filter(|write| directory.begin_write(write, now).is_ok())
            .collect()
    }

    /// Commits the copies that the store has confirmed and frees the others; gives how many were
    /// committed.
    async fn settle_writes(
        &self,
        plan: &Plan,
        store: &Target,
        writes: Vec<Write>,
        exported: &[BlockRef],
    ) -> usize {
        let now = self.blocks().now();
        let mut committed = Vec::new();
        let mut freed = Vec::new();
        {
            let mut directory = self.blocks().lock();
            for write in writes {
                let is_whole = exported.iter().any(|block| {
                    block.generation == write.generation && block.key == hex::encode(write.key)
                });
                let is_committed = is_whole
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

    /// Frees copies so that `wanted_bytes` fit into a store that is nearly full.
    async fn make_room(&self, scope: &Scope, store: &TargetId, wanted_bytes: u64) {
        let Some(target) = scope.catalog.targets.get(store) else {
            return;
        };
        let reported_bytes = self
            .fleet()
            .view(store)
            .and_then(|view| view.usage())
            .map_or(0, |usage| usage.used_bytes);
        let now = self.blocks().now();
        let freed: Vec<StoreCopy> = {
            let mut directory = self.blocks().lock();
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_precision_loss,
                clippy::cast_sign_loss
            )]
            let limit_bytes = (target.capacity_bytes as f64 * STORE_FULL_SHARE) as u64;
            let used_bytes = directory.store_used_bytes(store).max(reported_bytes);
            let over_bytes = (used_bytes + wanted_bytes).saturating_sub(limit_bytes);
            let weight = |account: &String| {
                let account = scope.catalog.client_accounts.get(account);
                account.map_or(1, |account| account.weight)
            };
            let victims = directory.victims(store, over_bytes, weight, now);
            victims
                .iter()
                .filter_map(|victim| directory.free_copy(&victim.copy.key, store, now))
                .collect()
        };
        for copy in &freed {
            let update = DirectoryUpdate::Freed {
                key: copy.key,
                target: copy.target.clone(),
                generation: copy.generation,
            };
            self.peers().publish(&copy.key, vec![update]);
        }
        self.delete(target, &freed).await;
    }

    /// Deletes freed copies from a store. What fails stays pending in the directory.
    async fn delete(&self, store: &Target, freed: &[StoreCopy]) {
        let client = StoreClient::new(self.client().clone(), store.address);
        for copy in freed {
            let deleted = client.free(&hex::encode(copy.key), copy.generation).await;
            if deleted.is_ok() {
                let now = self.blocks().now();
                let mut directory = self.blocks().lock();
                directory.deleted(&copy.key, &copy.target, copy.generation, now);
            }
        }
    }
}

/// Bytes counted as waiting for the links of two targets, until dropped.
struct LinkQueue {
    views: Vec<std::sync::Arc<fleet::View>>,
    bytes: u64,
}

impl LinkQueue {
    fn new<Kv, Peers>(serving: &Serving<Kv, Peers>, targets: [&TargetId; 2], bytes: u64) -> Self
    where
        Kv: KeyValue,
        Peers: PeerBlocks,
    {
        let views: Vec<_> = targets
            .iter()
            .filter_map(|name| serving.fleet().view(name))
            .collect();
        for view in &views {
            view.queue_link_bytes(bytes);
        }
        Self { views, bytes }
    }
}

impl Drop for LinkQueue {
    fn drop(&mut self) {
        for view in &self.views {
            view.unqueue_link_bytes(self.bytes);
        }
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
