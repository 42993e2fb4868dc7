//! Whether the process that answers at a target's address is the one that its registration names.

use {
    crate::{
        HeaderFormat, TargetState, active_call::ActiveCall, pool_probe::process_probe, relay::Inner,
    },
    routes::RetryPolicy,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    target::{IncarnationProbe, ProcessAnswer, RequestPreparation},
    tokio::time::timeout,
};

/// Time within which a target says which process it is while a call waits for it.
pub(crate) const ANSWER_TIME: Duration = Duration::from_millis(300);

/// What one registered start of a target has shown of the process at its address. Registrations lag behind: a
/// target may have started again under its id, also with other software.
#[derive(Debug, Default)]
pub(crate) struct RegisteredProcess {
    shown: Mutex<Shown>,
    /// Held while the target is asked, since one answer serves all connections that were opened before.
    asking: tokio::sync::Mutex<()>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Shown {
    /// When the latest question was sent that the registered process has answered.
    asked_at: Option<Instant>,
    /// The process that has answered in its place since.
    successor: Option<Successor>,
}

/// A process that answers in place of the registered one.
#[derive(Clone, Copy, Debug)]
struct Successor {
    /// When the question was sent that it has answered.
    asked_at: Instant,
    /// Start that it states, in milliseconds since the Unix epoch; `None` if it states none, or is another target.
    started_unix_ms: Option<u64>,
}

impl RegisteredProcess {
    /// Whether a connection that was opened at `opened_at` leads to the registered process: that had started before it
    /// registered, and was still there when it was asked later.
    pub(crate) fn is_at_end_of(&self, opened_at: Instant) -> bool {
        let asked_at = self.lock().asked_at;
        asked_at.is_some_and(|asked_at| opened_at <= asked_at)
    }

    /// Whether another process has answered in its place.
    pub(crate) fn is_replaced(&self) -> bool {
        self.lock().successor.is_some()
    }

    /// Start of the process in its place to which a connection leads that was opened at `opened_at`, as far as that has
    /// stated it later.
    fn successor_start(&self, opened_at: Instant) -> Option<u64> {
        let successor = self.lock().successor?;
        let is_later = opened_at <= successor.asked_at;
        successor.started_unix_ms.filter(|_| is_later)
    }

    /// The same as [`RegisteredProcess::is_at_end_of`], with `ask` if that is not known yet.
    async fn confirm<Ask>(&self, opened_at: Instant, ask: Ask) -> bool
    where
        Ask: Future<Output = ProcessAnswer>,
    {
        let _asking = self.asking.lock().await;
        if self.is_at_end_of(opened_at) {
            return true;
        }
        let asked_at = Instant::now();
        let answer = ask.await;
        let mut shown = self.lock();
        match answer {
            ProcessAnswer::Expected | ProcessAnswer::Unstated => {
                shown.asked_at = Some(asked_at);
                shown.successor = None;
                true
            }
            ProcessAnswer::Other(started_unix_ms) => {
                shown.successor = Some(Successor {
                    asked_at,
                    started_unix_ms,
                });
                false
            }
            ProcessAnswer::Missing => false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shown> {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Finds out whether the registered process of a target is at the other end of connections.
pub(crate) struct ProcessCheck<Format> {
    inner: Arc<Inner<Format>>,
    target: Arc<TargetState>,
    /// Asks the target which process it is; `None` if it has nothing to say of that, or nobody needs to know.
    probe: Option<IncarnationProbe>,
}

impl<Format> ProcessCheck<Format>
where
    Format: HeaderFormat,
{
    /// Whether it is known to be at the other end of a connection that was opened at `opened_at`.
    pub(crate) fn is_registered(&self, opened_at: Instant) -> bool {
        let process = self.target.call_stats.registered_process();
        self.probe.is_none() || process.is_at_end_of(opened_at)
    }

    /// The same, after the target was asked if that is not known yet. Takes `limit` at most. A target in an evacuated
    /// failure domain is not asked.
    pub(crate) async fn confirm(&self, opened_at: Instant, limit: Duration) -> bool {
        let Some(probe) = &self.probe else {
            return true;
        };
        if self.is_registered(opened_at) {
            return true;
        }
        if self.inner.state.view().is_evacuated(&self.target) {
            return false;
        }
        let process = self.target.call_stats.registered_process();
        // Rare, and too large to be part of every call.
        let confirming = Box::pin(process.confirm(opened_at, self.ask(probe, limit)));
        timeout(limit, confirming).await.unwrap_or(false)
    }

    /// Has `probe` expect the process to which a connection leads that was opened at `opened_at`, rather than the
    /// registered one, if that is known to be another.
    pub(crate) fn expect(
        &self,
        mut probe: IncarnationProbe,
        opened_at: Instant,
    ) -> IncarnationProbe {
        let process = self.target.call_stats.registered_process();
        if let Some(started_unix_ms) = process.successor_start(opened_at) {
            probe.expected.started_unix_ms = Some(started_unix_ms);
        }
        probe
    }

    async fn ask(&self, probe: &IncarnationProbe, limit: Duration) -> ProcessAnswer {
        let address = self.target.address;
        let client = &self.inner.question_client;
        let answer = client.ask_process(address, probe, limit).await;
        self.inner.meters.count("process_answers", answer.label());
        if matches!(answer, ProcessAnswer::Other(_)) {
            log::info!(
                "another process than the one registered with start {} answers at target {}",
                self.target.started_unix_ms,
                self.target.id,
            );
        }
        answer
    }
}

impl<Format> RequestPreparation for ProcessCheck<Format>
where
    Format: HeaderFormat,
{
    async fn prepare(&self, opened_at: Instant) {
        // Without an answer the call is sent all the same; its stream is not resumed at other instances then.
        self.confirm(opened_at, ANSWER_TIME).await;
    }
}

/// The process that has begun a stream.
pub(crate) struct StreamProcess<Format> {
    check: ProcessCheck<Format>,
    /// When the connection of the stream was opened.
    opened_at: Instant,
}

impl<Format> StreamProcess<Format>
where
    Format: HeaderFormat,
{
    /// The process at the other end of a connection of `check`'s target that was opened at `opened_at`.
    pub(crate) fn new(check: ProcessCheck<Format>, opened_at: Instant) -> Self {
        Self { check, opened_at }
    }

    /// Whether it is known to be the registered one.
    pub(crate) fn is_registered(&self) -> bool {
        self.check.is_registered(self.opened_at)
    }

    /// The same, after the target was asked if that is not known yet. Takes `limit` at most.
    pub(crate) async fn confirm(&self, limit: Duration) -> bool {
        self.check.confirm(self.opened_at, limit).await
    }
}

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Finds out which process of `target` answers the call, if its stream may be resumed.
    pub(crate) fn process_check(&self, target: &Arc<TargetState>) -> ProcessCheck<Format> {
        let is_resumable = self.retry_policy() == RetryPolicy::ResumableStream;
        let format = &self.inner.header_format;
        let pools = &self.admitted.table.config().pools;
        let probe = is_resumable.then(|| process_probe(format, target, pools, &self.pool));
        ProcessCheck {
            inner: Arc::clone(&self.inner),
            target: Arc::clone(target),
            probe: probe.flatten(),
        }
    }
}
