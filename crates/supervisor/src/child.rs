//! A task under supervision.

use {
    crate::Supervisor,
    futures::future::BoxFuture,
    std::{error::Error, future::Future, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Shutdown timeout of a child unless [`Child::shutdown_timeout`] sets another.
const DEFAULT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a subtree may take on top of the shutdown timeouts of its own children.
const SUBTREE_SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);

/// Why a child failed.
pub type ChildError = Box<dyn Error + Send + Sync>;
/// Output of a child's future.
pub type ChildResult = Result<(), ChildError>;

type StartFn = Box<dyn Fn(CancellationToken) -> BoxFuture<'static, ChildResult> + Send + Sync>;

/// When a child that ended without being cancelled is restarted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Restart {
    /// Whenever it ends, even without an error. For tasks that run until shutdown.
    #[default]
    Always,
    /// Only after an error or a panic. For tasks that may complete on their own.
    OnFailure,
}

/// A named task and the function that starts it, once per run.
pub struct Child {
    /// Name used in logs and errors.
    pub name: String,
    /// When the task is restarted.
    pub restart: Restart,
    /// How long the task may run on after its token is cancelled before it is aborted.
    pub shutdown_timeout: Duration,
    start: StartFn,
}

impl Child {
    /// Creates a child whose future is returned by `start`. The future must end soon after its token
    /// is cancelled.
    #[must_use]
    pub fn new<Start, Task>(name: impl Into<String>, start: Start) -> Self
    where
        Start: Fn(CancellationToken) -> Task + Send + Sync + 'static,
        Task: Future<Output = ChildResult> + Send + 'static,
    {
        Self {
            name: name.into(),
            restart: Restart::default(),
            shutdown_timeout: DEFAULT_SHUTDOWN_TIMEOUT,
            start: Box::new(move |token| Box::pin(start(token))),
        }
    }

    /// Creates a child that is itself a supervisor, built by `build` again for every start.
    ///
    /// Its name and shutdown timeout come from the supervisor that `build` returns.
    #[must_use]
    pub fn subtree<Build>(build: Build) -> Self
    where
        Build: Fn() -> Supervisor + Send + Sync + 'static,
    {
        let tree = build();
        let name = tree.name().to_owned();
        let shutdown_timeout = tree.shutdown_timeout() + SUBTREE_SHUTDOWN_MARGIN;
        Self::new(name, move |token| {
            let tree = build();
            async move { tree.run(token).await.map_err(ChildError::from) }
        })
        .shutdown_timeout(shutdown_timeout)
    }

    /// Sets when the child is restarted.
    #[must_use]
    pub fn restart(mut self, restart: Restart) -> Self {
        self.restart = restart;
        self
    }

    /// Sets how long the child may run on after its token is cancelled before it is aborted.
    #[must_use]
    pub fn shutdown_timeout(mut self, shutdown_timeout: Duration) -> Self {
        self.shutdown_timeout = shutdown_timeout;
        self
    }

    pub(crate) fn start(&self, token: CancellationToken) -> BoxFuture<'static, ChildResult> {
        (self.start)(token)
    }
}
