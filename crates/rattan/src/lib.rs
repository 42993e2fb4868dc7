//! Library behind an entry instance of rattanpost. The daemon `rattand` and the command-line tool
//! `rattan` are thin programs on top of it.
//!
//! ```no_run
//! use {
//!     rattan::{Flags, Settings},
//!     tokio_util::sync::CancellationToken,
//! };
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let arguments: Vec<String> = std::env::args().skip(1).collect();
//! let settings = Settings::try_from(Flags::read(&arguments, std::env::vars_os())?)?;
//! rattan::run(settings, CancellationToken::new()).await?;
//! # Ok(())
//! # }
//! ```

pub mod cli;
mod control;
mod daemon;
mod gateway_backend;
mod logging;
mod metrics;
pub mod on_platform;
mod peers;
pub mod process;
mod recent_prompts;
mod settings;
mod shared_state;
mod status;

pub use {
    daemon::{DaemonError, run},
    logging::start as start_log,
    metrics::Metrics,
    settings::{Flags, LogFormat, SettingError, Settings},
};
