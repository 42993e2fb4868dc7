//! Polls the instance list of the platform.

use {
    fleet::{Fleet, ListedState},
    keyvalue::{Instance, InstanceList, InstanceState},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
};

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two warnings while the list cannot be read.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Polls the instance list of the platform until dropped.
#[derive(Clone)]
pub(crate) struct InstanceWatch<List> {
    pub(crate) list: List,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) instances: Arc<watch::Sender<Vec<Instance>>>,
}

impl<List> InstanceWatch<List>
where
    List: InstanceList,
{
    /// Reads the list and publishes it. While it cannot be read, the last one stays in use.
    pub(crate) async fn run(self) {
        let mut warned_at: Option<Instant> = None;
        loop {
            let asked_at = Instant::now();
            match self.list.instances().await {
                Ok(instances) => {
                    warned_at = None;
                    self.apply_list(&instances, asked_at);
                    self.instances.send_replace(instances);
                }
                Err(error) => {
                    if warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
                        log::warn!("{error}");
                        warned_at = Some(asked_at);
                    }
                }
            }
            sleep(READ_INTERVAL).await;
        }
    }

    /// Applies the list to the fleet. An empty list is ignored: it means that the list was lost,
    /// not that all targets left.
    fn apply_list(&self, instances: &[Instance], asked_at: Instant) {
        if instances.is_empty() {
            return;
        }
        let listed = instances
            .iter()
            .map(|instance| (instance.name.clone(), listed_state(instance.state)))
            .collect();
        self.fleet.apply_listing(&listed, asked_at);
    }
}

fn listed_state(state: InstanceState) -> ListedState {
    match state {
        InstanceState::Live => ListedState::Live,
        InstanceState::Leaving => ListedState::Leaving,
    }
}
