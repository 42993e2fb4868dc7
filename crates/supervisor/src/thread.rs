//! Running a supervisor on a dedicated thread.

use {
    crate::{
        Supervisor, SupervisorError,
        error::{ThreadPanickedSnafu, ThreadSnafu},
    },
    snafu::{OptionExt, ResultExt},
    std::thread,
    tokio::{runtime, sync::oneshot},
    tokio_util::sync::CancellationToken,
};

/// Runs a supervisor on a new thread with its own current-thread runtime and waits for its result.
///
/// Use it as a [`Child`](crate::Child) to keep state on one thread while its siblings run on the
/// threads of the caller's runtime. Dropping the future cancels the tree on that thread, which then
/// shuts down in order without being awaited.
///
/// # Errors
/// [`SupervisorError::Thread`] if the thread or its runtime can't be created,
/// [`SupervisorError::ThreadPanicked`] if the thread panics, or the error of the tree.
pub async fn run_on_thread(
    tree: Supervisor,
    token: CancellationToken,
) -> Result<(), SupervisorError> {
    let name = tree.name().to_owned();
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu { name: name.clone() })?;
    let token = token.child_token();
    let _cancel_on_drop = token.clone().drop_guard();
    let (result_sender, result_receiver) = oneshot::channel();
    thread::Builder::new()
        .name(name.clone())
        .spawn(move || {
            // Sending fails only if the caller has dropped the future and needs no result.
            let _ = result_sender.send(runtime.block_on(tree.run(token)));
        })
        .context(ThreadSnafu { name: name.clone() })?;
    result_receiver
        .await
        .ok()
        .context(ThreadPanickedSnafu { name })?
}
