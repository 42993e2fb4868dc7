//! Failed children are started again until the limit is exceeded.

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

fn failing(starts: &Arc<AtomicUsize>) -> Child {
    let starts = starts.clone();
    Child::new("failing", move |_| {
        starts.fetch_add(1, Ordering::SeqCst);
        async { Err("no such file".into()) }
    })
}

#[tokio::test(start_paused = true)]
async fn fails_up_after_limit() {
    let starts = Arc::new(AtomicUsize::new(0));
    let tree = Supervisor::new("top")
        .limit(limit(3))
        .child(failing(&starts));
    let error = tree.run(CancellationToken::new()).await.unwrap_err();
    assert!(
        matches!(&error, SupervisorError::RestartLimitReached { child, .. } if child == "failing")
    );
    assert!(error.to_string().contains("no such file"));
    assert_eq!(starts.load(Ordering::SeqCst), 4);
}

#[tokio::test(start_paused = true)]
async fn panic_counts_as_failure() {
    let tree = Supervisor::new("top")
        .limit(limit(0))
        .child(Child::new("panics", |_| async { panic!("broken") }));
    assert!(tree.run(CancellationToken::new()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn nested_failure_restarts_subtree() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counted = starts.clone();
    let tree = Supervisor::new("top")
        .limit(limit(1))
        .child(Child::subtree(move || {
            Supervisor::new("inner")
                .limit(limit(1))
                .child(failing(&counted))
        }));
    let error = tree.run(CancellationToken::new()).await.unwrap_err();
    assert!(
        matches!(error, SupervisorError::RestartLimitReached { child, .. } if child == "inner")
    );
    assert_eq!(starts.load(Ordering::SeqCst), 4);
}

#[tokio::test]
async fn finished_child_stays_finished() {
    let tree = Supervisor::new("top")
        .limit(limit(0))
        .child(Child::new("once", |_| async { Ok(()) }).restart(Restart::OnFailure));
    assert!(tree.run(CancellationToken::new()).await.is_ok());
}

#[test]
fn window_forgets_old_restarts() {
    let start = Instant::now();
    let mut window = RestartWindow::new(limit(2));
    assert!(window.allow(start));
    assert!(window.allow(start));
    assert!(!window.allow(start + WINDOW / 2));
    assert!(window.allow(start + WINDOW));
}
