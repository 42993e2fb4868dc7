//! Errors of a supervisor.

use {crate::RestartLimit, snafu::Snafu, std::io};

/// Why a supervisor failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SupervisorError {
    /// Children ended more often than the restart limit allows.
    #[snafu(display(
        "supervisor {supervisor:?} failed: child {child:?} failed ({reason}) after {} restarts \
         in {} ms; fix the reported cause, then restart the process",
        limit.restart_count,
        limit.window.as_millis()
    ))]
    RestartLimitReached {
        /// Name of the supervisor.
        supervisor: String,
        /// Name of the child whose restart would have exceeded the limit.
        child: String,
        /// Last error of that child.
        reason: String,
        /// Restart limit of the supervisor.
        limit: RestartLimit,
    },
    /// The operating system could not provide a thread or the resources of its runtime.
    #[snafu(display(
        "thread {name:?} cannot be started: {source}; raise the limit on threads or open files"
    ))]
    Thread {
        /// Name of the thread.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The thread that ran the tree ended without a result.
    #[snafu(display("thread {name:?} panicked; see its panic message on standard error"))]
    ThreadPanicked {
        /// Name of the thread.
        name: String,
    },
}
