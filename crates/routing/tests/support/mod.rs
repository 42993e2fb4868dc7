//! Targets and placement rules for the tests.

use catalog::{PlacementRule, Selector, Target, TargetKind};

/// Returns an engine with eight slots.
pub fn engine(name: &str) -> Target {
    Target {
        name: name.into(),
        kind: TargetKind::Engine,
        address: ([127, 0, 0, 1], 1).into(),
        region: "almaty".into(),
        failure_domain: "almaty-a".into(),
        labels: [("fleet".to_owned(), "shared".to_owned())].into(),
        leaving: false,
        checks_fencing: true,
        max_running_count: 8,
        link_bytes_per_s: 0,
        capacity_bytes: 0,
        service: String::new(),
        calls: Vec::new(),
    }
}

/// Returns a rule that selects every target of [`engine`] and weighs only the time to first token.
pub fn rule() -> PlacementRule {
    PlacementRule {
        name: "shared".into(),
        labels: [].into(),
        precedence: 0,
        client_accounts: Selector::default(),
        model_versions: Selector::default(),
        targets: Selector {
            required: [("fleet".to_owned(), "shared".to_owned())].into(),
        },
        stores: Selector::default(),
        priority: 0,
        objective: catalog::Objective::default(),
    }
}
