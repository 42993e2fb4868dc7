//! What the ways to run `rattand` share: signals and exit codes.

use {
    std::{io, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
};

/// Exit code for settings that cannot be used.
const EXIT_USAGE: u8 = 2;

/// Cancelled once the process is asked to stop, by SIGTERM or SIGINT.
///
/// # Errors
/// The system's error if signals can't be waited for.
pub fn stop_token() -> io::Result<CancellationToken> {
    let stop = CancellationToken::new();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signal = signal(kind)?;
        let stop = stop.clone();
        tokio::spawn(async move {
            while signal.recv().await.is_some() {
                if stop.is_cancelled() {
                    log::info!("asked to stop again; the time to stop runs from the first time");
                }
                stop.cancel();
            }
        });
    }
    Ok(stop)
}

/// Says that `program` was given settings that it can't use.
#[must_use]
pub fn usage_error(program: &str, message: &str) -> ExitCode {
    eprintln!("{program}: {message}");
    ExitCode::from(EXIT_USAGE)
}

/// Says that `program` failed.
#[must_use]
pub fn failure(program: &str, message: &str) -> ExitCode {
    eprintln!("{program}: {message}");
    ExitCode::FAILURE
}
