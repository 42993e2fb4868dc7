//! Seeds of randomized tests: fixed ones, or those that a soak run sets.

use std::{env, ops::RangeInclusive, str::FromStr};

/// Environment variable with the first seed. `scripts/soak.sh` sets it, and so does a replay.
const SEED_VARIABLE: &str = "TEST_SEED";
/// Environment variable with the number of consecutive seeds; 1 if not set.
const RUNS_VARIABLE: &str = "TEST_RUNS";

/// Seeds from the environment, or else all of `fixed`.
pub fn seeds(fixed: RangeInclusive<u64>) -> RangeInclusive<u64> {
    let Some(first) = number::<u64>(SEED_VARIABLE) else {
        return fixed;
    };
    let runs = number(RUNS_VARIABLE).unwrap_or(1).max(1);
    first..=first + (runs - 1)
}

fn number<Number>(variable: &str) -> Option<Number>
where
    Number: FromStr,
{
    let text = env::var(variable).ok()?;
    let number = text.parse().ok();
    assert!(
        number.is_some(),
        "{variable}: {text:?} is not a whole number; correct or unset it"
    );
    number
}
