//! A supervisor on a thread of its own.

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

/// Runs a supervisor on a new thread with its own current-thread runtime, and waits for it.
///
/// Use it as a [`Child`](crate::Child) to keep state on one thread while its siblings run on the
/// threads of the caller's runtime. Dropping the future cancels the thread's tree; it then stops
/// in order, without being awaited.
///
/// # Errors
/// [`SupervisorError::Thread`] if thread or runtime cannot be had,
/// [`SupervisorError::ThreadPanicked`], or the error of the tree.
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
    let (done, result) = oneshot::channel();
    thread::Builder::new()
        .name(name.clone())
        .spawn(move || {
            // The receiver is gone only if the caller no longer waits.
            let _ = done.send(runtime.block_on(tree.run(token)));
        })
        .context(ThreadSnafu { name: name.clone() })?;
    result.await.ok().context(ThreadPanickedSnafu { name })?
}
