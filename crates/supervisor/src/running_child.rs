//! A started child.

use {
    crate::{Child, ChildResult},
    std::time::Duration,
    tokio::{task::JoinError, time},
    tokio_util::{sync::CancellationToken, task::AbortOnDropHandle},
};

/// A child's task and the token that stops it. Dropping it aborts the task.
pub(crate) struct Running {
    token: CancellationToken,
    pub(crate) task: AbortOnDropHandle<ChildResult>,
}

impl Running {
    /// Starts `child` after `delay`.
    pub(crate) fn start(child: &Child, delay: Duration) -> Self {
        let token = CancellationToken::new();
        let work = child.start(token.clone());
        let stopped = token.clone();
        let task = tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => Ok(()),
                () = time::sleep(delay) => work.await,
            }
        });
        Self {
            token,
            task: AbortOnDropHandle::new(task),
        }
    }

    /// Cancels the child's token, waits up to the child's bound, then aborts it.
    pub(crate) async fn stop(mut self, child: &Child) {
        self.token.cancel();
        match time::timeout(child.shutdown_timeout, &mut self.task).await {
            Ok(ended) => match describe(ended) {
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

/// The failure of a task that ended, if it failed.
pub(crate) fn describe(ended: Result<ChildResult, JoinError>) -> Option<String> {
    match ended {
        Ok(Ok(())) => None,
        Ok(Err(error)) => Some(error.to_string()),
        Err(error) => Some(error.to_string()),
    }
}
