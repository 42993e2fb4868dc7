//! Follows the platform's instance list.

use {
    arc_swap::ArcSwap,
    fleet::Fleet,
    platform::{Instance, InstanceList, InstanceState},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two reads of the list.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the platform's instance list until dropped.
#[derive(Clone)]
pub(crate) struct InstanceWatch<List> {
    pub(crate) list: List,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) instances: Arc<ArcSwap<Vec<Instance>>>,
}

impl<List> InstanceWatch<List>
where
    List: InstanceList,
{
    /// Reads the list and publishes it; while it cannot be read, the last one stays.
    pub(crate) async fn run(self) {
        loop {
            match self.list.instances().await {
                Ok(instances) => {
                    self.fleet.mark_leaving(&leaving(&instances));
                    self.instances.store(Arc::new(instances));
                }
                Err(error) => log::warn!("{error}"),
            }
            sleep(READ_INTERVAL).await;
        }
    }
}

fn leaving(instances: &[Instance]) -> BTreeSet<String> {
    instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Leaving)
        .map(|instance| instance.name.clone())
        .collect()
}
