//! Runs one watch for each configured target.

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

/// Time between two checks whether the configuration has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs one watch for each configured target, and keeps the fleet in sync with the configuration.
#[derive(Clone)]
pub(crate) struct TargetWatches {
    pub(crate) configuration: FollowerHandle,
    pub(crate) client: Client,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) directory: SharedDirectory,
    pub(crate) admission: AdmissionQueue,
    pub(crate) load_interval: Duration,
}

/// A running watch, whose task is aborted on drop.
struct TargetWatch {
    address: SocketAddr,
    task: Option<AbortHandle>,
}

impl Drop for TargetWatch {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl TargetWatches {
    /// Runs until dropped.
    pub(crate) async fn run(self) {
        let mut watches = BTreeMap::new();
        let mut last_catalog = Arc::<Catalog>::default();
        loop {
            let catalog = self.configuration.catalog();
            if !Arc::ptr_eq(&catalog, &last_catalog) {
                self.fleet.sync(&catalog);
                self.sync_watches(&mut watches, &catalog);
                self.admission.set_max_running(slots_count(&catalog));
                last_catalog = catalog;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn sync_watches(&self, watches: &mut BTreeMap<TargetId, TargetWatch>, catalog: &Catalog) {
        watches.retain(|name, watch| {
            let target = catalog.targets.get(name);
            let is_wanted = target.is_some_and(|target| target.address == watch.address);
            if !is_wanted {
                let now = self.directory.now();
                self.directory.lock().forget_target(name, now);
            }
            is_wanted
        });
        for target in catalog.targets.values() {
            watches
                .entry(target.name.clone())
                .or_insert_with(|| TargetWatch {
                    address: target.address,
                    task: self.start_watch(target),
                });
        }
    }

    /// Starts the watch of a target. Plain services have none, since they report no state.
    fn start_watch(&self, target: &Target) -> Option<AbortHandle> {
        let view = self.fleet.view(&target.name)?;
        let (client, directory) = (self.client.clone(), self.directory.clone());
        let task = match target.kind {
            TargetKind::Service => return None,
            TargetKind::Engine => tokio::spawn(
                EngineWatch {
                    client,
                    view,
                    directory,
                    load_interval: self.load_interval,
                }
                .run(),
            ),
            TargetKind::Store => tokio::spawn(
                StoreWatch {
                    client,
                    view,
                    directory,
                    poll_interval: self.load_interval,
                }
                .run(),
            ),
        };
        Some(task.abort_handle())
    }
}

/// Number of requests that all targets together can run at once, at least 1.
fn slots_count(catalog: &Catalog) -> u32 {
    let targets = catalog.targets.values().filter(|target| !target.leaving);
    let count = targets.fold(0, |count, target| {
        u32::saturating_add(count, target.max_running_count)
    });
    count.max(1)
}
