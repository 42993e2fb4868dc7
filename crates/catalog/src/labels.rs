//! Labels and the selectors that match them.

use {
    crate::{InvalidField, check},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, str::FromStr},
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

/// Reads `key=value,key=value`; an empty text is the empty selector.
impl FromStr for Selector {
    type Err = InvalidField;

    fn from_str(text: &str) -> Result<Self, InvalidField> {
        let mut required = Labels::new();
        for pair in text.split(',').filter(|pair| !pair.is_empty()) {
            let Some((key, value)) = pair.split_once('=') else {
                return Err(InvalidField::new(
                    "selector",
                    format!("{pair:?} has no '='"),
                    "write key=value,key=value",
                ));
            };
            required.insert(key.to_owned(), value.to_owned());
        }
        check::labels("selector", &required)?;
        Ok(Self { required })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pairs: Vec<String> = self
            .required
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        formatter.write_str(&pairs.join(","))
    }
}
