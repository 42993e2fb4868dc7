//! Which orders are planned for which observed states.

use {
    catalog::{
        Catalog, ClientAccount, Labels, ModelVersion, Objective, PlacementRule, Selector, Target,
        TargetKind,
    },
    orders::{Candidates, LoadLimits, ObservedState, Order, PlannedOrder, plan},
    proptest::prelude::{Just, Strategy, any, prop, prop_assert, prop_assert_eq, proptest},
    std::collections::BTreeMap,
};

type ObservedStates = BTreeMap<String, ObservedState>;

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
        .collect()
}

fn version(name: &str, model: &str, active: bool) -> ModelVersion {
    ModelVersion {
        name: name.to_owned(),
        model: model.to_owned(),
        labels: labels(&[("model", model)]),
        digest: format!("digest-{name}"),
        active,
        piece_bytes: 8000,
        piece_tokens: 2000,
        kv_bytes_per_token: 100,
    }
}

fn engine(index: usize, pool: &str) -> Target {
    Target {
        name: format!("engine-{index:02}"),
        kind: TargetKind::Engine,
        address: "127.0.0.1:1".parse().unwrap(),
        region: "r".to_owned(),
        failure_domain: "d".to_owned(),
        labels: labels(&[("pool", pool)]),
        leaving: false,
        checks_fencing: true,
        max_running_count: 8,
        link_bytes_per_s: 1,
        capacity_bytes: 0,
        service: String::new(),
        calls: Vec::new(),
    }
}

fn rule(model: &str, pool: &str) -> PlacementRule {
    PlacementRule {
        name: format!("{model}-{pool}"),
        labels: Labels::new(),
        precedence: 0,
        client_accounts: Selector::default(),
        model_versions: Selector {
            required: labels(&[("model", model)]),
        },
        targets: Selector {
            required: labels(&[("pool", pool)]),
        },
        stores: Selector::default(),
        priority: 0,
        objective: Objective::default(),
    }
}

/// Two models in one shared pool: `one`, with a roll-out from `one-old` to `one-new`, and `two`.
fn catalog(engine_count: usize) -> Catalog {
    let mut catalog = Catalog::default();
    for version in [
        version("one-old", "one", false),
        version("one-new", "one", true),
        version("two", "two", true),
    ] {
        catalog.model_versions.insert(version.name.clone(), version);
    }
    for rule in [rule("one", "shared"), rule("two", "shared")] {
        catalog.placement_rules.insert(rule.name.clone(), rule);
    }
    for target in (0..engine_count).map(|index| engine(index, "shared")) {
        catalog.targets.insert(target.name.clone(), target);
    }
    let account = ClientAccount {
        name: "acme".to_owned(),
        labels: Labels::new(),
        key_digests: Vec::new(),
        max_running_count: 1,
        tokens_per_s: 1,
        weight: 1,
    };
    catalog.client_accounts.insert("acme".to_owned(), account);
    catalog
}

fn serving(catalog: &Catalog, version: &str) -> ObservedStates {
    let state = ObservedState {
        version: version.to_owned(),
        ..ObservedState::default()
    };
    let names = catalog.targets.keys();
    names.map(|name| (name.clone(), state.clone())).collect()
}

fn planned(
    catalog: &Catalog,
    observed: &ObservedStates,
    loading: &[PlannedOrder],
) -> Vec<PlannedOrder> {
    let candidates = Candidates::from(catalog);
    plan(
        catalog,
        &candidates,
        observed,
        loading,
        &LoadLimits::default(),
    )
}

#[test]
fn empty_engines_are_divided_among_models_three_loads_at_a_time() {
    let catalog = catalog(16);
    let mut observed = serving(&catalog, "");
    for _ in 0..6 {
        let orders = planned(&catalog, &observed, &[]);
        assert!(orders.len() <= 3);
        apply(&orders, &mut observed);
    }
    assert!(planned(&catalog, &observed, &[]).is_empty());
    let engines = observed
        .values()
        .filter(|state| state.version == "digest-one-new");
    assert_eq!(engines.count(), 8);
}

