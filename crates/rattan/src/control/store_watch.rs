//! Follows the content and usage of one store.

use {
    directory::StoreWrite,
    fleet::TargetView,
    prefix::BlockKey,
    serving::SharedDirectory,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    target::{Client, SendError, StoreBlock, StoreClient, StoreUsage},
    tokio::time::sleep,
};

/// State of a readable block in the listing of a store.
const COMMITTED: &str = "committed";
/// Largest number of deletions retried in one round.
const MAX_RETRIED_DELETIONS_COUNT: usize = 100;

/// Follows the content and usage of one store until dropped.
#[derive(Clone)]
pub(crate) struct StoreWatch {
    pub(crate) client: Client,
    pub(crate) view: Arc<TargetView>,
    pub(crate) directory: SharedDirectory,
    pub(crate) poll_interval: Duration,
}

impl StoreWatch {
    /// Polls the usage of the store, and lists its content at the start and whenever the store
    /// comes back.
    pub(crate) async fn run(self) {
        let store = StoreClient::new(self.client.clone(), self.view.address());
        let mut is_listed = false;
        loop {
            match store.usage().await {
                Ok(usage) if self.has_lost_content(&usage) => {
                    let now = self.directory.now();
                    self.directory.lock().forget_target(self.view.name(), now);
                    is_listed = false;
                }
                Ok(usage) => {
                    self.view.set_usage(usage);
                    if !is_listed {
                        is_listed = self.adopt_listed_copies(&store).await.is_ok();
                    }
                    self.retry_deletions(&store).await;
                }
                Err(error) => {
                    log::debug!("store {} cannot be read: {error}", self.view.name());
                    if matches!(error, SendError::NotSent { .. }) {
                        self.view.avoid(Instant::now());
                        is_listed = false;
                    }
                }
            }
            sleep(self.poll_interval).await;
        }
    }

    /// Retries deletions that the store has not confirmed.
    async fn retry_deletions(&self, store: &StoreClient) {
        let pending = self.directory.lock().pending_deletes(self.view.name());
        for copy in pending.iter().take(MAX_RETRIED_DELETIONS_COUNT) {
            let key = hex::encode(copy.key);
            if store.free(&key, copy.generation).await.is_err() {
                return;
            }
            let now = self.directory.now();
            let mut directory = self.directory.lock();
            directory.confirm_deletion(&copy.key, &copy.target, copy.generation, now);
        }
    }

    /// Whether the store is empty although the directory has copies there, for example after a
    /// restart.
    fn has_lost_content(&self, usage: &StoreUsage) -> bool {
        usage.used_bytes == 0 && self.directory.lock().store_used_bytes(self.view.name()) > 0
    }

    /// Adds all readable blocks that the store lists to the directory.
    async fn adopt_listed_copies(&self, store: &StoreClient) -> Result<(), SendError> {
        let listed_at = self.directory.now();
        let mut after = String::new();
        let mut listed = Vec::new();
        loop {
            let page = store.blocks(&after).await?;
            listed.extend(page.blocks);
            match page.next {
                Some(next) => after = next,
                None => break,
            }
        }
        let now = self.directory.now();
        let mut directory = self.directory.lock();
        for block in listed.iter().filter(|block| block.state == COMMITTED) {
            if let Some(write) = self.store_write(block) {
                directory.adopt_listed_copy(&write, listed_at, now);
            }
        }
        Ok(())
    }

    fn store_write(&self, block: &StoreBlock) -> Option<StoreWrite> {
        let mut key = BlockKey::default();
        hex::decode_to_slice(&block.key, &mut key).ok()?;
        Some(StoreWrite {
            key,
            target: self.view.name().clone(),
            generation: block.generation,
            size_bytes: block.size_bytes,
            client_account: block.client_account.clone(),
        })
    }
}
