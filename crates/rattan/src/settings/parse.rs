//! Parses single values of settings.

use {
    super::{SettingError, flags::variable_name},
    std::{fmt::Display, ops::RangeInclusive, str::FromStr, time::Duration},
};

/// One setting with its unparsed value, if it is set.
pub(super) struct RawSetting<'a> {
    pub(super) flag: &'a str,
    pub(super) value: Option<&'a str>,
}

impl RawSetting<'_> {
    /// Returns the value, which must be set and not empty.
    pub(super) fn required(&self) -> Result<&str, SettingError> {
        self.value
            .filter(|value| !value.is_empty())
            .ok_or_else(|| SettingError::Missing {
                flag: self.flag.to_owned(),
                variable: variable_name(self.flag),
            })
    }

    /// Parses the value, which must be set.
    pub(super) fn parse<Value>(&self, expected: &str) -> Result<Value, SettingError>
    where
        Value: FromStr,
    {
        let text = self.required()?;
        text.parse().map_err(|_| self.invalid(text, expected))
    }

    /// Parses the value, or returns the default if it is not set.
    pub(super) fn parse_or<Value>(
        &self,
        default: Value,
        expected: &str,
    ) -> Result<Value, SettingError>
    where
        Value: FromStr,
    {
        match self.value {
            Some(_) => self.parse(expected),
            None => Ok(default),
        }
    }

    /// Parses a number within a range, or returns the default if it is not set.
    pub(super) fn number<Number>(
        &self,
        default: Number,
        range: RangeInclusive<Number>,
    ) -> Result<Number, SettingError>
    where
        Number: Display + FromStr + PartialOrd,
    {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let number = self.parse_or(default, &expected)?;
        if range.contains(&number) {
            return Ok(number);
        }
        Err(self.invalid(self.value.unwrap_or_default(), &expected))
    }

    /// Parses a time in milliseconds within a range, or returns the default if it is not set.
    pub(super) fn millis(
        &self,
        default_ms: u64,
        range_ms: RangeInclusive<u64>,
    ) -> Result<Duration, SettingError> {
        self.number(default_ms, range_ms).map(Duration::from_millis)
    }

    /// Parses a comma-separated list of at least one value.
    pub(super) fn list<Value>(&self, expected: &str) -> Result<Vec<Value>, SettingError>
    where
        Value: FromStr,
    {
        self.required()?
            .split(',')
            .map(str::trim)
            .map(|part| part.parse().map_err(|_| self.invalid(part, expected)))
            .collect()
    }

    pub(super) fn invalid(&self, value: &str, expected: &str) -> SettingError {
        SettingError::Invalid {
            flag: self.flag.to_owned(),
            variable: variable_name(self.flag),
            value: value.to_owned(),
            expected: expected.to_owned(),
        }
    }
}
