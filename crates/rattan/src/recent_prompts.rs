//! Recently used prompts, which are handed off to their new owners when the membership changes.

use {
    catalog::ClientAccountId,
    cluster::DirectoryUpdate,
    prefix::BlockKey,
    std::{
        collections::{HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Largest number of prompts kept; the oldest ones are dropped first.
const MAX_PROMPTS_COUNT: usize = 8_192;

/// One prompt: its client account and the keys of its complete pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RecentPrompt {
    pub(crate) client_account: ClientAccountId,
    pub(crate) keys: Vec<BlockKey>,
}

#[derive(Debug)]
struct PromptTable {
    /// Prompts by their last key, which identifies the whole prompt.
    by_last_key: HashMap<BlockKey, RecentPrompt>,
    oldest_first: VecDeque<BlockKey>,
    membership_changed_at: Instant,
}

/// Recently used prompts. Clones share the same state.
#[derive(Clone, Debug)]
pub(crate) struct RecentPrompts {
    prompts: Arc<Mutex<PromptTable>>,
}

impl Default for RecentPrompts {
    fn default() -> Self {
        Self {
            prompts: Arc::new(Mutex::new(PromptTable {
                by_last_key: HashMap::new(),
                oldest_first: VecDeque::new(),
                membership_changed_at: Instant::now(),
            })),
        }
    }
}

impl RecentPrompts {
    /// Records the prompts named in [`DirectoryUpdate::Used`]; ignores other updates.
    pub(crate) fn record(&self, updates: &[DirectoryUpdate]) {
        let mut prompts = self.lock();
        for update in updates {
            if let DirectoryUpdate::Used {
                client_account,
                keys,
            } = update
            {
                prompts.insert(RecentPrompt {
                    client_account: client_account.clone(),
                    keys: keys.clone(),
                });
            }
        }
    }

    /// All recorded prompts, in no particular order.
    pub(crate) fn prompts(&self) -> Vec<RecentPrompt> {
        self.lock().by_last_key.values().cloned().collect()
    }

    /// Records that the membership changed at `now`.
    pub(crate) fn record_membership_change(&self, now: Instant) {
        self.lock().membership_changed_at = now;
    }

    /// Whether the membership changed less than `time` ago.
    pub(crate) fn membership_changed_within(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.lock().membership_changed_at) < time
    }

    fn lock(&self) -> MutexGuard<'_, PromptTable> {
        self.prompts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PromptTable {
    fn insert(&mut self, prompt: RecentPrompt) {
        let Some(last) = prompt.keys.last().copied() else {
            return;
        };
        if self.by_last_key.insert(last, prompt).is_none() {
            self.oldest_first.push_back(last);
        }
        while self.oldest_first.len() > MAX_PROMPTS_COUNT {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.by_last_key.remove(&oldest);
            }
        }
    }
}
