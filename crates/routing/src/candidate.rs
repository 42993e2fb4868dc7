//! What routing knows of one engine.

use {catalog::Target, std::time::Duration};

/// Load of an engine as it last reported, with this instance's own requests beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Requests running.
    pub running_count: u32,
    /// Requests waiting.
    pub queued_count: u32,
    /// Prompt tokens waiting to be computed when the engine reported.
    pub queued_tokens: u64,
    /// Prompt tokens that this instance has sent and that have not led to a first token yet;
    /// the report may or may not contain them.
    pub own_pending_tokens: u64,
    /// Age of the report.
    pub report_age: Duration,
}

/// One engine that might run the request.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The target as configured.
    pub target: &'a Target,
    /// Whether the instance list, the catalog or the target itself says that it leaves.
    pub leaving: bool,
    /// Whether connections to the target work.
    pub reachable: bool,
    /// Whether the engine runs the wanted version now.
    pub has_version: bool,
    /// Time to load the wanted weights; zero if they may not be loaded for this request.
    pub weights_load_time: Duration,
    /// Last known load.
    pub load: EngineLoad,
    /// Leading blocks of the prompt believed to be in engine memory.
    pub memory_blocks: usize,
    /// Probability from 0 to 1 that those blocks are still there.
    pub memory_confidence: f64,
    /// Leading blocks that could be had from engine memory and stores together.
    pub available_blocks: usize,
    /// Mean rate of the link between the best store and the engine in bytes a second.
    pub link_bytes_per_s: f64,
    /// Standard deviation of that rate between transfers in bytes a second.
    pub link_deviation_bytes_per_s: f64,
    /// Bytes already queued on that link.
    pub link_queued_bytes: u64,
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
}

impl<'a> Candidate<'a> {
    /// A reachable, idle engine that runs the wanted version and has no block of the prompt.
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

    /// Expected seconds until the engine starts to compute a request that is sent now.
    ///
    /// The report is old, so what the engine has computed since then is taken off; what this
    /// instance itself has under way there is counted in any case.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn queue_wait_s(&self) -> f64 {
        let rate = self.prefill_tokens_per_s.max(1.0);
        let reported_s = self.load.queued_tokens as f64 / rate - self.load.report_age.as_secs_f64();
        let own_s = self.load.own_pending_tokens as f64 / rate;
        reported_s.max(own_s)
    }
}
