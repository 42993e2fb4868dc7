//! Failed children are restarted until the restart limit is exceeded.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    supervisor::{Child, Restart, RestartLimit, RestartWindow, Supervisor, SupervisorError},
    tokio_util::sync::CancellationToken,
};

const WINDOW: Duration = Duration::from_mins(1);

fn limit(restart_count: usize) -> RestartLimit {
    RestartLimit {
        restart_count,
        window: WINDOW,
    }
}

/// Child that counts its starts and fails at once.
fn failing_child(start_count: &Arc<AtomicUsize>) -> Child {
    let start_count = start_count.clone();
    Child::new("failing", move |_| {
        start_count.fetch_add(1, Ordering::SeqCst);
        async { Err("no such file".into()) }
    })
}

#[tokio::test(start_paused = true)]
async fn supervisor_fails_when_the_restart_limit_is_exceeded() {
    let start_count = Arc::new(AtomicUsize::new(0));
    let tree = Supervisor::new("top")
        .restart_limit(limit(3))
        .child(failing_child(&start_count));
    let error = tree.run(CancellationToken::new()).await.unwrap_err();
    assert!(
        matches!(&error, SupervisorError::RestartLimitReached { child, .. } if child == "failing")
    );
    assert!(error.to_string().contains("no such file"));
    assert_eq!(start_count.load(Ordering::SeqCst), 4);
}

#[tokio::test(start_paused = true)]
async fn panic_counts_as_failure() {
    let tree = Supervisor::new("top")
        .restart_limit(limit(0))
        .child(Child::new("panics", |_| async { panic!("broken") }));
    assert!(tree.run(CancellationToken::new()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn failed_inner_supervisor_is_restarted_by_its_parent() {
    let start_count = Arc::new(AtomicUsize::new(0));
    let inner_start_count = start_count.clone();
    let tree = Supervisor::new("top")
        .restart_limit(limit(1))
        .child(Child::subtree(move || {
            Supervisor::new("inner")
                .restart_limit(limit(1))
                .child(failing_child(&inner_start_count))
        }));
    let error = tree.run(CancellationToken::new()).await.unwrap_err();
    assert!(
        matches!(error, SupervisorError::RestartLimitReached { child, .. } if child == "inner")
    );
    assert_eq!(start_count.load(Ordering::SeqCst), 4);
}

#[tokio::test]
async fn completed_child_is_not_restarted() {
    let tree = Supervisor::new("top")
        .restart_limit(limit(0))
        .child(Child::new("once", |_| async { Ok(()) }).restart(Restart::OnFailure));
    assert!(tree.run(CancellationToken::new()).await.is_ok());
}

#[test]
fn restarts_older_than_the_window_no_longer_count() {
    let start = Instant::now();
    let mut window = RestartWindow::new(limit(2));
    assert!(window.try_record(start));
    assert!(window.try_record(start));
    assert!(!window.try_record(start + WINDOW / 2));
    assert!(window.try_record(start + WINDOW));
}
