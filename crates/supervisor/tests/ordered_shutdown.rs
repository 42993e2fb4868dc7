//! Children stop in reverse start order, each within its shutdown timeout.

use {
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    supervisor::{Child, Supervisor, run_on_thread},
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

type StopOrder = Arc<Mutex<Vec<&'static str>>>;

/// Child that appends its name to `stop_order` when it stops.
fn recording_child(name: &'static str, stop_order: &StopOrder) -> Child {
    let stop_order = stop_order.clone();
    Child::new(name, move |token: CancellationToken| {
        let stop_order = stop_order.clone();
        async move {
            token.cancelled().await;
            tokio::time::sleep(Duration::from_millis(10)).await;
            stop_order.lock().unwrap().push(name);
            Ok(())
        }
    })
}

fn token_cancelled_after_20_ms() -> CancellationToken {
    let token = CancellationToken::new();
    let cancel = token.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        cancel.cancel();
    });
    token
}

#[tokio::test(start_paused = true)]
async fn children_stop_in_reverse_start_order() {
    let stop_order = StopOrder::default();
    let inner_order = stop_order.clone();
    let tree = Supervisor::new("top")
        .child(recording_child("first", &stop_order))
        .child(Child::subtree(move || {
            Supervisor::new("inner")
                .child(recording_child("second", &inner_order))
                .child(recording_child("third", &inner_order))
        }))
        .child(recording_child("fourth", &stop_order));
    tree.run(token_cancelled_after_20_ms()).await.unwrap();
    assert_eq!(
        *stop_order.lock().unwrap(),
        ["fourth", "third", "second", "first"]
    );
}

#[tokio::test(start_paused = true)]
async fn stuck_child_is_aborted_after_its_shutdown_timeout() {
    let shutdown_timeout = Duration::from_secs(2);
    let stop_order = StopOrder::default();
    let stuck = Child::new("stuck", |_| std::future::pending()).shutdown_timeout(shutdown_timeout);
    let tree = Supervisor::new("top")
        .child(recording_child("first", &stop_order))
        .child(stuck);
    let started = Instant::now();
    tree.run(token_cancelled_after_20_ms()).await.unwrap();
    assert!(started.elapsed() >= shutdown_timeout);
    assert!(started.elapsed() < shutdown_timeout * 2);
    assert_eq!(*stop_order.lock().unwrap(), ["first"]);
}

#[tokio::test]
async fn supervisor_runs_on_a_dedicated_thread() {
    let stop_order = StopOrder::default();
    let tree = Supervisor::new("control").child(recording_child("only", &stop_order));
    run_on_thread(tree, token_cancelled_after_20_ms())
        .await
        .unwrap();
    assert_eq!(*stop_order.lock().unwrap(), ["only"]);
}
