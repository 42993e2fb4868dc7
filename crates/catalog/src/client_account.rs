//! A client account and its raw JSON form.

use {
    crate::{ClientAccountId, InvalidField, Labels, ObjectKind, check},
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// Maximum number of bearer keys of one account.
const MAX_KEY_DIGESTS_COUNT: usize = 16;
/// Upper bound of [`ClientAccount::weight`].
const MAX_WEIGHT: u64 = 1_000_000;

/// A client account: the keys it may call with, and its limits and weight.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "RawClientAccount")]
pub struct ClientAccount {
    /// Name, unique among client accounts.
    pub name: ClientAccountId,
    /// Labels that placement rules select by.
    pub labels: Labels,
    /// BLAKE3 digests, in hex, of the account's bearer keys. Several are allowed so that keys can
    /// be rotated.
    pub key_digests: Vec<String>,
    /// Maximum number of requests that run at once.
    pub max_running_count: u32,
    /// Prompt and answer tokens admitted per second; a burst may use ten seconds' worth.
    pub tokens_per_s: u64,
    /// Share of a contended queue, store or link relative to other accounts; at least 1.
    pub weight: u32,
}

/// A client account as an operator wrote it, not validated yet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClientAccount {
    /// `client_account`, or omitted.
    #[serde(default)]
    pub kind: Option<ObjectKind>,
    /// Becomes [`ClientAccount::name`].
    pub name: String,
    /// Becomes [`ClientAccount::labels`].
    #[serde(default)]
    pub labels: Labels,
    /// Becomes [`ClientAccount::key_digests`].
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Becomes [`ClientAccount::max_running_count`].
    pub max_running_count: u32,
    /// Becomes [`ClientAccount::tokens_per_s`].
    pub tokens_per_s: u64,
    /// Becomes [`ClientAccount::weight`]; 1 if omitted.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

impl TryFrom<RawClientAccount> for ClientAccount {
    type Error = InvalidField;

    fn try_from(raw: RawClientAccount) -> Result<Self, InvalidField> {
        check::kind(raw.kind, ObjectKind::ClientAccount)?;
        check::name("name", &raw.name)?;
        check::labels("labels", &raw.labels)?;
        check_key_digests(&raw.key_digests)?;
        check::at_least_one("max_running_count", raw.max_running_count.into())?;
        check::at_least_one("tokens_per_s", raw.tokens_per_s)?;
        check::at_least_one("weight", raw.weight.into())?;
        check::at_most("weight", raw.weight.into(), MAX_WEIGHT)?;
        Ok(Self {
            name: raw.name,
            labels: raw.labels,
            key_digests: raw.key_digests,
            max_running_count: raw.max_running_count,
            tokens_per_s: raw.tokens_per_s,
            weight: raw.weight,
        })
    }
}

fn check_key_digests(digests: &[String]) -> Result<(), InvalidField> {
    if digests.len() > MAX_KEY_DIGESTS_COUNT {
        return Err(InvalidField::new(
            "key_digests",
            format!("{} digests", digests.len()),
            format!("use at most {MAX_KEY_DIGESTS_COUNT}; drop those of retired keys"),
        ));
    }
    let mut seen = BTreeSet::new();
    for (index, digest) in digests.iter().enumerate() {
        let field = format!("key_digests[{index}]");
        check::key_digest(&field, digest)?;
        if !seen.insert(digest) {
            return Err(InvalidField::new(
                &field,
                "the digest is listed twice",
                "remove one of them",
            ));
        }
    }
    Ok(())
}
