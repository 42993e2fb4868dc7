//! Any one object of the configuration.

use {
    crate::{
        ClientAccount, InvalidField, Labels, ModelVersion, PlacementRule, RawClientAccount,
        RawModelVersion, RawPlacementRule, RawTarget, Target, check,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu},
    std::{fmt, str::FromStr},
};

/// The four kinds of object that operators create.
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

/// One object of any kind. In JSON its members are the object's own, and `kind`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Object {
    /// Who may call.
    ClientAccount(ClientAccount),
    /// What can be asked for.
    ModelVersion(ModelVersion),
    /// Where work runs.
    Target(Target),
    /// What goes where.
    PlacementRule(PlacementRule),
}

/// The JSON of one object could not be turned into a checked [`Object`].
#[derive(Debug, Snafu)]
pub enum ObjectError {
    /// The text is not JSON, or its members are not those of the kind.
    #[snafu(display("{source}; correct the text"))]
    Syntax {
        /// What the parser found, with line and column.
        source: serde_json::Error,
    },
    /// A member's value is not allowed.
    #[snafu(display("{source}"))]
    Value {
        /// The member, what is wrong and what to do.
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

    /// The same object with other labels.
    ///
    /// # Errors
    ///
    /// Names the label that is not allowed.
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

    /// Reads an object of a known kind from JSON; the member `kind` may be left out.
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

    /// The JSON text in which the object is kept at the key-value service.
    ///
    /// # Panics
    ///
    /// Never: all members of a checked object have a JSON form.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("checked objects have a JSON form")
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
