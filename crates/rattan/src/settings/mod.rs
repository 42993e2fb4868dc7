//! Settings of the daemon, from flags and environment variables.

mod checked;
mod error;
mod flags;
mod parse;

pub use {
    checked::{LogFormat, Settings},
    error::SettingError,
    flags::Flags,
};
