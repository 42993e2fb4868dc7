//! The load report of an engine, which may lag behind.

use {
    super::{Engine, state::State},
    serde::{Deserialize, Serialize},
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Time between two samples of the load.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Answer of `GET /v1/load`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineLoad {
    /// Digest of the loaded version, as the engine reports it.
    pub version: String,
    /// Digests of all loaded versions, as the engine reports them.
    pub versions: Vec<String>,
    /// Names of the loaded adapters.
    pub adapters: Vec<String>,
    /// Role that the last order set.
    pub role: String,
    /// Number of active runs.
    pub running_count: usize,
    /// Number of waiting runs.
    pub queued_count: usize,
    /// Prompt tokens of waiting runs, plus those still to compute of active runs.
    pub queued_tokens: u64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: u64,
    /// Capacity of the prefix cache in prompt tokens.
    pub memory_tokens: u64,
    /// Prompt tokens in the prefix cache.
    pub memory_used_tokens: u64,
    /// Whether new runs are refused.
    pub leaving: bool,
    /// Age of this report in milliseconds.
    pub age_ms: u64,
}

impl Engine {
    /// The load report, delayed by [`EngineSettings::load_lag`](super::EngineSettings::load_lag).
    pub(super) fn load(&self) -> EngineLoad {
        let state = self.state();
        if self.settings.load_lag.is_zero() {
            return self.load_now(&state);
        }
        let Some((taken_at, load)) = state.load_history.front() else {
            return self.load_now(&state);
        };
        let age_ms = u64::try_from(taken_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        EngineLoad {
            age_ms,
            ..load.clone()
        }
    }

    /// Samples the load at a fixed interval, for reports that lag behind.
    pub(super) async fn sample_load(&self) {
        if self.settings.load_lag.is_zero() {
            return;
        }
        loop {
            self.take_sample();
            sleep(LOAD_SAMPLE_INTERVAL).await;
        }
    }

    /// Records the current load and drops the samples older than the one to report.
    fn take_sample(&self) {
        let mut state = self.state();
        let load = self.load_now(&state);
        state.load_history.push_back((Instant::now(), load));
        let lag = self.settings.load_lag;
        while state
            .load_history
            .get(1)
            .is_some_and(|(at, _)| at.elapsed() >= lag)
        {
            state.load_history.pop_front();
        }
    }

    fn load_now(&self, state: &State) -> EngineLoad {
        let queued = state.queue.iter().map(|run| run.prompt_tokens);
        let computing = state
            .prefills
            .iter()
            .map(super::scheduler::Prefill::remaining_tokens);
        let version = self.reported_version(state);
        EngineLoad {
            versions: vec![version.clone()],
            version,
            adapters: state.adapters.iter().cloned().collect(),
            role: state.role.clone(),
            running_count: state.running_count,
            queued_count: state.queue.len(),
            queued_tokens: queued.sum::<u64>() + computing.sum::<u64>(),
            prefill_tokens_per_s: self.settings.prefill_tokens_per_s,
            memory_tokens: self.settings.memory_tokens,
            memory_used_tokens: state.cache.len() as u64 * self.settings.piece_tokens,
            leaving: self.switches.get().leaving,
            age_ms: 0,
        }
    }
}
