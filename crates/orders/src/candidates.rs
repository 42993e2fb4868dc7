//! The desired version, adapters and role of each engine.

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

/// Label of an engine whose value is the engine's role.
pub const ROLE_LABEL: &str = "engine/role";
/// Prefix of an engine's labels that each name an adapter to load. The values of these labels are
/// ignored.
pub const ADAPTER_LABEL_PREFIX: &str = "adapter/";

/// A version that an engine may serve.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Model that callers ask for.
    pub model: ModelId,
    /// Digest of the model's active version.
    pub version: VersionDigest,
}

/// The versions that each engine may serve, by those placement rules that apply to at least one
/// client account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Candidates {
    by_target: BTreeMap<TargetId, BTreeSet<Candidate>>,
    model_by_version: BTreeMap<VersionDigest, ModelId>,
}

impl From<&Catalog> for Candidates {
    fn from(catalog: &Catalog) -> Self {
        let mut by_target: BTreeMap<TargetId, BTreeSet<Candidate>> = BTreeMap::new();
        for version in catalog
            .model_versions
            .values()
            .filter(|version| version.active)
        {
            for rule in applied_rules(catalog, version) {
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
            model_by_version: models.collect(),
        }
    }
}

impl Candidates {
    /// Returns the model of a version, even if the version is no longer active.
    #[must_use]
    pub fn model(&self, version: &VersionDigest) -> Option<&ModelId> {
        self.model_by_version.get(version)
    }

    /// Returns the number of engines of each model. An engine that several models may use counts in
    /// equal parts for each of them, and the sum is rounded down.
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
    /// An engine keeps the model that it serves. Any other engine gets the candidate with the
    /// fewest engines. A candidate left without an engine takes one from the candidate with the
    /// most.
    #[must_use]
    pub fn assign(
        &self,
        observed: &BTreeMap<TargetId, ObservedState>,
    ) -> BTreeMap<TargetId, Candidate> {
        let mut assigned = BTreeMap::new();
        let mut unassigned = Vec::new();
        for (target, state) in observed {
            let Some(candidates) = self.by_target.get(target) else {
                continue;
            };
            match self.current_candidate(candidates, state) {
                Some(current) => {
                    assigned.insert(target.clone(), current.clone());
                }
                None => unassigned.push((target, candidates)),
            }
        }
        for (target, candidates) in unassigned {
            if let Some(chosen) = least_assigned(candidates, target, &assigned) {
                assigned.insert(target.clone(), chosen.clone());
            }
        }
        self.fill_empty_candidates(&mut assigned);
        assigned
    }

    /// Returns the candidate whose model the engine serves now.
    fn current_candidate<'candidates>(
        &self,
        candidates: &'candidates BTreeSet<Candidate>,
        state: &ObservedState,
    ) -> Option<&'candidates Candidate> {
        let served = self.model(&state.version)?;
        candidates
            .iter()
            .find(|candidate| candidate.model == *served)
    }

    /// Moves an engine to each candidate that has none, from the candidate with the most engines,
    /// which keeps at least one.
    fn fill_empty_candidates(&self, assigned: &mut BTreeMap<TargetId, Candidate>) {
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

/// Returns the adapters that the labels of an engine name.
pub(crate) fn desired_adapters(target: &Target) -> impl Iterator<Item = &str> {
    target
        .labels
        .keys()
        .filter_map(|key| key.strip_prefix(ADAPTER_LABEL_PREFIX))
}

/// Returns the placement rules that apply to `version` for at least one client account.
fn applied_rules<'catalog>(
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

/// Returns the candidate with the fewest engines. A hash of engine and candidate breaks ties, so
/// that equal candidates spread over the engines.
fn least_assigned<'candidates>(
    candidates: &'candidates BTreeSet<Candidate>,
    target: &TargetId,
    assigned: &BTreeMap<TargetId, Candidate>,
) -> Option<&'candidates Candidate> {
    candidates.iter().min_by_key(|candidate| {
        (
            engine_count(assigned, candidate),
            tie_break(target, candidate),
        )
    })
}

fn engine_count(assigned: &BTreeMap<TargetId, Candidate>, candidate: &Candidate) -> usize {
    assigned
        .values()
        .filter(|other| *other == candidate)
        .count()
}

fn tie_break(target: &TargetId, candidate: &Candidate) -> u64 {
    let mut hasher = DefaultHasher::new();
    (target, candidate).hash(&mut hasher);
    hasher.finish()
}
