//! Children stop in reverse start order, each within its bound.

use {
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    supervisor::{Child, Supervisor, run_on_thread},
    tokio::time::Instant,
    tokio_util::sync::CancellationToken,
};

type Order = Arc<Mutex<Vec<&'static str>>>;

fn recorded(name: &'static str, order: &Order) -> Child {
    let order = order.clone();
    Child::new(name, move |token: CancellationToken| {
        let order = order.clone();
        async move {
            token.cancelled().await;
            tokio::time::sleep(Duration::from_millis(10)).await;
            order.lock().unwrap().push(name);
            Ok(())
        }
    })
}

fn cancelled_soon() -> CancellationToken {
    let token = CancellationToken::new();
    let cancel = token.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(20)).await;
        cancel.cancel();
    });
    token
}

#[tokio::test(start_paused = true)]
async fn last_started_stops_first() {
    let order = Order::default();
    let inner = order.clone();
    let tree = Supervisor::new("top")
        .child(recorded("first", &order))
        .child(Child::subtree(move || {
            Supervisor::new("inner")
                .child(recorded("second", &inner))
                .child(recorded("third", &inner))
        }))
        .child(recorded("fourth", &order));
    tree.run(cancelled_soon()).await.unwrap();
    assert_eq!(
        *order.lock().unwrap(),
        ["fourth", "third", "second", "first"]
    );
}

#[tokio::test(start_paused = true)]
async fn stuck_child_is_aborted() {
    let bound = Duration::from_secs(2);
    let order = Order::default();
    let stuck = Child::new("stuck", |_| std::future::pending()).shutdown_timeout(bound);
    let tree = Supervisor::new("top")
        .child(recorded("first", &order))
        .child(stuck);
    let start = Instant::now();
    tree.run(cancelled_soon()).await.unwrap();
    assert!(start.elapsed() >= bound);
    assert!(start.elapsed() < bound * 2);
    assert_eq!(*order.lock().unwrap(), ["first"]);
}

#[tokio::test]
async fn thread_of_its_own() {
    let order = Order::default();
    let tree = Supervisor::new("control").child(recorded("only", &order));
    run_on_thread(tree, cancelled_soon()).await.unwrap();
    assert_eq!(*order.lock().unwrap(), ["only"]);
}