#[test]
fn a_roll_out_loads_a_quarter_of_the_engines_at_once() {
    let mut catalog = catalog(8);
    catalog.placement_rules.remove("two-shared");
    let observed = serving(&catalog, "digest-one-old");
    let orders = planned(&catalog, &observed, &[]);
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|planned| planned.order
        == Order::LoadVersion {
            version: "digest-one-new".to_owned()
        }));
    assert!(planned(&catalog, &observed, &orders).is_empty());
}

#[test]
fn a_new_model_gets_one_engine_of_a_shared_pool() {
    let catalog = catalog(8);
    let mut observed = serving(&catalog, "digest-one-new");
    let orders = planned(&catalog, &observed, &[]);
    assert_eq!(orders.len(), 1);
    apply(&orders, &mut observed);
    assert!(planned(&catalog, &observed, &[]).is_empty());
}

#[test]
fn a_rule_that_applies_to_no_account_loads_nothing() {
    let mut catalog = catalog(4);
    catalog.client_accounts.clear();
    let observed = serving(&catalog, "");
    assert!(planned(&catalog, &observed, &[]).is_empty());
}

#[test]
fn adapters_and_role_follow_the_labels() {
    let mut catalog = catalog(1);
    catalog.placement_rules.clear();
    let target = catalog.targets.get_mut("engine-00").unwrap();
    target.labels = labels(&[("engine/role", "prefill"), ("adapter/fr", "")]);
    let mut observed = serving(&catalog, "");
    let first = planned(&catalog, &observed, &[]);
    let adapter = "fr".to_owned();
    assert_eq!(first[0].order, Order::LoadAdapter { adapter });
    apply(&first, &mut observed);
    let second = planned(&catalog, &observed, &[]);
    let role = "prefill".to_owned();
    assert_eq!(second[0].order, Order::SetRole { role });
}

fn apply(orders: &[PlannedOrder], observed: &mut ObservedStates) {
    for planned in orders {
        let state = observed.get_mut(&planned.target).unwrap();
        match planned.order.clone() {
            Order::LoadVersion { version } => state.version = version,
            Order::LoadAdapter { adapter } => state.adapters.push(adapter),
            Order::SetRole { role } => state.role = role,
        }
    }
}

fn any_engine() -> impl Strategy<Value = (ObservedState, bool)> {
    let versions = [
        "",
        "digest-one-old",
        "digest-one-new",
        "digest-two",
        "other",
    ];
    let version = prop::sample::select(versions.to_vec());
    (version, any::<bool>(), any::<bool>()).prop_map(|(version, leaving, drained)| {
        let state = ObservedState {
            version: version.to_owned(),
            leaving,
            ..ObservedState::default()
        };
        (state, drained)
    })
}

proptest! {
    #[test]
    fn limits_hold_and_leaving_targets_get_nothing(
        engines in prop::collection::vec(any_engine(), 1..24),
        limit in Just(LoadLimits::default()),
    ) {
        let mut catalog = catalog(engines.len());
        let mut observed = ObservedStates::new();
        for (target, (state, drained)) in catalog.targets.values_mut().zip(engines) {
            target.leaving = drained;
            observed.insert(target.name.clone(), state);
        }
        let mut loading: Vec<PlannedOrder> = Vec::new();
        for _ in 0..3 {
            let orders = planned(&catalog, &observed, &loading);
            for order in &orders {
                prop_assert!(!catalog.targets[&order.target].leaving);
                prop_assert!(!observed[&order.target].leaving);
                prop_assert!(loading.iter().all(|load| load.target != order.target));
            }
            loading.extend(orders);
            prop_assert!(loading.len() <= limit.max_load_count);
        }
        let again = planned(&catalog, &observed, &loading);
        prop_assert_eq!(again, Vec::new());
    }
}
