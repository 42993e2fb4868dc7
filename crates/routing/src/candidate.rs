//! State of one engine that the choice depends on.

use {catalog::Target, std::time::Duration};

/// Load of an engine: its last report and the requests that this instance has sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Number of running requests.
    pub running_count: u32,
    /// Number of queued requests.
    pub queued_count: u32,
    /// Prompt tokens that were waiting to be computed at the time of the report.
    pub queued_tokens: u64,
    /// Prompt tokens of this instance's requests that are still without a first token; the report
    /// may or may not include them.
    pub own_pending_tokens: u64,
    /// Time since the report was made.
    pub report_age: Duration,
}

/// An engine that could run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The target as configured.
    pub target: &'a Target,
    /// Whether the instance list, the catalog or the target itself marks it as leaving. The
    /// catalog's mark, `target.leaving`, also counts if this is not set.
    pub leaving: bool,
    /// Whether the target accepts connections. The caller also clears it for a target that it has
    /// already tried for this request.
    pub reachable: bool,
    /// Whether the engine runs the requested model version now.
    pub has_version: bool,
    /// Time to load the requested weights; zero if they must not be loaded for this request.
    pub weights_load_time: Duration,
    /// Load of the engine.
    pub load: EngineLoad,
    /// Number of leading prompt blocks believed to be in engine memory.
    pub memory_blocks: usize,
    /// Probability, from 0 to 1, that those blocks have not been evicted.
    pub memory_confidence: f64,
    /// Number of leading prompt blocks available from engine memory and the best store together.
    pub available_blocks: usize,
    /// Mean rate of the link between the best store and the engine, in bytes per second.
    pub link_bytes_per_s: f64,
    /// Standard deviation of that rate across transfers, in bytes per second.
    pub link_deviation_bytes_per_s: f64,
    /// Bytes already queued on the link.
    pub link_queued_bytes: u64,
    /// Prompt tokens that the engine computes per second.
    pub prefill_tokens_per_s: f64,
}

impl<'a> Candidate<'a> {
    /// Returns a reachable, idle engine that runs the requested version and holds no prompt block.
    #[must_use]
    pub fn new(target: &'a Target, prefill_tokens_per_s: f64) -> Self {
        Self {
            target,
            leaving: false,
            reachable: true,
            has_version: true,
            weights_load_time: Duration::ZERO,
            load: EngineLoad::default(),
            memory_blocks: 0,
            memory_confidence: 1.0,
            available_blocks: 0,
            link_bytes_per_s: 0.0,
            link_deviation_bytes_per_s: 0.0,
            link_queued_bytes: 0,
            prefill_tokens_per_s,
        }
    }

    /// Returns the expected seconds until the engine starts to compute a request that is sent now.
    ///
    /// The reported queue is reduced by the work that the engine has done since the report. The
    /// wait is never shorter than the time to compute this instance's own pending tokens.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn queue_wait_s(&self) -> f64 {
        let rate = self.prefill_tokens_per_s.max(1.0);
        let reported_s = self.load.queued_tokens as f64 / rate - self.load.report_age.as_secs_f64();
        let own_s = self.load.own_pending_tokens as f64 / rate;
        reported_s.max(own_s)
    }
}
