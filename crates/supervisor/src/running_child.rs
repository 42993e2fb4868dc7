//! The running task of a child.

use {
    crate::{Child, ChildResult},
    std::time::Duration,
    tokio::{task::JoinError, time},
    tokio_util::{sync::CancellationToken, task::AbortOnDropHandle},
};

/// A child's task and the token that asks it to stop. Dropping it aborts the task.
pub(crate) struct RunningChild {
    token: CancellationToken,
    pub(crate) task: AbortOnDropHandle<ChildResult>,
}

impl RunningChild {
    /// Spawns the task of `child`, which starts its work after `delay`.
    pub(crate) fn start(child: &Child, delay: Duration) -> Self {
        let token = CancellationToken::new();
        let work = child.start(token.clone());
        let shutdown = token.clone();
        let task = tokio::spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => Ok(()),
                () = time::sleep(delay) => work.await,
            }
        });
        Self {
            token,
            task: AbortOnDropHandle::new(task),
        }
    }

    /// Cancels the child's token, waits for up to its shutdown timeout, then aborts it.
    pub(crate) async fn stop(mut self, child: &Child) {
        self.token.cancel();
        match time::timeout(child.shutdown_timeout, &mut self.task).await {
            Ok(result) => match failure_reason(result) {
                None => log::debug!("child {:?} stopped", child.name),
                Some(reason) => log::warn!("child {:?} failed on shutdown: {reason}", child.name),
            },
            Err(_) => log::warn!(
                "child {:?} did not stop within {} ms and was aborted",
                child.name,
                child.shutdown_timeout.as_millis()
            ),
        }
    }
}

/// Describes why a task failed; `None` if it succeeded.
pub(crate) fn failure_reason(result: Result<ChildResult, JoinError>) -> Option<String> {
    match result {
        Ok(Ok(())) => None,
        Ok(Err(error)) => Some(error.to_string()),
        Err(error) => Some(error.to_string()),
    }
}
