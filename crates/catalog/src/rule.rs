//! Placement rules.

use {
    crate::{Labels, PlacementRuleId, Selector},
    serde::{Deserialize, Serialize},
};

/// What a rule weighs when it compares targets. Costs add up; lower is better.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Objective {
    /// Cost of one second of time to first token.
    pub first_token_cost_per_s: f64,
    /// Cost of recomputing one thousand prompt tokens that were computed before.
    pub recompute_cost_per_kilotoken: f64,
    /// Cost of moving one mebibyte over a link.
    pub link_cost_per_mebibyte: f64,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            first_token_cost_per_s: 1.0,
            recompute_cost_per_kilotoken: 0.0,
            link_cost_per_mebibyte: 0.0,
        }
    }
}

/// Which targets serve which client accounts and model versions, and by what objective.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlacementRule {
    /// Name, unique among placement rules.
    pub name: PlacementRuleId,
    /// Labels of the rule itself.
    #[serde(default)]
    pub labels: Labels,
    /// The matching rule with the highest precedence decides; ties go to the lower name.
    #[serde(default)]
    pub precedence: i32,
    /// Client accounts the rule is for.
    #[serde(default)]
    pub client_accounts: Selector,
    /// Model versions the rule is for.
    #[serde(default)]
    pub model_versions: Selector,
    /// Engines (or plain services) that may be chosen.
    #[serde(default)]
    pub targets: Selector,
    /// Store instances that may keep exported blocks.
    #[serde(default)]
    pub stores: Selector,
    /// Priority handed to the engine; higher runs sooner.
    #[serde(default)]
    pub priority: u8,
    /// What is weighed.
    #[serde(default)]
    pub objective: Objective,
}
