//! Continuous batching: prompts are computed piece by piece in order of priority, answers in
//! parallel.

use {
    super::{
        Engine, audit::AuditedRun, cache::CacheKey, events::EventKind, run::Run, state::State,
    },
    std::{cmp::Reverse, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// A prompt that is being computed.
#[derive(Debug)]
pub(super) struct Prefill {
    pub(super) run: Arc<Run>,
    /// Prompt tokens that are done: taken from the prefix cache or computed.
    pub(super) done_tokens: u64,
    /// Position in the order of admission, which decides between prompts of equal priority.
    admission_index: u64,
}

impl Prefill {
    pub(super) fn remaining_tokens(&self) -> u64 {
        self.run.prompt_tokens.saturating_sub(self.done_tokens)
    }
}

impl Engine {
    /// Computes prompts, one piece at a time, for as long as the engine runs.
    pub(super) async fn schedule(self: &Arc<Self>) {
        loop {
            match self.next_piece() {
                Some((run, time)) => {
                    sleep(time).await;
                    self.complete_piece(&run);
                }
                None => self.work.notified().await,
            }
        }
    }

    /// Version that the engine reports: the loaded one, unless the `lie_version` switch is set.
    pub(super) fn reported_version(&self, state: &State) -> String {
        let overridden = self.switches.get().lie_version;
        overridden.unwrap_or_else(|| state.version.clone())
    }

    /// Empties the prefix cache and records the events.
    pub(super) fn evict_all(&self) {
        let mut state = self.state();
        let evicted = state.cache.clear();
        self.record_removed(&mut state, evicted);
    }

    /// Adds a block to the prefix cache and records the events.
    pub(super) fn cache_block(&self, state: &mut State, key: CacheKey, content_version: String) {
        let stored = key.clone();
        let evicted = state.cache.insert(key, content_version);
        self.record(state, EventKind::Stored, stored);
        self.record_removed(state, evicted);
    }

    fn record_removed(&self, state: &mut State, evicted: Vec<CacheKey>) {
        for key in evicted {
            self.record(state, EventKind::Removed, key);
        }
    }

    fn record(&self, state: &mut State, kind: EventKind, key: CacheKey) {
        let dropped = self.switches.update(|faults| {
            let dropped = faults.drop_events > 0;
            faults.drop_events = faults.drop_events.saturating_sub(1);
            dropped
        });
        state.events.record(kind, key.key, key.version, dropped);
        self.recorded.send_replace(state.events.last_seq());
    }

    /// Admits waiting runs, then returns the run whose piece is computed next and the time it
    /// takes.
    fn next_piece(&self) -> Option<(Arc<Run>, Duration)> {
        let mut state = self.state();
        state.drop_cancelled();
        while state.running_count < self.settings.max_running_count && !state.queue.is_empty() {
            self.admit(&mut state);
        }
        let next = state
            .prefills
            .iter()
            .max_by_key(|prefill| (prefill.run.priority, Reverse(prefill.admission_index)))?;
        let tokens = self.remaining_piece_tokens(next).max(1);
        Some((Arc::clone(&next.run), self.settings.prefill_time(tokens)))
    }

    /// Tokens that remain of the current piece of a prompt.
    fn remaining_piece_tokens(&self, prefill: &Prefill) -> u64 {
        let piece = self.settings.piece_tokens;
        let to_boundary = piece - prefill.done_tokens % piece;
        to_boundary.min(prefill.remaining_tokens())
    }

    /// Moves the waiting run of highest priority to the active runs.
    fn admit(&self, state: &mut State) {
        // Later runs have higher positions, so the oldest run of equal priority is taken.
        let best = state
            .queue
            .iter()
            .enumerate()
            .max_by_key(|(position, run)| (run.priority, Reverse(*position)))
            .map(|(position, _)| position);
        let Some(position) = best else { return };
        let run = state.queue.remove(position);
        let cached = self.cached_tokens(state, &run);
        run.set_cached_tokens(cached);
        state.audit.add_run(AuditedRun {
            request_id: run.request_id.clone(),
            version: run.version.clone(),
            salt: run.salt.clone(),
            cached_tokens: cached,
        });
        state.running_count += 1;
        let admission_index = state.audit.runs.len() as u64;
        state.prefills.push(Prefill {
            run,
            done_tokens: cached,
            admission_index,
        });
    }

    /// Prompt tokens of the leading blocks that are in the prefix cache.
    fn cached_tokens(&self, state: &mut State, run: &Run) -> u64 {
        let mut blocks = 0;
        for key in &run.block_keys {
            let wanted = run.cache_key(key);
            if state.cache.cached_under_other_salt(&wanted) {
                state.audit.foreign_blocks += 1;
            }
            let Some(content_version) = state.cache.get(&wanted) else {
                break;
            };
            if content_version != run.version {
                state.audit.wrong_version_blocks += 1;
            }
            blocks += 1;
        }
        (blocks * self.settings.piece_tokens).min(run.prompt_tokens)
    }

    fn complete_piece(self: &Arc<Self>, run: &Arc<Run>) {
        let mut state = self.state();
        let found = state
            .prefills
            .iter()
            .position(|prefill| Arc::ptr_eq(&prefill.run, run));
        let Some(position) = found else { return };
        let advance = self.remaining_piece_tokens(&state.prefills[position]);
        state.prefills[position].done_tokens += advance;
        let done = state.prefills[position].done_tokens;
        if advance > 0 {
            self.cache_computed_block(&mut state, run, done);
        }
        if done >= run.prompt_tokens {
            state.prefills.swap_remove(position);
            tokio::spawn(Arc::clone(self).decode(Arc::clone(run)));
        }
    }

    fn cache_computed_block(&self, state: &mut State, run: &Run, done_tokens: u64) {
        let piece = self.settings.piece_tokens;
        // A run that continues after a change of version must not add blocks of the old one.
        let current =
            run.version == state.version && run.reported_version == self.reported_version(state);
        if !current || !done_tokens.is_multiple_of(piece) {
            return;
        }
        let index = usize::try_from(done_tokens / piece - 1).unwrap_or(usize::MAX);
        if let Some(key) = run.block_keys.get(index) {
            self.cache_block(state, run.cache_key(key), run.version.clone());
        }
    }

    /// Produces the answer token by token until the run is over.
    async fn decode(self: Arc<Self>, run: Arc<Run>) {
        while !run.is_over() {
            sleep(self.settings.scaled(self.settings.token_time)).await;
            run.progress.send_modify(|progress| progress.tokens += 1);
        }
        self.state().finish_run(run);
        self.work.notify_one();
    }
}

impl Run {
    fn cache_key(&self, key: &str) -> CacheKey {
        CacheKey {
            salt: Some(self.salt.clone()),
            version: self.reported_version.clone(),
            key: key.to_owned(),
        }
    }
}

impl State {
    fn drop_cancelled(&mut self) {
        self.queue.retain(|run| !run.is_cancelled());
        let before = self.prefills.len();
        self.prefills.retain(|prefill| !prefill.run.is_cancelled());
        self.running_count -= before - self.prefills.len();
    }
}
