//! Calls to other entry instances, and the handler of their calls to this one.

use {
    crate::{gateway_backend::PeerRecords, recent_prompts::RecentPrompts},
    catalog::{ClientAccountId, RequestId, Revision},
    cluster::{
        CatalogCopy, Cluster, DirectoryAnswer, DirectoryUpdate, Heartbeat, HeartbeatAck, Holder,
        LookupTimeouts, Member, OWNERS_COUNT, PeerHandler, hedged_lookup,
    },
    configuration::FollowerHandle,
    decision::{Record, RecordPart},
    directory::PrefixMatch,
    prefix::BlockKey,
    serving::{DecisionRecords, FoundBlocks, PeerDirectory, SharedDirectory},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Most entries that wait to be sent. Further ones are dropped, since directory updates are only
/// hints.
const OUTBOX_CAPACITY: usize = 4_096;
/// How long after a change of membership an owner also asks the other owners, because entries may
/// not have been handed off to it yet.
const HANDOFF_GRACE: Duration = Duration::from_secs(30);
/// Instances that may keep the copy of a record, chosen by rendezvous hashing of its request id.
pub(crate) const RECORD_OWNERS_COUNT: usize = 3;

/// Directory updates for the owners of a prompt, which are found by the key of its first block.
pub(crate) struct OutgoingUpdates {
    pub(crate) root: BlockKey,
    pub(crate) updates: Vec<DirectoryUpdate>,
}

/// Calls other entry instances and handles their calls to this one.
#[derive(Clone)]
pub(crate) struct Peers {
    pub(crate) cluster: Arc<Cluster>,
    pub(crate) directory: SharedDirectory,
    pub(crate) records: DecisionRecords,
    pub(crate) configuration: FollowerHandle,
    pub(crate) recent_prompts: RecentPrompts,
    outbox: mpsc::Sender<OutgoingUpdates>,
}

impl Peers {
    /// Returns the peers of `cluster`, and the receiving end of the queue of updates to send to
    /// them.
    pub(crate) fn new(
        cluster: Arc<Cluster>,
        directory: SharedDirectory,
        records: DecisionRecords,
        configuration: FollowerHandle,
    ) -> (Self, mpsc::Receiver<OutgoingUpdates>) {
        let (outbox, updates) = mpsc::channel(OUTBOX_CAPACITY);
        let peers = Self {
            cluster,
            directory,
            records,
            configuration,
            recent_prompts: RecentPrompts::default(),
            outbox,
        };
        (peers, updates)
    }

    /// Whether directory entries that this instance owns may still be on their way from others.
    fn is_awaiting_handoff(&self) -> bool {
        self.recent_prompts
            .membership_changed_within(HANDOFF_GRACE, Instant::now())
    }
}

impl PeerDirectory for Peers {
    async fn lookup(&self, account: &ClientAccountId, keys: &[BlockKey]) -> FoundBlocks {
        let Some(root) = keys.first() else {
            return FoundBlocks::default();
        };
        let members = self.cluster.members();
        let own = self.cluster.own_member().instance;
        let owners = members.owners(root, OWNERS_COUNT);
        let is_owner = owners.iter().any(|owner| owner.instance == own);
        let others: Vec<&Member> = owners
            .into_iter()
            .filter(|owner| owner.instance != own)
            .collect();
        if others.is_empty() || (is_owner && !self.is_awaiting_handoff()) {
            return FoundBlocks::default();
        }
        let bounds = LookupTimeouts::default();
        let result = hedged_lookup(self.cluster.peers(), &others, account, keys, bounds).await;
        let mut missing: Vec<String> = result.failures.iter().map(ToString::to_string).collect();
        let Some(answer) = result.answer else {
            missing.push("no owner of the prompt's directory entries answered in time".to_owned());
            return FoundBlocks {
                missing,
                ..FoundBlocks::default()
            };
        };
        if !answer.is_complete {
            missing.push("an owner's directory entries were not complete yet".to_owned());
        }
        FoundBlocks {
            leading: answer.holders.iter().map(PrefixMatch::from).collect(),
            seen_blocks: answer.seen_blocks_count,
            missing,
        }
    }

    fn publish(&self, root: &BlockKey, updates: Vec<DirectoryUpdate>) {
        self.recent_prompts.record(&updates);
        let outgoing = OutgoingUpdates {
            root: *root,
            updates,
        };
        if self.outbox.try_send(outgoing).is_err() {
            log::debug!("directory updates dropped: the outbox is full");
        }
    }
}

impl PeerRecords for Peers {
    async fn record(&self, request: &RequestId) -> Option<Record> {
        let members = self.cluster.members();
        let own = self.cluster.own_member().instance;
        let owners = members.owners(request.as_bytes(), RECORD_OWNERS_COUNT);
        for owner in owners.into_iter().filter(|owner| owner.instance != own) {
            let asked = self.cluster.peers().decision(owner.peer_address, request);
            if let Ok(Some(record)) = asked.await {
                return Some(record);
            }
        }
        None
    }
}

impl PeerHandler for Peers {
    async fn heartbeat(&self, heartbeat: Heartbeat) -> HeartbeatAck {
        self.cluster.handle_heartbeat(&heartbeat)
    }

    async fn lookup(&self, _account: ClientAccountId, keys: Vec<BlockKey>) -> DirectoryAnswer {
        let found = self.directory.lookup(&keys);
        DirectoryAnswer {
            holders: found.leading.iter().map(Holder::from).collect(),
            seen_blocks_count: found.seen_blocks,
            is_complete: !self.is_awaiting_handoff(),
        }
    }

    async fn record(&self, updates: Vec<DirectoryUpdate>) {
        self.recent_prompts.record(&updates);
        self.directory.apply(&updates);
    }

    async fn replicate(&self, parts: Vec<RecordPart>) {
        self.records.merge(parts);
    }

    async fn decision(&self, request: RequestId) -> Option<Record> {
        self.records.get(&request)
    }

    async fn catalog(&self, after: Revision) -> Option<CatalogCopy> {
        let revision = self.configuration.status().revision;
        if revision <= after {
            return None;
        }
        let body = self.configuration.export()?.to_vec();
        Some(CatalogCopy { revision, body })
    }
}
