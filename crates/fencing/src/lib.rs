//! Fencing tokens of orders: each holder of the order lock gets a higher one than those before.
//!
//! The key-value service keeps the highest token, in the same transaction in which the lock is acquired. It can
//! lose that, if it comes back from an older copy. So a token is never lower than the time of day, and
//! instances that have lived through the loss tell the others the highest token that they know.
//!
//! ```
//! use {fencing::next_token, keyvalue::Incarnation, std::time::Duration};
//!
//! let time_of_day = Duration::from_millis(7_000);
//! let first = next_token(0, &Incarnation::default(), time_of_day);
//! assert_eq!(first, 7_000);
//! // The clock of the next holder is behind.
//! let second = next_token(first, &Incarnation::default(), Duration::ZERO);
//! assert_eq!(second, 7_001);
//! ```

use {
    catalog::InstanceId,
    keyvalue::Incarnation,
    serde::{Deserialize, Serialize},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Number that orders carry. Targets that check it refuse one that is lower than one before.
pub type FencingToken = u64;

/// Highest token that every reader of JSON takes for the same whole number.
const MAX_TOKEN: FencingToken = (1 << 53) - 1;
/// Highest token that is believed. Leaves room above it for the holders that follow.
const MAX_BELIEVED_TOKEN: FencingToken = MAX_TOKEN - (1 << REVISION_BITS);
/// Builds that made tokens from revisions alone put the number of the incarnation above these bits.
const REVISION_BITS: u32 = 40;

/// The highest token that was given to a holder, as stored in the service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FencingRecord {
    /// The token.
    pub highest: FencingToken,
    /// Instance that it was given to; empty if that is not known.
    #[serde(default)]
    pub holder: InstanceId,
}

/// Returns the token of the next holder, which knows `highest` as the highest one before. `time_of_day` is the
/// time since the Unix epoch.
#[must_use]
pub fn next_token(
    highest: FencingToken,
    incarnation: &Incarnation,
    time_of_day: Duration,
) -> FencingToken {
    let now_ms = u64::try_from(time_of_day.as_millis()).unwrap_or(MAX_TOKEN);
    let above_known = highest.saturating_add(1);
    let above_revisions = above_revisions(incarnation.highest_number);
    let above_all = above_known.max(now_ms).max(above_revisions);
    above_all.min(MAX_TOKEN)
}

/// Returns a token above all that builds before have made from revisions in the incarnation of this number; 0 if
/// there is none, or none that leaves room for the tokens that follow.
fn above_revisions(number: u64) -> FencingToken {
    let above = number.saturating_add(1).saturating_mul(1 << REVISION_BITS);
    if number > 0 && is_valid(above) {
        above
    } else {
        0
    }
}

/// Whether a token that another instance, the service or a target names can have been given to a holder.
#[must_use]
pub fn is_valid(token: FencingToken) -> bool {
    token <= MAX_BELIEVED_TOKEN
}

/// Time since the Unix epoch.
#[must_use]
pub fn time_of_day() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}
