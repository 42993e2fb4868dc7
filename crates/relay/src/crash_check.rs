//! Finds out whether a target has crashed that broke off a call.

use {
    crate::{RelayState, TargetState},
    std::{sync::Arc, time::Duration},
    target::{Client, CrashEvidence, IncarnationProbe},
    tokio::time::sleep,
};

/// Interval between checks whether the target's failure domain is evacuated.
const EVACUATION_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Finds out whether a target has crashed that broke off a call.
pub(crate) struct CrashCheck {
    /// The target as it was known when the call was sent.
    pub(crate) target: Arc<TargetState>,
    /// Asks which process is at its address; `None` if nobody can be asked.
    pub(crate) probe: Option<IncarnationProbe>,
    /// When the connection of the call broke, by [`crate::boot_time`].
    pub(crate) broke_at: Duration,
    pub(crate) client: Client,
    pub(crate) state: RelayState,
}

impl CrashCheck {
    /// Whether the target has crashed. Takes some seconds at most. A target in an evacuated failure
    /// domain is not asked, so nothing is known of it.
    pub(crate) async fn has_crashed(&self) -> bool {
        let address = self.target.address;
        let evidence = tokio::select! {
            biased;
            () = self.evacuated() => CrashEvidence::Absent,
            evidence = CrashEvidence::gather(&self.client, address, self.probe.as_ref()) => evidence,
        };
        let has_crashed = match evidence {
            CrashEvidence::Shown => true,
            CrashEvidence::Absent => false,
            CrashEvidence::Unanswered => self.is_only_one_without_answers(),
        };
        log::info!(
            "target {} broke off a call, evidence of a crash: {evidence:?}, counts as one: {has_crashed}",
            self.target.id
        );
        has_crashed
    }

    /// Waits until the target's failure domain is evacuated.
    async fn evacuated(&self) {
        while !self.state.view().is_evacuated(&self.target) {
            sleep(EVACUATION_CHECK_PERIOD).await;
        }
    }

    /// Whether the target has answered no call since it broke this one off, while others have: a path that is
    /// cut mostly leads to all of them, and a live target that is full ends new connections only.
    fn is_only_one_without_answers(&self) -> bool {
        let has_answered =
            |target: &TargetState| target.call_stats.has_answered_since(self.broke_at);
        let view = self.state.view();
        let mut targets = view.pools.values().flatten();
        !has_answered(&self.target) && targets.any(|target| has_answered(target))
    }
}
