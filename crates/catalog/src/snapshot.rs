//! One consistent state of the configuration.

use {
    crate::{
        ClientAccount, ClientAccountId, ModelVersion, ModelVersionId, PlacementRule,
        PlacementRuleId, Revision, Target, TargetId,
    },
    std::collections::BTreeMap,
};

/// Everything the operators have configured, as of one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Revision of the key-value service this state holds at.
    pub revision: Revision,
    /// Client accounts by name.
    pub client_accounts: BTreeMap<ClientAccountId, ClientAccount>,
    /// Model versions by name.
    pub model_versions: BTreeMap<ModelVersionId, ModelVersion>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Placement rules by name.
    pub placement_rules: BTreeMap<PlacementRuleId, PlacementRule>,
}

impl Catalog {
    /// The active version of the model that callers name, if there is one.
    #[must_use]
    pub fn active_version(&self, model: &str) -> Option<&ModelVersion> {
        self.model_versions
            .values()
            .find(|version| version.active && version.model == model)
    }

    /// The rule that decides for a client account and a model version, if one matches.
    #[must_use]
    pub fn rule_for(
        &self,
        account: &ClientAccount,
        version: &ModelVersion,
    ) -> Option<&PlacementRule> {
        self.placement_rules
            .values()
            .filter(|rule| {
                rule.client_accounts.matches(&account.labels)
                    && rule.model_versions.matches(&version.labels)
            })
            .max_by(|left, right| {
                left.precedence
                    .cmp(&right.precedence)
                    .then_with(|| right.name.cmp(&left.name))
            })
    }
}
