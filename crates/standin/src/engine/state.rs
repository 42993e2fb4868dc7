//! The mutable state of an engine.

use {
    super::{
        audit::Audit, cache::PrefixCache, events::EventLog, load::EngineLoad, run::Run,
        scheduler::Prefill, settings::EngineSettings,
    },
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time for which a finished run can still be resumed.
const RUN_RETENTION: Duration = Duration::from_mins(1);

/// The mutable state of an engine.
#[derive(Debug)]
pub(super) struct State {
    /// Digest of the weights that are loaded, whatever the engine reports.
    pub(super) version: String,
    pub(super) role: String,
    pub(super) adapters: BTreeSet<String>,
    /// Highest fencing number of any order so far.
    pub(super) newest_fencing: u64,
    pub(super) cache: PrefixCache,
    pub(super) events: EventLog,
    pub(super) audit: Audit,
    /// Runs that wait for admission, in order of arrival.
    pub(super) queue: Vec<Arc<Run>>,
    /// Prompts that are being computed.
    pub(super) prefills: Vec<Prefill>,
    /// Runs admitted and not finished, in the prompt or the answer phase.
    pub(super) running_count: usize,
    pub(super) load_history: VecDeque<(Instant, EngineLoad)>,
    runs: HashMap<String, Arc<Run>>,
    finished: VecDeque<(Instant, Arc<Run>)>,
}

impl State {
    pub(super) fn new(settings: &EngineSettings) -> Self {
        let capacity = settings.memory_tokens / settings.piece_tokens.max(1);
        Self {
            version: settings.version.clone(),
            role: "engine".to_owned(),
            adapters: BTreeSet::new(),
            newest_fencing: 0,
            cache: PrefixCache::new(usize::try_from(capacity).unwrap_or(usize::MAX)),
            events: EventLog::default(),
            audit: Audit::default(),
            queue: Vec::new(),
            prefills: Vec::new(),
            running_count: 0,
            load_history: VecDeque::new(),
            runs: HashMap::new(),
            finished: VecDeque::new(),
        }
    }

    pub(super) fn run(&self, request_id: &str) -> Option<Arc<Run>> {
        self.runs.get(request_id).cloned()
    }

    pub(super) fn add_run(&mut self, run: &Arc<Run>) {
        self.remove_expired_runs();
        self.runs.insert(run.request_id.clone(), Arc::clone(run));
        self.queue.push(Arc::clone(run));
    }

    pub(super) fn finish_run(&mut self, run: Arc<Run>) {
        self.running_count -= 1;
        self.finished.push_back((Instant::now(), run));
    }

    /// Removes the runs that finished longer ago than [`RUN_RETENTION`].
    fn remove_expired_runs(&mut self) {
        while let Some((at, run)) = self.finished.front() {
            if at.elapsed() < RUN_RETENTION {
                return;
            }
            let newest = self.runs.get(&run.request_id);
            if newest.is_some_and(|newest| Arc::ptr_eq(newest, run)) {
                self.runs.remove(&run.request_id);
            }
            self.finished.pop_front();
        }
    }
}
