//! Warnings about a configuration that is valid but probably wrong.

use {
    crate::{Catalog, Labels, ObjectKind, Selector, TargetKind},
    std::{collections::BTreeSet, fmt},
};

/// A probable mistake in one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Warning {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// The problem and the remedy.
    pub message: String,
}

impl fmt::Display for Warning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}: {}", self.kind, self.name, self.message)
    }
}

/// Lists probable mistakes: selectors that match nothing, models without an active version, and
/// accounts without a key.
#[must_use]
pub fn warnings(catalog: &Catalog) -> Vec<Warning> {
    let mut warnings = rule_warnings(catalog);
    warnings.extend(model_warnings(catalog));
    warnings.extend(account_warnings(catalog));
    warnings
}

fn rule_warnings(catalog: &Catalog) -> Vec<Warning> {
    let accounts: Vec<&Labels> = catalog
        .client_accounts
        .values()
        .map(|a| &a.labels)
        .collect();
    let versions: Vec<&Labels> = catalog.model_versions.values().map(|v| &v.labels).collect();
    let targets = target_labels(catalog, |kind| kind != TargetKind::Store);
    let stores = target_labels(catalog, |kind| kind == TargetKind::Store);
    let mut warnings = Vec::new();
    for rule in catalog.placement_rules.values() {
        let selectors = [
            ("client_accounts", &rule.client_accounts, &accounts),
            ("model_versions", &rule.model_versions, &versions),
            ("targets", &rule.targets, &targets),
            ("stores", &rule.stores, &stores),
        ];
        for (field, selector, labels) in selectors {
            if !matches_any(selector, labels) {
                warnings.push(Warning {
                    kind: ObjectKind::PlacementRule,
                    name: rule.name.clone(),
                    message: format!(
                        "selector `{field}` ({selector}) matches nothing; correct it or label what it \
                         should match"
                    ),
                });
            }
        }
    }
    warnings
}

fn target_labels<Predicate>(catalog: &Catalog, is_wanted: Predicate) -> Vec<&Labels>
where
    Predicate: Fn(TargetKind) -> bool,
{
    catalog
        .targets
        .values()
        .filter(|target| is_wanted(target.kind))
        .map(|target| &target.labels)
        .collect()
}

fn matches_any(selector: &Selector, labels: &[&Labels]) -> bool {
    labels.iter().any(|labels| selector.matches(labels))
}

fn model_warnings(catalog: &Catalog) -> Vec<Warning> {
    let active_models: BTreeSet<&str> = catalog
        .model_versions
        .values()
        .filter(|version| version.active)
        .map(|version| version.model.as_str())
        .collect();
    catalog
        .model_versions
        .values()
        .filter(|version| !active_models.contains(version.model.as_str()))
        .map(|version| Warning {
            kind: ObjectKind::ModelVersion,
            name: version.name.clone(),
            message: format!(
                "no version of model {} is active; set `active` on one of them",
                version.model
            ),
        })
        .collect()
}

fn account_warnings(catalog: &Catalog) -> Vec<Warning> {
    catalog
        .client_accounts
        .values()
        .filter(|account| account.key_digests.is_empty())
        .map(|account| Warning {
            kind: ObjectKind::ClientAccount,
            name: account.name.clone(),
            message: "has no key, so it cannot call; add a digest to `key_digests`".to_owned(),
        })
        .collect()
}
