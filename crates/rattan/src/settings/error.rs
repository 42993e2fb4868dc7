//! A setting that cannot be used.

use snafu::Snafu;

/// A setting that cannot be used. The message is one line that names the setting and the remedy.
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
    /// The value cannot be read.
    #[snafu(display("--{flag} ({variable}): {value:?} is not {expected}; correct it"))]
    Invalid {
        /// Name of the flag.
        flag: String,
        /// Name of the environment variable.
        variable: String,
        /// The value; empty for secrets.
        value: String,
        /// What is expected.
        expected: String,
    },
    /// The command line cannot be read.
    #[snafu(display("{reason}; run with --help for all settings"))]
    CommandLine {
        /// What is wrong.
        reason: String,
    },
    /// An environment variable with the prefix is not a setting.
    #[snafu(display("{variable} is not a setting; unset it or correct its name"))]
    UnknownVariable {
        /// Name of the environment variable.
        variable: String,
    },
}
