//! Passes of reconcilers against targets in memory.

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
    newest_token: Revision,
}

/// Engines that check fencing tokens and record how many load at once.
#[derive(Clone, Debug, Default)]
struct Engines {
    state: Arc<Mutex<BTreeMap<TargetId, Engine>>>,
    max_loading_count: Arc<Mutex<usize>>,
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
        fencing_token: Revision,
        order: &Order,
    ) -> Result<(), OrderError> {
        let mut state = self.state.lock().unwrap();
        let engine = state.entry(target.name.clone()).or_default();
        if fencing_token < engine.newest_token {
            let newest = engine.newest_token;
            return Err(OrderError::StaleFencing { newest });
        }
        engine.newest_token = fencing_token;
        if let Order::LoadVersion { version } = order {
            engine.version.clone_from(version);
            engine.loaded_at = Some(Instant::now() + LOAD_TIME);
        }
        let now = Instant::now();
        let loading = state
            .values()
            .filter(|one| one.loaded_at > Some(now))
            .count();
        let mut max = self.max_loading_count.lock().unwrap();
        *max = loading.max(*max);
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

fn reconciler(kv: &MemoryKv, engines: &Engines, name: &str) -> Reconciler<MemoryKv, Engines> {
    let settings = ReconcilerSettings::new(LeaseHolderSettings::new(name.to_owned()));
    Reconciler::new(kv.peer(), engines.clone(), settings)
}

/// Assigns engines with an even number to the first instance and the others to the second.
fn owns(index: usize, target: &TargetId) -> bool {
    target.as_bytes()[target.len() - 1] as usize % 2 == index
}

#[tokio::test(start_paused = true)]
async fn two_instances_load_at_most_three_engines_at_once() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(20), Engines::default());
    let mut reconcilers = ["a", "b"].map(|name| reconciler(&kv, &engines, name));
    for _ in 0..60 {
        for (index, reconciler) in reconcilers.iter_mut().enumerate() {
            let pass = reconciler
                .run_once(&catalog, |target| owns(index, target))
                .await;
            assert!(pass.unwrap().iter().all(|outcome| outcome.result.is_ok()));
        }
        sleep(Duration::from_secs(1)).await;
    }
    let state = engines.state.lock().unwrap();
    assert!(state.values().all(|engine| engine.version == "d1"));
    assert_eq!(*engines.max_loading_count.lock().unwrap(), 3);
}

#[tokio::test(start_paused = true)]
async fn load_slots_of_a_dead_instance_expire_with_its_lease() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(20), Engines::default());
    let mut dead = reconciler(&kv, &engines, "a");
    let outcomes = dead.run_once(&catalog, |_| true).await.unwrap();
    assert_eq!(outcomes.len(), 3);
    drop(dead);
    let mut next = reconciler(&kv, &engines, "b");
    assert_eq!(next.run_once(&catalog, |_| true).await.unwrap(), Vec::new());
    sleep(Duration::from_secs(31)).await;
    assert_eq!(next.run_once(&catalog, |_| true).await.unwrap().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn no_order_is_given_once_the_lease_cannot_be_renewed() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(1), Engines::default());
    let settings = ReconcilerSettings::new(LeaseHolderSettings::new("a".to_owned()));
    let mut reconciler = Reconciler::new(kv.clone(), engines.clone(), settings);
    let nothing_active = Catalog {
        model_versions: BTreeMap::new(),
        ..catalog.clone()
    };
    reconciler
        .run_once(&nothing_active, |_| true)
        .await
        .unwrap();
    let target = "engine-00".to_owned();
    assert!(reconciler.holder().fencing_token(&target, true).is_some());
    kv.set_faults(|faults| faults.unreachable = true);
    sleep(Duration::from_secs(24)).await;
    assert!(reconciler.run_once(&catalog, |_| true).await.is_err());
    assert_eq!(reconciler.holder().fencing_token(&target, true), None);
    assert!(engines.state.lock().unwrap()[&target].version.is_empty());
}

/// Guards against a target that is taken back with the fencing token that it has refused.
#[tokio::test(start_paused = true)]
async fn target_that_refused_a_fencing_token_gets_orders_under_a_higher_one() {
    let kv = MemoryKv::new();
    let (catalog, engines) = (catalog(1), Engines::default());
    let mut reconciler = reconciler(&kv, &engines, "a");
    let newest_token = u64::try_from(fencing::time_of_day().as_millis()).unwrap() + 1_000_000;
    let engine = Engine {
        newest_token,
        ..Engine::default()
    };
    let target = "engine-00".to_owned();
    engines.state.lock().unwrap().insert(target.clone(), engine);
    let mut tokens = Vec::new();
    for _ in 0..12 {
        let outcomes = reconciler.run_once(&catalog, |_| true).await.unwrap();
        tokens.extend(outcomes.iter().map(|outcome| outcome.fencing_token));
        sleep(Duration::from_secs(1)).await;
    }
    assert!(tokens[0] < newest_token, "{tokens:?}");
    assert!(tokens.is_sorted_by(|one, next| one < next), "{tokens:?}");
    assert_eq!(engines.state.lock().unwrap()[&target].version, "d1");
}
