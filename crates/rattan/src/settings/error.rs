//! Errors of settings.

use snafu::Snafu;

/// Why the settings cannot be used. The message is one line that names the setting and the remedy.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingError {
    /// The setting has no default and is not set.
    #[snafu(display("--{flag} is missing; set it or the environment variable {variable}"))]
    Missing {
        /// Name of the flag.
        flag: String,
        /// Name of the environment variable.
        variable: String,
    },
    /// The value cannot be parsed or is out of range.
    #[snafu(display("--{flag} ({variable}): {value:?} is not {expected}; correct it"))]
    Invalid {
        /// Name of the flag.
        flag: String,
        /// Name of the environment variable.
        variable: String,
        /// The value; empty for secrets, so that they don't appear in messages.
        value: String,
        /// Description of valid values.
        expected: String,
    },
    /// The command line cannot be parsed.
    #[snafu(display("{reason}; run with --help for all settings"))]
    CommandLine {
        /// Error of the parser.
        reason: String,
    },
    /// An environment variable with the prefix of settings names none of them.
    #[snafu(display("{variable} is not a setting; unset it or correct its name"))]
    UnknownVariable {
        /// Name of the environment variable.
        variable: String,
    },
}
