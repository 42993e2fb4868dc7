//! Sends directory updates and decision records to other instances.

use {
    crate::{
        peers::{OutgoingUpdates, Peers, RECORD_OWNERS_COUNT},
        recent_prompts::RecentPrompt,
    },
    cluster::{BlockWrite, DirectoryUpdate, Member, Members, OWNERS_COUNT, keys_to_hand_off},
    decision::RecordPart,
    directory::{Place, StoreWrite},
    prefix::BlockKey,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Mutex, mpsc},
        time::{MissedTickBehavior, interval, sleep},
    },
};

/// Time over which updates are gathered into one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of updates in one call.
const MAX_BATCH_UPDATES_COUNT: usize = 256;
/// Largest total size of the records in one round.
const MAX_RECORDS_ROUND_BYTES: usize = 256 * 1024;
/// Time between two rounds of sending records; by then most records have all their steps.
const RECORDS_INTERVAL: Duration = Duration::from_secs(1);

/// Sends directory updates and decision records to other instances, until dropped.
#[derive(Clone)]
pub(crate) struct PeerUpdates {
    pub(crate) peers: Peers,
    pub(crate) outgoing: Arc<Mutex<mpsc::Receiver<OutgoingUpdates>>>,
}

impl PeerUpdates {
    /// Sends updates and records, and follows membership changes, concurrently.
    pub(crate) async fn run(self) {
        tokio::join!(
            self.send_updates(),
            self.send_records(),
            self.follow_members()
        );
    }

    async fn send_updates(&self) {
        let mut outgoing = self.outgoing.lock().await;
        let mut queued = Vec::new();
        loop {
            sleep(BATCH_INTERVAL).await;
            if outgoing
                .recv_many(&mut queued, MAX_BATCH_UPDATES_COUNT)
                .await
                == 0
            {
                return;
            }
            let members = self.peers.cluster.members();
            let mut batches: BTreeMap<SocketAddr, Vec<DirectoryUpdate>> = BTreeMap::new();
            for OutgoingUpdates { root, updates } in queued.drain(..) {
                for owner in self.other_owners(&members, &root, OWNERS_COUNT) {
                    let batch = batches.entry(owner.peer_address).or_default();
                    batch.extend(updates.iter().cloned());
                }
            }
            for (peer, updates) in batches {
                self.send_batch(peer, updates).await;
            }
        }
    }

    async fn send_batch(&self, peer: SocketAddr, updates: Vec<DirectoryUpdate>) {
        if let Err(error) = self.peers.cluster.peers().record(peer, updates).await {
            log::debug!("directory updates to {peer} dropped: {error}");
        }
    }

    fn other_owners<'a>(&self, members: &'a Members, key: &[u8], count: usize) -> Vec<&'a Member> {
        let own = self.peers.cluster.own_member().instance;
        members
            .owners(key, count)
            .into_iter()
            .filter(|owner| owner.instance != own)
            .collect()
    }

    async fn send_records(&self) {
        let mut rounds = interval(RECORDS_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            for (peer, parts) in self.record_batches() {
                if let Err(error) = self.peers.cluster.peers().replicate(peer, &parts).await {
                    log::debug!(
                        "decision records to {peer} were not sent and will be sent again: {error}"
                    );
                    self.peers.records.put_back(&parts);
                }
            }
        }
    }

    /// Groups the records with unreplicated steps by the peer to send them to: an owner of the
    /// request id, if possible in another failure domain. Complete records are sent, because owners
    /// change and a new owner does not have the earlier steps.
    fn record_batches(&self) -> BTreeMap<SocketAddr, Vec<RecordPart>> {
        let parts = self
            .peers
            .records
            .take_unreplicated(MAX_RECORDS_ROUND_BYTES);
        let members = self.peers.cluster.members();
        let own_domain = self.peers.cluster.own_member().failure_domain;
        let mut batches: BTreeMap<SocketAddr, Vec<RecordPart>> = BTreeMap::new();
        for part in parts {
            let request = part.record.request.clone();
            let owners = self.other_owners(&members, request.as_bytes(), RECORD_OWNERS_COUNT);
            let in_other_domain = owners
                .iter()
                .find(|owner| owner.failure_domain != own_domain);
            let complete_record = self.peers.records.get(&request);
            if let (Some(owner), Some(record)) =
                (in_other_domain.or(owners.first()), complete_record)
            {
                let batch = batches.entry(owner.peer_address).or_default();
                batch.push(RecordPart {
                    first_step: 0,
                    record,
                });
            }
        }
        batches
    }

    /// Hands prompts off to their new owners whenever the membership changes.
    async fn follow_members(&self) {
        let mut changes = self.peers.cluster.subscribe();
        let mut before = changes.borrow_and_update().clone();
        while changes.changed().await.is_ok() {
            let after = changes.borrow_and_update().clone();
            self.peers
                .recent_prompts
                .record_membership_change(Instant::now());
            self.hand_off(&before, &after).await;
            before = after;
        }
    }

    async fn hand_off(&self, before: &Members, after: &Members) {
        let prompts = self.peers.recent_prompts.prompts();
        let mut by_root: BTreeMap<BlockKey, Vec<&RecentPrompt>> = BTreeMap::new();
        for prompt in &prompts {
            if let Some(root) = prompt.keys.first() {
                by_root.entry(*root).or_default().push(prompt);
            }
        }
        let own = self.peers.cluster.own_member().instance;
        for (owner, roots) in keys_to_hand_off(before, after, &own, by_root.keys().copied()) {
            let prompts = roots.iter().filter_map(|root| by_root.get(root)).flatten();
            let updates: Vec<DirectoryUpdate> = prompts
                .flat_map(|prompt| self.handoff_updates(prompt))
                .collect();
            for batch in updates.chunks(MAX_BATCH_UPDATES_COUNT) {
                self.send_batch(owner.peer_address, batch.to_vec()).await;
            }
        }
    }

    /// Updates that tell a new owner about a prompt: its use and its copies in stores.
    fn handoff_updates(&self, prompt: &RecentPrompt) -> Vec<DirectoryUpdate> {
        let directory = self.peers.directory.lock();
        let mut updates = vec![DirectoryUpdate::Used {
            client_account: prompt.client_account.clone(),
            keys: prompt.keys.clone(),
        }];
        for key in &prompt.keys {
            let copies = directory.copies(key);
            for copy in copies.filter(|copy| copy.place == Place::Store) {
                updates.push(DirectoryUpdate::Committed(BlockWrite::from(&StoreWrite {
                    key: *key,
                    target: copy.target,
                    generation: copy.generation,
                    size_bytes: copy.size_bytes,
                    client_account: prompt.client_account.clone(),
                })));
            }
        }
        updates
    }
}
