//! Which calls a draining instance serves, finishes, refuses and cuts off.

mod support;

use {
    futures::future::join_all,
    keyvalue::MemoryKv,
    std::time::{Duration, Instant},
    support::{Answer, Instance, put, target::Target, wait_until},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Number of calls after which an instance can predict the duration of a route's calls.
const ENOUGH_CALLS_COUNT: usize = 12;

async fn fleet(target: &Target) -> MemoryKv {
    let kv = MemoryKv::new();
    put(&kv, "operators/configuration", "1").await;
    put(&kv, "targets/t1", &format!("{} 1", target.address)).await;
    kv
}

/// Starts an instance and waits until it is ready.
async fn ready_instance(name: &str, kv: &MemoryKv) -> Instance {
    let instance = Instance::start(name, kv.clone());
    wait_until("ready", async || instance.is_ready().await).await;
    instance
}

/// Sends enough calls for the instance to predict their duration.
async fn learn_durations(instance: &Instance, path: &str) {
    let calls = (0..ENOUGH_CALLS_COUNT).map(|_| instance.answer(path));
    for got in join_all(calls).await {
        assert_eq!(got.map(|got| got.status), Some(200));
    }
}

fn assert_refused(got: &Answer) {
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(got.headers["connection"], "close");
    let seconds: f64 = got.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(seconds > 0.0, "{got:?}");
}

#[tokio::test]
async fn call_that_cannot_end_in_time_is_refused_before_forwarding() {
    let target = Target::start(Duration::ZERO).await;
    let one = ready_instance("one", &fleet(&target).await).await;
    learn_durations(&one, "/slow/x").await;
    let before = target.calls_count();
    one.stop.cancel();
    wait_until("draining", async || !one.is_ready().await).await;
    let got = one.answer("/slow/x").await;
    assert_refused(&got.expect("every call gets a response"));
    assert_eq!(target.calls_count(), before);
}

#[tokio::test]
async fn call_of_unknown_duration_is_refused_while_draining() {
    let target = Target::start(Duration::ZERO).await;
    let one = ready_instance("one", &fleet(&target).await).await;
    one.stop.cancel();
    wait_until("draining", async || !one.is_ready().await).await;
    assert_refused(&one.answer("/x").await.unwrap());
    assert_eq!(target.calls_count(), 0);
}

#[tokio::test]
async fn short_call_is_served_while_draining_and_its_connection_closed() {
    let target = Target::start(Duration::ZERO).await;
    let one = ready_instance("one", &fleet(&target).await).await;
    learn_durations(&one, "/x").await;
    one.stop.cancel();
    wait_until("draining", async || !one.is_ready().await).await;
    let got = one.answer("/x").await.unwrap();
    assert_eq!(got.status, 200, "{got:?}");
    assert_eq!(got.headers["connection"], "close");
}

#[tokio::test]
async fn last_instance_serves_calls_until_its_grace_period_ends() {
    let target = Target::start(Duration::ZERO).await;
    let one = ready_instance("one", &fleet(&target).await).await;
    learn_durations(&one, "/x").await;
    one.stop.cancel();
    let stopped_at = Instant::now();
    let mut last_answer = Duration::ZERO;
    while let Some(got) = one.answer("/x").await {
        assert!(matches!(got.status, 200 | 503), "{got:?}");
        last_answer = stopped_at.elapsed();
        sleep(Duration::from_millis(20)).await;
    }
    assert!(
        last_answer > one.settings.grace.mul_f64(0.6),
        "{last_answer:?}"
    );
}

#[tokio::test]
async fn call_that_does_not_end_in_time_is_answered_and_logged() {
    let target = Target::start(Duration::from_secs(30)).await;
    let one = ready_instance("one", &fleet(&target).await).await;
    let call = one.answer("/x");
    let stop = async {
        wait_until("under way", async || target.calls_count() == 1).await;
        one.stop.cancel();
    };
    let (got, ()) = tokio::join!(call, stop);
    let got = got.expect("the caller is told that the call may have run");
    assert_eq!(got.status, 502, "{got:?}");
    wait_until("stopped", async || !one.lines("\"stopped\"").is_empty()).await;
    let stopped = one.lines("\"stopped\"").concat();
    assert!(stopped.contains("\"cut_count\":1"), "{stopped}");
    assert_eq!(one.lines("\"outcome\":\"cut\"").len(), 1);
}

#[tokio::test]
async fn idle_connection_is_closed_after_callers_were_redirected() {
    let target = Target::start(Duration::ZERO).await;
    let kv = fleet(&target).await;
    let one = ready_instance("one", &kv).await;
    let _two = ready_instance("two", &kv).await;
    let mut idle = TcpStream::connect(one.settings.listen).await.unwrap();
    let call = "GET /x HTTP/1.1\r\nhost: a.example\r\nid: c1\r\n\r\n";
    idle.write_all(call.as_bytes()).await.unwrap();
    let mut answer = [0; 4_096];
    assert!(idle.read(&mut answer).await.unwrap() > 0);
    one.stop.cancel();
    let closed = timeout(Duration::from_secs(20), idle.read(&mut answer)).await;
    assert_eq!(closed.unwrap().unwrap_or(0), 0);
    wait_until("stopped", async || !one.lines("\"stopped\"").is_empty()).await;
    assert!(one.lines("\"stopped\"").concat().contains("asked to stop"));
}

#[tokio::test]
async fn instance_that_was_never_ready_stops_immediately() {
    let one = Instance::start("one", MemoryKv::new());
    one.stop.cancel();
    let stopped_at = Instant::now();
    let ended = one.ended.await.unwrap();
    assert!(ended.is_ok() && stopped_at.elapsed() < one.settings.grace / 2);
}
