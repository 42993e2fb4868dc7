//! A placement rule and its raw JSON form.

use {
    crate::{InvalidField, Labels, ObjectKind, PlacementRuleId, Selector, check},
    serde::{Deserialize, Serialize},
};

/// Weights of the cost function that compares targets. The weighted costs are summed; the lowest
/// sum wins.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
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

/// Selects the targets for matching client accounts and model versions, and how they are compared.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "RawPlacementRule")]
pub struct PlacementRule {
    /// Name, unique among placement rules.
    pub name: PlacementRuleId,
    /// Labels of the rule itself.
    pub labels: Labels,
    /// The matching rule with the highest precedence applies; a tie goes to the lower name.
    pub precedence: i32,
    /// Client accounts the rule applies to.
    pub client_accounts: Selector,
    /// Model versions the rule applies to.
    pub model_versions: Selector,
    /// Engines (or plain services) that may be chosen.
    pub targets: Selector,
    /// Store instances that exported blocks may be written to.
    pub stores: Selector,
    /// Priority passed to the engine; a higher one runs sooner.
    pub priority: u8,
    /// Cost weights that compare the targets.
    pub objective: Objective,
}

/// A placement rule as an operator wrote it, not validated yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlacementRule {
    /// `placement_rule`, or omitted.
    #[serde(default)]
    pub kind: Option<ObjectKind>,
    /// Becomes [`PlacementRule::name`].
    pub name: String,
    /// Becomes [`PlacementRule::labels`].
    #[serde(default)]
    pub labels: Labels,
    /// Becomes [`PlacementRule::precedence`]; 0 if omitted.
    #[serde(default)]
    pub precedence: i32,
    /// Becomes [`PlacementRule::client_accounts`]; matches all if omitted.
    #[serde(default)]
    pub client_accounts: Selector,
    /// Becomes [`PlacementRule::model_versions`]; matches all if omitted.
    #[serde(default)]
    pub model_versions: Selector,
    /// Becomes [`PlacementRule::targets`]; matches all if omitted.
    #[serde(default)]
    pub targets: Selector,
    /// Becomes [`PlacementRule::stores`]; matches all if omitted.
    #[serde(default)]
    pub stores: Selector,
    /// Becomes [`PlacementRule::priority`]; 0 if omitted.
    #[serde(default)]
    pub priority: u8,
    /// Becomes [`PlacementRule::objective`]; [`Objective::default`] if omitted.
    #[serde(default)]
    pub objective: Objective,
}

impl TryFrom<RawPlacementRule> for PlacementRule {
    type Error = InvalidField;

    fn try_from(raw: RawPlacementRule) -> Result<Self, InvalidField> {
        check::kind(raw.kind, ObjectKind::PlacementRule)?;
        check::name("name", &raw.name)?;
        check::labels("labels", &raw.labels)?;
        check::labels("client_accounts", &raw.client_accounts.required)?;
        check::labels("model_versions", &raw.model_versions.required)?;
        check::labels("targets", &raw.targets.required)?;
        check::labels("stores", &raw.stores.required)?;
        check_objective(&raw.objective)?;
        Ok(Self {
            name: raw.name,
            labels: raw.labels,
            precedence: raw.precedence,
            client_accounts: raw.client_accounts,
            model_versions: raw.model_versions,
            targets: raw.targets,
            stores: raw.stores,
            priority: raw.priority,
            objective: raw.objective,
        })
    }
}

fn check_objective(objective: &Objective) -> Result<(), InvalidField> {
    check::cost(
        "objective.first_token_cost_per_s",
        objective.first_token_cost_per_s,
    )?;
    check::cost(
        "objective.recompute_cost_per_kilotoken",
        objective.recompute_cost_per_kilotoken,
    )?;
    check::cost(
        "objective.link_cost_per_mebibyte",
        objective.link_cost_per_mebibyte,
    )?;
    let total = objective.first_token_cost_per_s
        + objective.recompute_cost_per_kilotoken
        + objective.link_cost_per_mebibyte;
    if total > 0.0 {
        return Ok(());
    }
    Err(InvalidField::new(
        "objective",
        "every cost is 0, so targets cannot be compared",
        "set at least one cost above 0",
    ))
}
