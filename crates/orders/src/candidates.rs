//! Which version, adapters and role each engine shall have.

use {
    crate::ObservedState,
    catalog::{
        Catalog, ModelId, ModelVersion, PlacementRule, PlacementRuleId, Target, TargetId,
        TargetKind, VersionDigest,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        hash::{DefaultHasher, Hash, Hasher},
    },
};

/// Label of an engine that names its role.
pub const ROLE_LABEL: &str = "engine/role";
/// Labels of an engine that start with this name an adapter each; their values don't matter.
pub const ADAPTER_LABEL_PREFIX: &str = "adapter/";

/// A version that an engine may serve.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Model that callers name.
    pub model: ModelId,
    /// Digest of its active version.
    pub version: VersionDigest,
}

/// Versions that each engine may serve, by the placement rules that decide for some client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidates {
    by_target: BTreeMap<TargetId, BTreeSet<Candidate>>,
    models: BTreeMap<VersionDigest, ModelId>,
}

impl From<&Catalog> for Candidates {
    fn from(catalog: &Catalog) -> Self {
        let mut by_target: BTreeMap<TargetId, BTreeSet<Candidate>> = BTreeMap::new();
        for version in catalog.model_versions.values().filter(|one| one.active) {
            for rule in deciding_rules(catalog, version) {
                for engine in selected_engines(catalog, rule) {
                    let candidates = by_target.entry(engine.name.clone()).or_default();
                    candidates.insert(candidate(version));
                }
            }
        }
        let versions = catalog.model_versions.values();
        let models = versions.map(|version| (version.digest.clone(), version.model.clone()));
        Self {
            by_target,
            models: models.collect(),
        }
    }
}

impl Candidates {
    /// Model of a version, also of one that is no longer active.
    #[must_use]
    pub fn model(&self, version: &VersionDigest) -> Option<&ModelId> {
        self.models.get(version)
    }

    /// Engines of each model, counting an engine that several models may use in parts.
    #[must_use]
    pub fn engine_counts(&self) -> BTreeMap<ModelId, usize> {
        let mut hundredths: BTreeMap<&ModelId, usize> = BTreeMap::new();
        for candidates in self.by_target.values() {
            for candidate in candidates {
                *hundredths.entry(&candidate.model).or_default() += 100 / candidates.len();
            }
        }
        hundredths
            .into_iter()
            .map(|(model, hundredths)| (model.clone(), hundredths / 100))
            .collect()
    }

    /// Chooses one candidate for each observed engine.
    ///
    /// An engine keeps the model that it serves. Others get the candidate with the fewest engines.
    /// A candidate left without an engine takes one from the candidate with the most.
    #[must_use]
    pub fn assign(
        &self,
        observed: &BTreeMap<TargetId, ObservedState>,
    ) -> BTreeMap<TargetId, Candidate> {
        let mut assigned = BTreeMap::new();
        let mut undecided = Vec::new();
        for (target, state) in observed {
            let Some(candidates) = self.by_target.get(target) else {
                continue;
            };
            match self.kept(candidates, state) {
                Some(kept) => {
                    assigned.insert(target.clone(), kept.clone());
                }
                None => undecided.push((target, candidates)),
            }
        }
        for (target, candidates) in undecided {
            if let Some(chosen) = fewest(candidates, target, &assigned) {
                assigned.insert(target.clone(), chosen.clone());
            }
        }
        self.share(&mut assigned);
        assigned
    }

    fn kept<'candidates>(
        &self,
        candidates: &'candidates BTreeSet<Candidate>,
        state: &ObservedState,
    ) -> Option<&'candidates Candidate> {
        let served = self.model(&state.version)?;
        candidates.iter().find(|one| one.model == *served)
    }

    /// Gives each candidate without an engine one of those that it may use.
    fn share(&self, assigned: &mut BTreeMap<TargetId, Candidate>) {
        let wanted: BTreeSet<&Candidate> = assigned
            .keys()
            .filter_map(|target| self.by_target.get(target))
            .flatten()
            .collect();
        for candidate in wanted {
            if engine_count(assigned, candidate) > 0 {
                continue;
            }
            let donor = assigned
                .iter()
                .filter(|(target, _)| self.by_target[*target].contains(candidate))
                .map(|(target, current)| (engine_count(assigned, current), target.clone()))
                .filter(|(count, _)| *count > 1)
                .max();
            if let Some((_, target)) = donor {
                assigned.insert(target, candidate.clone());
            }
        }
    }
}

/// Adapters that the labels of an engine name.
pub(crate) fn desired_adapters(target: &Target) -> impl Iterator<Item = &str> {
    target
        .labels
        .keys()
        .filter_map(|key| key.strip_prefix(ADAPTER_LABEL_PREFIX))
}

/// Rules that decide for at least one client account.
fn deciding_rules<'catalog>(
    catalog: &'catalog Catalog,
    version: &ModelVersion,
) -> Vec<&'catalog PlacementRule> {
    let mut names: BTreeSet<&PlacementRuleId> = BTreeSet::new();
    for account in catalog.client_accounts.values() {
        names.extend(catalog.rule_for(account, version).map(|rule| &rule.name));
    }
    names
        .into_iter()
        .filter_map(|name| catalog.placement_rules.get(name))
        .collect()
}

fn selected_engines<'catalog>(
    catalog: &'catalog Catalog,
    rule: &'catalog PlacementRule,
) -> impl Iterator<Item = &'catalog Target> {
    catalog
        .targets
        .values()
        .filter(|target| target.kind == TargetKind::Engine && rule.targets.matches(&target.labels))
}

fn candidate(version: &ModelVersion) -> Candidate {
    Candidate {
        model: version.model.clone(),
        version: version.digest.clone(),
    }
}

/// The candidate with the fewest engines; ties differ from engine to engine.
fn fewest<'candidates>(
    candidates: &'candidates BTreeSet<Candidate>,
    target: &TargetId,
    assigned: &BTreeMap<TargetId, Candidate>,
) -> Option<&'candidates Candidate> {
    candidates
        .iter()
        .min_by_key(|one| (engine_count(assigned, one), tie_break(target, one)))
}

fn engine_count(assigned: &BTreeMap<TargetId, Candidate>, candidate: &Candidate) -> usize {
    assigned.values().filter(|one| *one == candidate).count()
}

fn tie_break(target: &TargetId, candidate: &Candidate) -> u64 {
    let mut hasher = DefaultHasher::new();
    (target, candidate).hash(&mut hasher);
    hasher.finish()
}
