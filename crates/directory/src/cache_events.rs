//! Tracks copies in engine memory from the cache events of the engines.

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

/// Confidence in a copy that was reported before some events were lost.
const UNCERTAIN_CONFIDENCE: f64 = 0.5;
/// Weight of the newest run in the moving average of cache misses.
const MISS_SMOOTHING_FACTOR: f64 = 0.1;
/// Factor by which the miss ratio shrinks after a run for which no cached blocks were predicted, so
/// that it recovers over time.
const MISS_DECAY_FACTOR: f64 = 0.98;

/// What happened to a block in engine memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheEventKind {
    /// The engine added the block to its memory.
    Stored,
    /// The engine removed the block from its memory.
    Removed,
}

/// One cache event of an engine. The model version is part of the key, so a late event of an old
/// version never affects a block of a newer one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with each event of an engine.
    pub seq: u64,
    /// Kind of change.
    pub kind: CacheEventKind,
    /// Key of the block.
    pub key: BlockKey,
}

/// Outcome of [`Directory::apply_events`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// All events up to `last_seq` are applied.
    Applied {
        /// Last sequence number applied; request the events after it next.
        last_seq: u64,
    },
    /// Some events are missing. The given events are applied, and older copies of the target are
    /// uncertain until [`Directory::resync`] is called.
    Gap {
        /// First missing sequence number.
        missing_seq: u64,
        /// Last sequence number applied; request the events after it next.
        last_seq: u64,
    },
}

/// Position in the event stream of one engine, and how reliable the view of its memory is.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineCacheView {
    /// Last sequence number applied.
    last_seq: u64,
    /// Copies that were reported up to this sequence number are uncertain.
    uncertain_until_seq: u64,
    /// Moving average of the share of runs that found fewer blocks in memory than predicted.
    miss_ratio: f64,
}

impl Directory {
    /// Applies events of one engine in the order of their sequence numbers. Events up to `after`,
    /// or up to the last applied one, are ignored, so responses may be late, repeated or reordered. All
    /// events of an engine are ignored if the directory has seen too many targets to track it.
    pub fn apply_events(
        &mut self,
        target: &TargetId,
        after: u64,
        events: &[CacheEvent],
        now: Duration,
    ) -> ApplyOutcome {
        let Some(index) = self.targets.intern(target) else {
            let last_seq = events.iter().map(|event| event.seq).max();
            return ApplyOutcome::Applied {
                last_seq: last_seq.unwrap_or(after).max(after),
            };
        };
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

    /// Marks all copies in an engine's memory as uncertain, for example while its events cannot be
    /// read. [`Self::resync`] clears the mark.
    pub fn mark_uncertain(&mut self, target: &TargetId) {
        let Some(index) = self.targets.intern(target) else {
            return;
        };
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

    /// Replaces the view of an engine's memory with its full content as of `last_seq`.
    pub fn resync(&mut self, target: &TargetId, last_seq: u64, blocks: &[BlockKey], now: Duration) {
        let Some(index) = self.targets.intern(target) else {
            return;
        };
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

    /// Corrects the view of an engine's memory from its report on a run: it had the first
    /// `cached_blocks` of `keys` before it ran the prompt, and has all of them afterwards.
    pub fn observe_run(
        &mut self,
        target: &TargetId,
        keys: &[BlockKey],
        cached_blocks: usize,
        now: Duration,
    ) {
        let Some(index) = self.targets.intern(target) else {
            return;
        };
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

    /// Records whether a run found the predicted blocks in the engine's memory: the routing
    /// decision counted on `predicted_blocks` leading blocks, and the engine had `cached_blocks`.
    ///
    /// An engine with a small memory may overwrite blocks between a decision and its run, and no
    /// cache event reports this in time. The confidence in all copies of the engine therefore falls
    /// with the share of such runs.
    pub fn record_prediction(
        &mut self,
        target: &TargetId,
        predicted_blocks: usize,
        cached_blocks: usize,
    ) {
        let Some(index) = self.targets.intern(target) else {
            return;
        };
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

    /// Last sequence number applied for an engine; 0 if there is none.
    #[must_use]
    pub fn last_seq(&self, target: &TargetId) -> u64 {
        let index = self.targets.find(target);
        index
            .and_then(|index| self.engine_caches.get(&index))
            .map_or(0, |view| view.last_seq)
    }

    /// Probability from 0 to 1 that a copy is still in engine memory.
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
