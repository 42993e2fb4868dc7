//! The supervisor itself.

use {
    crate::{
        Child, Restart, RestartLimit, RestartWindow, SupervisorError,
        running::{Running, describe},
    },
    futures::future,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// Wait before the first restart in a window; doubles with every further one.
const FIRST_RESTART_DELAY: Duration = Duration::from_millis(10);
/// Longest wait before a restart.
const MAX_RESTART_DELAY: Duration = Duration::from_secs(1);
/// Doublings after which the delay no longer grows.
const MAX_DOUBLING_COUNT: usize = 7;

/// Position of a child in start order.
type ChildIndex = usize;

/// Starts, restarts and stops a list of children.
pub struct Supervisor {
    name: String,
    limit: RestartLimit,
    children: Vec<Child>,
}

impl Supervisor {
    /// A supervisor without children.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self {
            name: name.into(),
            limit: RestartLimit::default(),
            children: Vec::new(),
        }
    }

    /// Sets how often children may be started again before this supervisor fails.
    #[must_use]
    pub fn limit(mut self, limit: RestartLimit) -> Self {
        self.limit = limit;
        self
    }

    /// Adds a child, which starts after and stops before the ones added earlier.
    #[must_use]
    pub fn child(mut self, child: Child) -> Self {
        self.children.push(child);
        self
    }

    /// Name in logs and errors.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Longest time that an ordered shutdown takes: the sum of the children's bounds.
    #[must_use]
    pub fn shutdown_timeout(&self) -> Duration {
        self.children
            .iter()
            .map(|child| child.shutdown_timeout)
            .sum()
    }

    /// Runs the children until `token` is cancelled, every child has finished, or the restart
    /// limit is exceeded. In each case the remaining children are stopped in reverse start order
    /// before this returns. Dropping the future aborts the children at once.
    ///
    /// # Errors
    /// [`SupervisorError::RestartLimitReached`] if a child failed once too often.
    pub async fn run(self, token: CancellationToken) -> Result<(), SupervisorError> {
        let mut running = self.start_all();
        let result = self.watch(&mut running, &token).await;
        self.stop_all(running).await;
        result
    }

    fn start_all(&self) -> BTreeMap<ChildIndex, Running> {
        self.children
            .iter()
            .map(|child| Running::start(child, Duration::ZERO))
            .enumerate()
            .collect()
    }

    async fn watch(
        &self,
        running: &mut BTreeMap<ChildIndex, Running>,
        token: &CancellationToken,
    ) -> Result<(), SupervisorError> {
        let mut window = RestartWindow::new(self.limit);
        while !running.is_empty() {
            let (index, failure) = tokio::select! {
                biased;
                () = token.cancelled() => return Ok(()),
                ended = next_ended(running) => ended,
            };
            running.remove(&index);
            self.handle_end(index, failure, &mut window, running)?;
        }
        Ok(())
    }

    /// Starts the child again if its [`Restart`] says so and the limit allows it.
    fn handle_end(
        &self,
        index: ChildIndex,
        failure: Option<String>,
        window: &mut RestartWindow,
        running: &mut BTreeMap<ChildIndex, Running>,
    ) -> Result<(), SupervisorError> {
        let child = &self.children[index];
        if failure.is_none() && child.restart == Restart::OnFailure {
            log::debug!("{}: child {:?} finished", self.name, child.name);
            return Ok(());
        }
        let reason = failure.unwrap_or_else(|| "ended before shutdown".to_owned());
        if !window.allow(Instant::now()) {
            return Err(SupervisorError::RestartLimitReached {
                supervisor: self.name.clone(),
                child: child.name.clone(),
                reason,
                limit: self.limit,
            });
        }
        let delay = restart_delay(window.restart_count());
        log::warn!(
            "{}: child {:?} failed: {reason}; starting it again in {} ms",
            self.name,
            child.name,
            delay.as_millis()
        );
        running.insert(index, Running::start(child, delay));
        Ok(())
    }

    async fn stop_all(&self, mut running: BTreeMap<ChildIndex, Running>) {
        while let Some((index, child)) = running.pop_last() {
            child.stop(&self.children[index]).await;
        }
    }
}

/// Waits for any child to end; gives its index and failure.
async fn next_ended(running: &mut BTreeMap<ChildIndex, Running>) -> (ChildIndex, Option<String>) {
    let indexes: Vec<ChildIndex> = running.keys().copied().collect();
    let tasks = running.values_mut().map(|child| &mut child.task);
    let (ended, position, _) = future::select_all(tasks).await;
    (indexes[position], describe(ended))
}

fn restart_delay(restart_count: usize) -> Duration {
    let doublings = restart_count.saturating_sub(1).min(MAX_DOUBLING_COUNT);
    (FIRST_RESTART_DELAY * (1 << doublings)).min(MAX_RESTART_DELAY)
}
