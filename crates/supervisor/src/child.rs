//! One named child of a supervisor.

use {
    crate::Supervisor,
    futures::future::BoxFuture,
    std::{error::Error, future::Future, time::Duration},
    tokio_util::sync::CancellationToken,
};

/// Bound on a child's shutdown unless [`Child::shutdown_timeout`] sets another.
const DEFAULT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// Added to the bound of a subtree on top of the bounds of its own children.
const SUBTREE_MARGIN: Duration = Duration::from_secs(1);

/// Why a child failed.
pub type ChildError = Box<dyn Error + Send + Sync>;
/// What a child's future resolves to.
pub type ChildResult = Result<(), ChildError>;

type Start = Box<dyn Fn(CancellationToken) -> BoxFuture<'static, ChildResult> + Send + Sync>;

/// When a child that ended by itself is started again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Restart {
    /// After every end, also one without an error. For tasks that serve until shutdown.
    #[default]
    Always,
    /// Only after an error or a panic. For tasks that finish.
    OnFailure,
}

/// A named task with the function that starts it, as often as needed.
pub struct Child {
    /// Name in logs and errors.
    pub name: String,
    /// When it is started again.
    pub restart: Restart,
    /// How long it may take to end after its token is cancelled; then it is aborted.
    pub shutdown_timeout: Duration,
    start: Start,
}

impl Child {
    /// A child whose future `start` makes. The future ends soon after its token is cancelled.
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

    /// A child that is itself a supervisor, made anew by `make` for every start.
    ///
    /// Its name and shutdown bound come from the tree that `make` returns.
    #[must_use]
    pub fn subtree<Make>(make: Make) -> Self
    where
        Make: Fn() -> Supervisor + Send + Sync + 'static,
    {
        let tree = make();
        let name = tree.name().to_owned();
        let shutdown_timeout = tree.shutdown_timeout() + SUBTREE_MARGIN;
        Self::new(name, move |token| {
            let tree = make();
            async move { tree.run(token).await.map_err(ChildError::from) }
        })
        .shutdown_timeout(shutdown_timeout)
    }

    /// Sets when the child is started again.
    #[must_use]
    pub fn restart(mut self, restart: Restart) -> Self {
        self.restart = restart;
        self
    }

    /// Sets how long the child may take to end after its token is cancelled.
    #[must_use]
    pub fn shutdown_timeout(mut self, shutdown_timeout: Duration) -> Self {
        self.shutdown_timeout = shutdown_timeout;
        self
    }

    pub(crate) fn start(&self, token: CancellationToken) -> BoxFuture<'static, ChildResult> {
        (self.start)(token)
    }
}
