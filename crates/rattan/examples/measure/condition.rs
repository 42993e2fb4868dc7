//! Faults of a run.

use {
    crate::{Failure, deployment::Deployment, test_system::TestSystem},
    serde_json::json,
    std::fmt,
};

/// Delay of cache events.
const EVENTS_DELAY_MS: u64 = 3_000;

/// Fault of a run, which starts with the first measured round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    Healthy,
    StoreDead,
    LinkAtTenth,
    TargetLeaving,
    EntryLost,
    EventsLate,
    KvDown,
}

impl Condition {
    /// All conditions except [`Self::Healthy`].
    pub const FAULTS: [Self; 6] = [
        Self::StoreDead,
        Self::LinkAtTenth,
        Self::TargetLeaving,
        Self::EntryLost,
        Self::EventsLate,
        Self::KvDown,
    ];

    /// Injects the fault.
    pub async fn inject(
        self,
        system: &mut TestSystem,
        deployment: &Deployment,
    ) -> Result<(), Failure> {
        match self {
            Self::Healthy => {}
            Self::StoreDead => system.stop_store().await,
            Self::LinkAtTenth => {
                let slow = json!({"link_bytes_per_s": deployment.link_bytes_per_s / 10});
                system.stores[0].set_faults(&slow)?;
            }
            Self::TargetLeaving => system.engines[0].set_faults(&json!({"leaving": true}))?,
            Self::EntryLost => drop(system.entries.pop()),
            Self::EventsLate => {
                for engine in &system.engines {
                    engine.set_faults(&json!({"events_delay_ms": EVENTS_DELAY_MS}))?;
                }
            }
            Self::KvDown => system.kv.set_faults(&json!({"down": true}))?,
        }
        Ok(())
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Healthy => "healthy",
            Self::StoreDead => "store dead",
            Self::LinkAtTenth => "link at a tenth",
            Self::TargetLeaving => "target leaving",
            Self::EntryLost => "entry lost",
            Self::EventsLate => "events late",
            Self::KvDown => "kv down",
        })
    }
}
