//! An object of any kind, with its conversion from and to JSON.

use {
    crate::{
        ClientAccount, InvalidField, Labels, ModelVersion, PlacementRule, RawClientAccount,
        RawModelVersion, RawPlacementRule, RawTarget, Target, check,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu},
    std::{fmt, str::FromStr},
};

/// Kind of an object that operators create.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A [`ClientAccount`].
    ClientAccount,
    /// A [`ModelVersion`].
    ModelVersion,
    /// A [`Target`].
    Target,
    /// A [`PlacementRule`].
    PlacementRule,
}

impl ObjectKind {
    /// All kinds, in the order in which they are listed.
    pub const ALL: [Self; 4] = [
        Self::ClientAccount,
        Self::ModelVersion,
        Self::Target,
        Self::PlacementRule,
    ];

    /// The kind's name in JSON, paths and keys.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ClientAccount => "client_account",
            Self::ModelVersion => "model_version",
            Self::Target => "target",
            Self::PlacementRule => "placement_rule",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for ObjectKind {
    type Err = InvalidField;

    fn from_str(text: &str) -> Result<Self, InvalidField> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| {
                InvalidField::new(
                    "kind",
                    format!("{text:?} is not a kind of object"),
                    "use client_account, model_version, target or placement_rule",
                )
            })
    }
}

/// An object of any kind. In JSON it has the object's own members and a `kind` member.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// An account that may call.
    ClientAccount(ClientAccount),
    /// A version of a model that callers can use.
    ModelVersion(ModelVersion),
    /// An engine, store instance or service that does the work.
    Target(Target),
    /// A rule that selects the targets for requests.
    PlacementRule(PlacementRule),
}

/// The JSON of one object could not be parsed into a valid [`Object`].
#[derive(Debug, Snafu)]
pub enum ObjectError {
    /// The text is not valid JSON, or has missing or unknown members for its kind.
    #[snafu(display("{source}; correct the text"))]
    Syntax {
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// A member's value is not allowed.
    #[snafu(display("{source}"))]
    Value {
        /// The member, the problem and the remedy.
        source: InvalidField,
    },
}

impl Object {
    /// The kind of the object.
    #[must_use]
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::ClientAccount(_) => ObjectKind::ClientAccount,
            Self::ModelVersion(_) => ObjectKind::ModelVersion,
            Self::Target(_) => ObjectKind::Target,
            Self::PlacementRule(_) => ObjectKind::PlacementRule,
        }
    }

    /// The object's name, unique within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::ClientAccount(account) => &account.name,
            Self::ModelVersion(version) => &version.name,
            Self::Target(target) => &target.name,
            Self::PlacementRule(rule) => &rule.name,
        }
    }

    /// The object's labels.
    #[must_use]
    pub fn labels(&self) -> &Labels {
        match self {
            Self::ClientAccount(account) => &account.labels,
            Self::ModelVersion(version) => &version.labels,
            Self::Target(target) => &target.labels,
            Self::PlacementRule(rule) => &rule.labels,
        }
    }

    /// Returns the object with its labels replaced.
    ///
    /// # Errors
    ///
    /// Names the label that is not valid.
    pub fn with_labels(mut self, labels: Labels) -> Result<Self, InvalidField> {
        check::labels("labels", &labels)?;
        match &mut self {
            Self::ClientAccount(account) => account.labels = labels,
            Self::ModelVersion(version) => version.labels = labels,
            Self::Target(target) => target.labels = labels,
            Self::PlacementRule(rule) => rule.labels = labels,
        }
        Ok(self)
    }

    /// Parses an object of a known kind from JSON; the member `kind` may be omitted.
    ///
    /// # Errors
    ///
    /// Names the line or the member, the problem and the remedy.
    pub fn from_json(kind: ObjectKind, json: &[u8]) -> Result<Self, ObjectError> {
        match kind {
            ObjectKind::ClientAccount => {
                parse::<RawClientAccount, _>(json).map(Self::ClientAccount)
            }
            ObjectKind::ModelVersion => parse::<RawModelVersion, _>(json).map(Self::ModelVersion),
            ObjectKind::Target => parse::<RawTarget, _>(json).map(Self::Target),
            ObjectKind::PlacementRule => {
                parse::<RawPlacementRule, _>(json).map(Self::PlacementRule)
            }
        }
    }

    /// The JSON text that the key-value service stores for the object.
    ///
    /// # Panics
    ///
    /// Never: every member of an object can be serialized to JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("objects can be serialized to JSON")
    }
}

fn parse<Raw, Checked>(json: &[u8]) -> Result<Checked, ObjectError>
where
    Raw: DeserializeOwned,
    Checked: TryFrom<Raw, Error = InvalidField>,
{
    let raw: Raw = serde_json::from_slice(json).context(SyntaxSnafu)?;
    Checked::try_from(raw).context(ValueSnafu)
}
