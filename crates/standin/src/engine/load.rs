//! The load report, which lags behind.

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
    /// Digest that the engine takes its weights for.
    pub version: String,
    /// Digests that are loaded.
    pub versions: Vec<String>,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role, as the last order set it.
    pub role: String,
    /// Runs that are computed.
    pub running_count: usize,
    /// Runs that wait.
    pub queued_count: usize,
    /// Prompt tokens that wait, or are left of prompts being computed.
    pub queued_tokens: u64,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: u64,
    /// Prompt tokens that memory holds.
    pub memory_tokens: u64,
    /// Prompt tokens in memory.
    pub memory_used_tokens: u64,
    /// Whether new runs are refused.
    pub leaving: bool,
    /// Age of this report in milliseconds.
    pub age_ms: u64,
}

impl Engine {
    /// The report, as old as the settings say.
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

    /// Keeps samples of the load until they are as old as the lag.
    pub(super) async fn sample_load(&self) {
        if self.settings.load_lag.is_zero() {
            return;
        }
        loop {
            self.take_sample();
            sleep(LOAD_SAMPLE_INTERVAL).await;
        }
    }

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
