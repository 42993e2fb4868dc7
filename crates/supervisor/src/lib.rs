//! Supervision trees: named tasks with restart limits and ordered shutdown.
//!
//! A [`Supervisor`] starts its [`Child`] tasks in order and restarts those that fail. Once its
//! [`RestartLimit`] is exceeded it fails itself, so that its parent handles the failure. Shutdown
//! runs in reverse start order: the supervisor cancels a child's token and waits until the child
//! ends or its shutdown timeout expires, then continues with the child started before it.
//!
//! Child futures must be `Send`. They run on the tokio runtime that polls the supervisor, so the
//! same tree works on a multi-thread runtime and, through [`run_on_thread`], on a dedicated thread.
//!
//! ```
//! use {
//!     std::time::Duration,
//!     supervisor::{Child, RestartLimit, Supervisor},
//!     tokio_util::sync::CancellationToken,
//! };
//!
//! # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
//! let shutdown = CancellationToken::new();
//! let tree = Supervisor::new("control")
//!     .restart_limit(RestartLimit { restart_count: 3, window: Duration::from_secs(10) })
//!     .child(Child::new("watch", |shutdown| async move {
//!         shutdown.cancelled().await;
//!         Ok(())
//!     }));
//! shutdown.cancel();
//! assert!(tree.run(shutdown).await.is_ok());
//! # });
//! ```

mod child;
mod error;
mod restart_limit;
mod running_child;
mod supervisor;
mod thread;

pub use {
    child::{Child, ChildError, ChildResult, Restart},
    error::SupervisorError,
    restart_limit::{RestartLimit, RestartWindow},
    supervisor::Supervisor,
    thread::run_on_thread,
};
