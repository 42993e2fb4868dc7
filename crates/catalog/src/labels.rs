//! Labels and the selectors that match them.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Labels of one object: key to value.
pub type Labels = BTreeMap<String, String>;

/// Matches objects whose labels hold every required pair; an empty selector matches all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Selector {
    /// Pairs that must all be present.
    pub required: Labels,
}

impl Selector {
    /// Whether `labels` hold every required pair.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.required
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value))
    }
}
