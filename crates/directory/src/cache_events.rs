//! Copies in engine memory, as far as cache events tell.

use {
    crate::{
        CopyState, Directory,
        block::{CopyEntry, Tick},
        interner::NameId,
    },
    catalog::TargetId,
    prefix::BlockKey,
    std::time::Duration,
};

/// Confidence in a copy that was reported before events were lost.
const UNCERTAIN_CONFIDENCE: f64 = 0.5;
/// Weight of the newest run in the share of runs that found less than was believed.
const MISS_SMOOTHING_FACTOR: f64 = 0.1;
/// What is left of that share after a run that says nothing about it.
const MISS_DECAY_FACTOR: f64 = 0.98;

/// What happened to a block in engine memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEventKind {
    /// The engine has the block now.
    Stored,
    /// The engine dropped the block.
    Removed,
}

/// One cache event of an engine. The version is part of the key, so a late event of an old
/// version never touches a block of a new one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number, rising by one within an engine.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block.
    pub key: BlockKey,
}

/// Outcome of [`Directory::apply_events`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// All events up to `last_seq` are in.
    Applied {
        /// Last sequence number applied; ask for events after it next.
        last_seq: u64,
    },
    /// Events are missing. Those given are in, and older copies of the target count as uncertain
    /// until [`Directory::resync`].
    Gap {
        /// First sequence number that is missing.
        missing_seq: u64,
        /// Last sequence number applied; ask for events after it next.
        last_seq: u64,
    },
}

/// What is known of one engine's event stream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineCacheView {
    last_seq: u64,
    uncertain_until_seq: u64,
    /// Share of runs that found less in memory than was believed, newest runs weighing most.
    miss_ratio: f64,
}

impl Directory {
    /// Applies events of one engine in the order of their sequence numbers. Events at or below
    /// `after` or the last one applied are ignored, so answers may come late, twice or crossed.
    pub fn apply_events(
        &mut self,
        target: &TargetId,
        after: u64,
        events: &[CacheEvent],
        now: Duration,
    ) -> ApplyOutcome {
        let index = self.targets.intern(target);
        let is_known = self.engine_caches.contains_key(&index);
        let mut view = self.engine_caches.get(&index).copied().unwrap_or_default();
        if !is_known {
            view.last_seq = after;
        }
        let mut missing_seq = None;
        for event in events.iter().filter(|event| event.seq > after) {
            if event.seq <= view.last_seq {
                continue;
            }
            if event.seq > view.last_seq + 1 {
                missing_seq.get_or_insert(view.last_seq + 1);
                view.uncertain_until_seq = event.seq - 1;
            }
            view.last_seq = event.seq;
            self.apply_event(index, event, now);
        }
        self.engine_caches.insert(index, view);
        let last_seq = view.last_seq;
        match missing_seq {
            Some(missing_seq) => ApplyOutcome::Gap {
                missing_seq,
                last_seq,
            },
            None => ApplyOutcome::Applied { last_seq },
        }
    }

    /// Marks every memory copy of an engine as uncertain, for example while its events cannot be
    /// read. [`Self::resync`] makes them certain again.
    pub fn mark_uncertain(&mut self, target: &TargetId) {
        let index = self.targets.intern(target);
        let view = self.engine_caches.entry(index).or_default();
        view.uncertain_until_seq = view.last_seq;
    }

    fn apply_event(&mut self, target: NameId, event: &CacheEvent, now: Duration) {
        match event.kind {
            CacheEventKind::Stored => self.insert_cached(target, event.key, event.seq, now),
            CacheEventKind::Removed => self.remove_cached(target, &event.key),
        }
    }

    fn insert_cached(&mut self, target: NameId, key: BlockKey, seq: u64, now: Duration) {
        let block = self.blocks.entry(key).or_default();
        block.is_computed = true;
        block.remove(target);
        block.push(CopyEntry {
            generation: seq,
            changed: Tick::from(now),
            target,
            state: CopyState::Cached,
            is_deleted: false,
        });
    }

    fn remove_cached(&mut self, target: NameId, key: &BlockKey) {
        let Some(block) = self.blocks.get_mut(key) else {
            return;
        };
        if block
            .copy(target)
            .is_some_and(|entry| entry.state == CopyState::Cached)
        {
            block.remove(target);
        }
    }

    /// Replaces all that is known of an engine's memory by its full content as of `last_seq`.
    pub fn resync(&mut self, target: &TargetId, last_seq: u64, blocks: &[BlockKey], now: Duration) {
        let index = self.targets.intern(target);
        for block in self.blocks.values_mut() {
            if block
                .copy(index)
                .is_some_and(|entry| entry.state == CopyState::Cached)
            {
                block.remove(index);
            }
        }
        for key in blocks {
            self.insert_cached(index, *key, last_seq, now);
        }
        let view = self.engine_caches.entry(index).or_default();
        view.last_seq = last_seq;
        view.uncertain_until_seq = 0;
    }

    /// Corrects what is known of an engine's memory by its own count: it had the first
    /// `cached_blocks` of `keys` when it ran the prompt, and has all of them afterwards.
    pub fn observe_run(
        &mut self,
        target: &TargetId,
        keys: &[BlockKey],
        cached_blocks: usize,
        now: Duration,
    ) {
        let index = self.targets.intern(target);
        let seq = self.engine_caches.entry(index).or_default().last_seq + 1;
        for (position, key) in keys.iter().enumerate() {
            let is_known = self
                .blocks
                .get(key)
                .is_some_and(|block| block.copy(index).is_some());
            if position >= cached_blocks || !is_known {
                self.insert_cached(index, *key, seq, now);
            }
        }
    }

    /// Takes in whether a run found in an engine's memory what was relied on: `predicted_blocks`
    /// leading blocks, of which it had `cached_blocks`. Small memories are overwritten between a
    /// decision and its run, which no cache event tells in time; the confidence of all copies of
    /// the engine falls with the share of such runs.
    pub fn record_prediction(
        &mut self,
        target: &TargetId,
        predicted_blocks: usize,
        cached_blocks: usize,
    ) {
        let index = self.targets.intern(target);
        let view = self.engine_caches.entry(index).or_default();
        if predicted_blocks == 0 {
            view.miss_ratio *= MISS_DECAY_FACTOR;
            return;
        }
        let missed = if cached_blocks < predicted_blocks {
            1.0
        } else {
            0.0
        };
        view.miss_ratio += MISS_SMOOTHING_FACTOR * (missed - view.miss_ratio);
    }

    /// Last sequence number applied for an engine; 0 if none.
    #[must_use]
    pub fn last_seq(&self, target: &TargetId) -> u64 {
        let index = self.targets.find(target);
        index
            .and_then(|index| self.engine_caches.get(&index))
            .map_or(0, |view| view.last_seq)
    }

    /// Probability that a copy in engine memory is still there.
    pub(crate) fn confidence(&self, entry: &CopyEntry) -> f64 {
        let Some(view) = self.engine_caches.get(&entry.target) else {
            return UNCERTAIN_CONFIDENCE;
        };
        let reported_confidence = if entry.generation <= view.uncertain_until_seq {
            UNCERTAIN_CONFIDENCE
        } else {
            1.0
        };
        reported_confidence * (1.0 - view.miss_ratio)
    }
}
