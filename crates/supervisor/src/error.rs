//! Errors of a supervisor.

use {crate::RestartLimit, snafu::Snafu, std::io};

/// Why a supervisor gave up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SupervisorError {
    /// Children failed more often than the limit allows.
    #[snafu(display(
        "supervisor {supervisor:?} gave up: child {child:?} failed ({reason}) after {} restarts \
         in {} ms; mend the cause that child names, then start again",
        limit.restart_count,
        limit.window.as_millis()
    ))]
    RestartLimitReached {
        /// Supervisor.
        supervisor: String,
        /// Child whose failure exceeded the limit.
        child: String,
        /// Its last error.
        reason: String,
        /// The limit.
        limit: RestartLimit,
    },
    /// The operating system refused a thread or a runtime for one.
    #[snafu(display(
        "thread {name:?} cannot be started: {source}; raise the limit of threads or open files"
    ))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// A thread of the tree ended without a result.
    #[snafu(display("thread {name:?} panicked; its panic message is on standard error"))]
    ThreadPanicked {
        /// Name of the thread.
        name: String,
    },
}
