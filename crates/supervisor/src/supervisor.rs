//! Starts, restarts and stops children.

use {
    crate::{
        Child, Restart, RestartLimit, RestartWindow, SupervisorError,
        running_child::{RunningChild, failure_reason},
    },
    futures::future,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// Delay before the first restart in a window; it doubles with each further restart.
const FIRST_RESTART_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of doublings. 10 ms doubled 7 times exceeds [`MAX_RESTART_DELAY`], so more would
/// not lengthen the delay.
const MAX_DOUBLING_COUNT: usize = 7;

/// Position of a child in start order.
type ChildIndex = usize;

/// Starts, restarts and stops a list of children.
pub struct Supervisor {
    name: String,
    restart_limit: RestartLimit,
    children: Vec<Child>,
}

impl Supervisor {
    /// Creates a supervisor without children.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            restart_limit: RestartLimit::default(),
            children: Vec::new(),
        }
    }

    /// Sets how often children may be restarted before this supervisor fails.
    #[must_use]
    pub fn restart_limit(mut self, restart_limit: RestartLimit) -> Self {
        self.restart_limit = restart_limit;
        self
    }

    /// Adds a child. It starts after the children added earlier and stops before them.
    #[must_use]
    pub fn child(mut self, child: Child) -> Self {
        self.children.push(child);
        self
    }

    /// Name used in logs and errors.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Maximum duration of an ordered shutdown: the sum of the children's shutdown timeouts.
    #[must_use]
    pub fn shutdown_timeout(&self) -> Duration {
        self.children
            .iter()
            .map(|child| child.shutdown_timeout)
            .sum()
    }

    /// Runs the children until `token` is cancelled, all children have completed, or the restart
    /// limit is exceeded. In each case the remaining children are stopped in reverse start order
    /// before this returns. Dropping the future aborts the children immediately.
    ///
    /// # Errors
    /// [`SupervisorError::RestartLimitReached`] if a child ended more often than the limit allows.
    pub async fn run(self, token: CancellationToken) -> Result<(), SupervisorError> {
        let mut running = self.start_all();
        let result = self.supervise(&mut running, &token).await;
        self.stop_all(running).await;
        result
    }

    fn start_all(&self) -> BTreeMap<ChildIndex, RunningChild> {
        self.children
            .iter()
            .map(|child| RunningChild::start(child, Duration::ZERO))
            .enumerate()
            .collect()
    }

    /// Waits for children to end and handles each end, until one of the conditions of [`Self::run`].
    async fn supervise(
        &self,
        running: &mut BTreeMap<ChildIndex, RunningChild>,
        token: &CancellationToken,
    ) -> Result<(), SupervisorError> {
        let mut window = RestartWindow::new(self.restart_limit);
        while !running.is_empty() {
            let (index, failure) = tokio::select! {
                biased;
                () = token.cancelled() => return Ok(()),
                child_exit = next_child_exit(running) => child_exit,
            };
            running.remove(&index);
            self.handle_child_exit(index, failure, &mut window, running)?;
        }
        Ok(())
    }

    /// Restarts the child if its [`Restart`] policy asks for it and the restart limit allows it.
    fn handle_child_exit(
        &self,
        index: ChildIndex,
        failure: Option<String>,
        window: &mut RestartWindow,
        running: &mut BTreeMap<ChildIndex, RunningChild>,
    ) -> Result<(), SupervisorError> {
        let child = &self.children[index];
        if failure.is_none() && child.restart == Restart::OnFailure {
            log::debug!("{}: child {:?} completed", self.name, child.name);
            return Ok(());
        }
        let reason = failure.unwrap_or_else(|| "ended before shutdown".to_owned());
        if !window.try_record(Instant::now()) {
            return Err(SupervisorError::RestartLimitReached {
                supervisor: self.name.clone(),
                child: child.name.clone(),
                reason,
                limit: self.restart_limit,
            });
        }
        let delay = restart_delay(window.restart_count());
        log::warn!(
            "{}: child {:?} failed: {reason}; starting it again in {} ms",
            self.name,
            child.name,
            delay.as_millis()
        );
        running.insert(index, RunningChild::start(child, delay));
        Ok(())
    }

    async fn stop_all(&self, mut running: BTreeMap<ChildIndex, RunningChild>) {
        while let Some((index, child)) = running.pop_last() {
            child.stop(&self.children[index]).await;
        }
    }
}

/// Waits for any child to end. Returns its index and why it failed, or `None` if it succeeded.
async fn next_child_exit(
    running: &mut BTreeMap<ChildIndex, RunningChild>,
) -> (ChildIndex, Option<String>) {
    let indexes: Vec<ChildIndex> = running.keys().copied().collect();
    let tasks = running.values_mut().map(|child| &mut child.task);
    let (result, position, _) = future::select_all(tasks).await;
    (indexes[position], failure_reason(result))
}

/// Returns the exponential backoff before the latest of `restart_count` restarts in the window.
fn restart_delay(restart_count: usize) -> Duration {
    let doubling_count = restart_count.saturating_sub(1).min(MAX_DOUBLING_COUNT);
    (FIRST_RESTART_DELAY * (1 << doubling_count)).min(MAX_RESTART_DELAY)
}
