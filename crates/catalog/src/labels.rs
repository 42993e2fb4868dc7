//! Labels of objects, and selectors that match them.

use {
    crate::{InvalidField, check},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt, str::FromStr},
};

/// Labels of one object, by key.
pub type Labels = BTreeMap<String, String>;

/// Matches objects that have all required labels; an empty selector matches every object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Selector {
    /// Labels that must all be present with these values.
    pub required: Labels,
}

impl Selector {
    /// Whether `labels` contain every required label.
    #[must_use]
    pub fn matches(&self, labels: &Labels) -> bool {
        self.required
            .iter()
            .all(|(key, value)| labels.get(key) == Some(value))
    }
}

/// Parses `key=value,key=value`; an empty string is the empty selector.
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
