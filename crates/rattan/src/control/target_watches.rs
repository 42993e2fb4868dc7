//! Keeps one watch for each configured target.

use {
    super::{EngineWatch, StoreWatch},
    catalog::{Catalog, Target, TargetId, TargetKind},
    configuration::FollowerHandle,
    fleet::Fleet,
    serving::{AdmissionQueue, SharedDirectory},
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    target::Client,
    tokio::{task::AbortHandle, time::sleep},
};

/// Time between two looks at the configuration.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps one watch for each configured target, and the fleet in line with the configuration.
#[derive(Clone)]
pub(crate) struct TargetWatches {
    pub(crate) configuration: FollowerHandle,
    pub(crate) client: Client,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) blocks: SharedDirectory,
    pub(crate) gate: AdmissionQueue,
    pub(crate) load_interval: Duration,
}

/// A watch that ends when dropped.
struct Running {
    address: SocketAddr,
    task: Option<AbortHandle>,
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl TargetWatches {
    /// Runs until dropped.
    pub(crate) async fn run(self) {
        let mut running = BTreeMap::new();
        let mut last = Arc::<Catalog>::default();
        loop {
            let catalog = self.configuration.catalog();
            if !Arc::ptr_eq(&catalog, &last) {
                self.fleet.sync(&catalog);
                self.adjust(&mut running, &catalog);
                self.gate.set_max_running(slots_count(&catalog));
                last = catalog;
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    fn adjust(&self, running: &mut BTreeMap<TargetId, Running>, catalog: &Catalog) {
        running.retain(|name, watch| {
            let target = catalog.targets.get(name);
            let is_wanted = target.is_some_and(|target| target.address == watch.address);
            if !is_wanted {
                let now = self.blocks.now();
                self.blocks.lock().forget_target(name, now);
            }
            is_wanted
        });
        for target in catalog.targets.values() {
            running
                .entry(target.name.clone())
                .or_insert_with(|| Running {
                    address: target.address,
                    task: self.start(target),
                });
        }
    }

    /// Starts the watch of a target; plain services report nothing to watch.
    fn start(&self, target: &Target) -> Option<AbortHandle> {
        let view = self.fleet.view(&target.name)?;
        let (client, blocks) = (self.client.clone(), self.blocks.clone());
        let task = match target.kind {
            TargetKind::Service => return None,
            TargetKind::Engine => tokio::spawn(
                EngineWatch {
                    client,
                    view,
                    blocks,
                    load_interval: self.load_interval,
                }
                .run(),
            ),
            TargetKind::Store => tokio::spawn(
                StoreWatch {
                    client,
                    view,
                    blocks,
                    interval: self.load_interval,
                }
                .run(),
            ),
        };
        Some(task.abort_handle())
    }
}

/// Requests that all targets together run at once, at least 1.
fn slots_count(catalog: &Catalog) -> u32 {
    let targets = catalog.targets.values().filter(|target| !target.leaving);
    let count = targets.fold(0, |count, target| {
        u32::saturating_add(count, target.max_running_count)
    });
    count.max(1)
}
