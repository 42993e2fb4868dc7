//! Signals and exit codes, shared by the ways to run `rattand`.

use {
    std::{io, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
    tokio_util::sync::CancellationToken,
};

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

/// Returns a token that is cancelled once the process gets SIGTERM or SIGINT.
///
/// # Errors
/// Error of the operating system if a signal handler can't be installed.
pub fn stop_token() -> io::Result<CancellationToken> {
    let stop = CancellationToken::new();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signal = signal(kind)?;
        let stop = stop.clone();
        tokio::spawn(async move {
            while signal.recv().await.is_some() {
                if stop.is_cancelled() {
                    log::info!(
                        "asked to stop again; the time to stop counts from the first request"
                    );
                }
                stop.cancel();
            }
        });
    }
    Ok(stop)
}

/// Prints that `program` got invalid settings, and returns the exit code for that.
#[must_use]
pub fn usage_error(program: &str, message: &str) -> ExitCode {
    eprintln!("{program}: {message}");
    ExitCode::from(EXIT_USAGE)
}

/// Prints why `program` failed, and returns the exit code for that.
#[must_use]
pub fn failure(program: &str, message: &str) -> ExitCode {
    eprintln!("{program}: {message}");
    ExitCode::FAILURE
}
