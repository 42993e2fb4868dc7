//! A tree of named tasks with restart limits and ordered shutdown.
//!
//! A [`Supervisor`] starts its [`Child`] tasks in order, starts a failed one again, and fails
//! itself once a [`RestartLimit`] is exceeded, so that its own parent decides. Shutdown runs in
//! reverse start order: each child's token is cancelled and the child is awaited up to its bound
//! before the one started before it is told.
//!
//! Child futures must be `Send`. They run on whichever tokio runtime polls the supervisor, so the
//! same tree works on a multi-thread runtime and, by [`run_on_thread`], on a thread of its own.
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
//!     .limit(RestartLimit { restart_count: 3, window: Duration::from_secs(10) })
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
mod limit;
mod running;
mod supervisor;
mod thread;

pub use {
    child::{Child, ChildError, ChildResult, Restart},
    error::SupervisorError,
    limit::{RestartLimit, RestartWindow},
    supervisor::Supervisor,
    thread::run_on_thread,
};
