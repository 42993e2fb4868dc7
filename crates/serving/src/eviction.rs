//! Evicts copies from stores that are nearly full.

use {
    crate::{PeerDirectory, RequestHandler, plan::CompletionContext},
    catalog::{Target, TargetId},
    cluster::DirectoryUpdate,
    directory::StoreCopy,
    keyvalue::KeyValue,
    target::StoreClient,
};

/// Share of a store's capacity, from 0 to 1, above which copies are evicted.
const STORE_FULL_SHARE: f64 = 0.9;

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Evicts copies until `wanted_bytes` more fit below the store's fill limit.
    pub(crate) async fn make_room(
        &self,
        context: &CompletionContext,
        store: &TargetId,
        wanted_bytes: u64,
    ) {
        let Some(target) = context.catalog.targets.get(store) else {
            return;
        };
        let reported_bytes = self
            .fleet()
            .view(store)
            .and_then(|view| view.usage())
            .map_or(0, |usage| usage.used_bytes);
        let now = self.directory().now();
        let freed: Vec<StoreCopy> = {
            let mut directory = self.directory().lock();
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_precision_loss,
                clippy::cast_sign_loss
            )]
            let limit_bytes = (target.capacity_bytes as f64 * STORE_FULL_SHARE) as u64;
            let used_bytes = directory.store_used_bytes(store).max(reported_bytes);
            let over_bytes = (used_bytes + wanted_bytes).saturating_sub(limit_bytes);
            let weight = |account: &String| {
                let account = context.catalog.client_accounts.get(account);
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

    /// Deletes freed copies from a store. A copy whose deletion fails stays pending in the
    /// directory.
    pub(crate) async fn delete(&self, store: &Target, freed: &[StoreCopy]) {
        let client = StoreClient::new(self.client().clone(), store.address);
        for copy in freed {
            let deleted = client.free(&hex::encode(copy.key), copy.generation).await;
            if deleted.is_ok() {
                let now = self.directory().now();
                let mut directory = self.directory().lock();
                directory.deleted(&copy.key, &copy.target, copy.generation, now);
            }
        }
    }
}
