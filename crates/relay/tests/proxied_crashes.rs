//! Which broken connections are reported as crashes where the address of a target that is gone goes on
//! accepting connections.

mod support;

use {
    futures::future::join_all,
    std::time::Duration,
    support::{
        TestRelay, caller,
        reported_crashes::{reported_calls, reported_suspects},
        scripted_target::{STARTED_UNIX_MS, ScriptedTarget, Step, Successor, answer, success},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::sleep,
    },
};

const PATH: &str = "/once/1";
const LABEL: &str = "POST /once/1";
/// Time from a crash until the target is back.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Pause between the calls that another target answers meanwhile.
const CALLS_GAP: Duration = Duration::from_millis(200);
/// Number of these calls; they last for longer than a check.
const CALLS_COUNT: usize = 15;

fn restarted() -> Successor {
    Successor::Target("one".to_owned(), Some(STARTED_UNIX_MS + 1))
}

fn same() -> Successor {
    Successor::Target("one".to_owned(), Some(STARTED_UNIX_MS))
}

/// A target `one` that breaks off its first call, whose address then goes on accepting.
async fn passed_target(successor: Successor) -> ScriptedTarget {
    let step = Step::RespondThenPass(String::new(), successor);
    ScriptedTarget::start("one", vec![step]).await
}

/// Calls `target` through a relay, which then knows `targets`.
async fn broken_call(target: &ScriptedTarget, targets: &[&ScriptedTarget]) -> TestRelay {
    let relay = TestRelay::start(&[target]).await;
    let response = caller::call(relay.address, PATH, "").await;
    assert_eq!(response.status, 502, "{response:?}");
    relay.view.store(support::view(targets).into());
    relay
}

/// What is reported once a target is back as `successor`, for each proxy that stood for it meanwhile.
async fn reported_after_each_return(successor: &Successor) -> Vec<(Successor, Vec<String>)> {
    let proxies = [Successor::Proxy, Successor::SilentProxy];
    let reported = proxies.map(async |proxy| {
        let target = passed_target(proxy.clone()).await;
        let relay = broken_call(&target, &[&target]).await;
        sleep(RESTART_DELAY).await;
        target.pass_to(successor.clone());
        (proxy, reported_calls(&relay).await)
    });
    join_all(reported).await
}

/// Has the targets in the relay's view answer calls for a while.
async fn send_other_calls(relay: &TestRelay) {
    for number in 0..CALLS_COUNT {
        sleep(CALLS_GAP).await;
        caller::call(relay.address, &format!("/idempotent/{number}"), "").await;
    }
}

#[tokio::test]
async fn target_whose_place_another_process_has_taken_has_crashed() {
    let successors = [
        restarted(),
        Successor::Target("other".to_owned(), Some(STARTED_UNIX_MS)),
        Successor::Target("other".to_owned(), None),
        Successor::NamelessTarget,
    ];
    for successor in successors {
        let target = passed_target(successor.clone()).await;
        let relay = broken_call(&target, &[&target]).await;
        assert_eq!(reported_calls(&relay).await, [LABEL], "{successor:?}");
    }
}

#[tokio::test]
async fn target_that_is_back_later_as_another_process_has_crashed() {
    let by_proxy = reported_after_each_return(&restarted()).await;
    for (proxy, reported) in by_proxy {
        assert_eq!(reported, [LABEL], "{proxy:?}");
    }
}

#[tokio::test]
async fn target_that_is_not_back_while_another_one_answers_has_crashed() {
    let gone = passed_target(Successor::Proxy).await;
    let sound = ScriptedTarget::start("two", vec![]).await;
    let relay = broken_call(&gone, &[&sound]).await;
    let (reported, ()) = tokio::join!(reported_calls(&relay), send_other_calls(&relay));
    assert_eq!(reported, [LABEL]);
}

#[tokio::test]
async fn target_whose_path_was_cut_for_a_moment_has_not_crashed() {
    let by_proxy = reported_after_each_return(&same()).await;
    for (proxy, reported) in by_proxy {
        assert!(reported.is_empty(), "{proxy:?}: {reported:?}");
    }
}

#[tokio::test]
async fn targets_whose_paths_are_all_cut_have_not_crashed() {
    let [one, two] = [
        passed_target(Successor::Proxy).await,
        passed_target(Successor::Proxy).await,
    ];
    let relay = broken_call(&one, &[&one, &two]).await;
    let (reported, ()) = tokio::join!(reported_suspects(&relay), send_other_calls(&relay));
    assert!(reported.is_empty(), "{reported:?}");
}

#[tokio::test]
async fn target_that_says_nothing_has_not_crashed() {
    let silent = passed_target(Successor::SilentProxy).await;
    let sound = ScriptedTarget::start("two", vec![]).await;
    let relay = broken_call(&silent, &[&sound]).await;
    let (reported, ()) = tokio::join!(reported_suspects(&relay), send_other_calls(&relay));
    assert!(reported.is_empty(), "{reported:?}");
}

/// A target that resets connections beyond those it has, as one that is full.
#[tokio::test]
async fn target_that_answers_on_an_earlier_connection_has_not_crashed() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let full = ScriptedTarget::at("one", listener.local_addr().unwrap());
    let sound = ScriptedTarget::start("two", vec![]).await;
    tokio::spawn(async move {
        let (mut kept, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            let _ = kept.read(&mut [0; 4_096]).await;
            sleep(RESTART_DELAY).await;
            let late = success("ok").replace("{id}", "c1");
            let _ = kept.write_all(late.as_bytes()).await;
            let _ = kept.read(&mut [0; 4_096]).await;
        });
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
        }
    });
    let relay = TestRelay::start(&[&full]).await;
    let earlier = caller::send(relay.address, "/once/0", "").await;
    sleep(CALLS_GAP).await;
    let response = caller::call(relay.address, PATH, "").await;
    assert_eq!(response.status, 502, "{response:?}");
    relay.add_target(&sound);
    let answered = caller::read_response(earlier);
    let (reported, answered, ()) = tokio::join!(
        reported_suspects(&relay),
        answered,
        send_other_calls(&relay)
    );
    assert_eq!(answered.status, 200, "{answered:?}");
    let calls = reported.iter().filter(|it| it.label == LABEL);
    assert_eq!(calls.count(), 0, "{reported:?}");
}

#[tokio::test]
async fn target_that_lives_is_asked_once_for_each_broken_call_and_has_not_crashed() {
    let sound = ScriptedTarget::start("one", vec![Step::RespondThenEnd(String::new())]).await;
    let full = ScriptedTarget::start("one", vec![Step::RespondThenEnd(String::new())]).await;
    let slow = ScriptedTarget::start("one", vec![Step::RespondThenEnd(String::new())]).await;
    let checked = [sound, full.full(), slow.slow(300)].map(async |target| {
        let relay = broken_call(&target, &[&target]).await;
        let reported = reported_suspects(&relay).await;
        assert!(reported.is_empty(), "{reported:?}");
        assert_eq!(target.identity_requests_count(), 1);
    });
    join_all(checked).await;
}

#[tokio::test]
async fn answer_that_names_no_process_shows_no_crash() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = ScriptedTarget::at("one", listener.local_addr().unwrap());
    let sound = ScriptedTarget::start("two", vec![]).await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        drop(stream);
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let failing = answer("503 Service Unavailable", "", "").replace("{id}", "");
            let _ = stream.write_all(failing.as_bytes()).await;
        }
    });
    let relay = broken_call(&target, &[&sound]).await;
    let (reported, ()) = tokio::join!(reported_suspects(&relay), send_other_calls(&relay));
    assert!(reported.is_empty(), "{reported:?}");
}
