//! Passes of orderers against targets in memory.

use {
    catalog::{
        Catalog, ClientAccount, Labels, ModelVersion, Objective, PlacementRule, Revision, Selector,
        Target, TargetId, TargetKind,
    },
    keyvalue::MemoryKv,
    orders::{
        LeaseHolderSettings, ObservedState, Order, OrderError, Reconciler, ReconcilerSettings,
        TargetControl,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Time that an engine takes to load.
const LOAD_TIME: Duration = Duration::from_millis(2500);

#[derive(Debug, Default)]
struct Engine {
    version: String,
    loaded_at: Option<Instant>,
    newest: Revision,
}

/// Engines that check fencing numbers and record how many load at once.
#[derive(Clone, Debug, Default)]
struct Engines {
    state: Arc<Mutex<BTreeMap<TargetId, Engine>>>,
    most_loading_count: Arc<Mutex<usize>>,
}

impl TargetControl for Engines {
    async fn observe(&self, target: &Target) -> Result<ObservedState, OrderError> {
        let mut state = self.state.lock().unwrap();
        let engine = state.entry(target.name.clone()).or_default();
        let loaded = engine.loaded_at.is_some_and(|at| at <= Instant::now());
        Ok(ObservedState {
            version: if loaded {
                engine.version.clone()
            } else {
                String::new()
            },
            ..ObservedState::default()
        })
    }

    async fn order(
        &self,
        target: &Target,
        fencing: Revision,
        order: &Order,
    ) -> Result<(), OrderError> {
        let mut state = self.state.lock().unwrap();
        let engine = state.entry(target.name.clone()).or_default();
        if fencing < engine.newest {
            let newest = engine.newest;
            return Err(OrderError::StaleFencing { newest });
        }
        engine.newest = fencing;
        if let Order::LoadVersion { version } = order {
            engine.version.clone_from(version);
            engine.loaded_at = Some(Instant::now() + LOAD_TIME);
        }
        let now = Instant::now();
        let loading = state
            .values()
            .filter(|one| one.loaded_at > Some(now))
            .count();
        let mut most = self.most_loading_count.lock().unwrap();
        *most = loading.max(*most);
        Ok(())
    }
}

fn catalog(engine_count: usize) -> Catalog {
    let mut catalog = Catalog::default();
    let version = ModelVersion {
        name: "v1".to_owned(),
        model: "m".to_owned(),
        labels: Labels::new(),
        digest: "d1".to_owned(),
        active: true,
        piece_bytes: 1,
        piece_tokens: 1,
        kv_bytes_per_token: 1,
    };
    let rule = PlacementRule {
        name: "all".to_owned(),
        labels: Labels::new(),
        precedence: 0,
        client_accounts: Selector::default(),
        model_versions: Selector::default(),
        targets: Selector::default(),
        stores: Selector::default(),
        priority: 0,
        objective: Objective::default(),
    };
    let account = ClientAccount {
        name: "acme".to_owned(),
        labels: Labels::new(),
        key_digests: Vec::new(),
        max_running_count: 1,
        tokens_per_s: 1,
        weight: 1,
    };
    catalog.model_versions.insert("v1".to_owned(), version);
    catalog.placement_rules.insert("all".to_owned(), rule);
    catalog.client_accounts.insert("acme".to_owned(), account);
    for index in 0..engine_count {
        let name = format!("engine-{index:02}");
        catalog.targets.insert(name.clone(), engine(name));
    }
    catalog
}

fn engine(name: TargetId) -> Target {
    Target {
        name,
        kind: TargetKind::Engine,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".to_owned(),
        failure_domain: "d".to_owned(),
        labels: Labels::new(),
        leaving: false,
        checks_fencing: true,
        max_running_count: 8,
        link_bytes_per_s: 1,
        capacity_bytes: 0,
        service: String::new(),
        calls: Vec::new(),
    }
}

fn orderer(kv: &MemoryKv, engines: &Engines, name: &str) -> Reconciler<MemoryKv, Engines> {
    let settings = ReconcilerSettings::new(LeaseHolderSettings::new(name.to_owned()));
    Reconciler::new(kv.peer(), engines.clone(), settings)
}

/// Even engines are the first instance's, odd ones the second's.
fn owns(index: usize, target: &TargetId) -> bool {
    target.as_bytes()[target.len() - 1] as usize % 2 == index
}

#[tokio::test(start_paused = true)]
async fn two_instances_load_all_engines_three_at_a_time() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(20), Engines::default());
    let mut orderers = ["a", "b"].map(|name| orderer(&kv, &engines, name));
    for _ in 0..60 {
        for (index, orderer) in orderers.iter_mut().enumerate() {
            let pass = orderer
                .run_once(&catalog, |target| owns(index, target))
                .await;
            assert!(pass.unwrap().iter().all(|given| given.result.is_ok()));
        }
        sleep(Duration::from_secs(1)).await;
    }
    let state = engines.state.lock().unwrap();
    assert!(state.values().all(|engine| engine.version == "d1"));
    assert_eq!(*engines.most_loading_count.lock().unwrap(), 3);
}

#[tokio::test(start_paused = true)]
async fn a_slot_of_an_instance_that_died_lapses_with_its_lease() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(20), Engines::default());
    let mut dead = orderer(&kv, &engines, "a");
    let given = dead.run_once(&catalog, |_| true).await.unwrap();
    assert_eq!(given.len(), 3);
    drop(dead);
    let mut next = orderer(&kv, &engines, "b");
    assert_eq!(next.run_once(&catalog, |_| true).await.unwrap(), Vec::new());
    sleep(Duration::from_secs(31)).await;
    assert_eq!(next.run_once(&catalog, |_| true).await.unwrap().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn no_order_is_given_while_the_service_is_down_longer_than_the_lease() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(1), Engines::default());
    let settings = ReconcilerSettings::new(LeaseHolderSettings::new("a".to_owned()));
    let mut orderer = Reconciler::new(kv.clone(), engines.clone(), settings);
    let nothing_active = Catalog {
        model_versions: BTreeMap::new(),
        ..catalog.clone()
    };
    orderer.run_once(&nothing_active, |_| true).await.unwrap();
    let target = "engine-00".to_owned();
    assert!(orderer.holder().fencing_token(&target, true).is_some());
    kv.set_faults(|faults| faults.unreachable = true);
    sleep(Duration::from_secs(24)).await;
    assert!(orderer.run_once(&catalog, |_| true).await.is_err());
    assert_eq!(orderer.holder().fencing_token(&target, true), None);
    assert!(engines.state.lock().unwrap()[&target].version.is_empty());
}
