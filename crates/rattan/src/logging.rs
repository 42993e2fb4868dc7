//! The log: text or JSON lines on standard error.

use {
    crate::settings::LogFormat,
    eventlog::log_dispatch,
    log::{LevelFilter, SetLoggerError},
    serde_json::json,
    std::{io, time::SystemTime},
};

/// Installs the logger of this process.
///
/// # Errors
/// Fails if a logger is already installed.
pub fn start(format: LogFormat, level: LevelFilter) -> Result<(), SetLoggerError> {
    log_dispatch(level)
        .format(move |out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            match format {
                LogFormat::Text => out.finish(format_args!(
                    "{time} {:5} {} {message}",
                    record.level(),
                    record.target()
                )),
                LogFormat::Json => out.finish(format_args!(
                    "{}",
                    json!({
                        "time": time.to_string(),
                        "level": record.level().as_str(),
                        "target": record.target(),
                        "message": message.to_string(),
                    })
                )),
            }
        })
        .chain(io::stderr())
        .apply()
}
