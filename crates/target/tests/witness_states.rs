//! States of the connection on which a target is asked which process it is: asked late, refused, garbled, cut just
//! after an answer, ended one after another, restarted behind a proxy.

mod support;

use {
    std::{
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    support::{
        asking_caller::{KEPT_AFTER, begin, call, client, get_known, one, read, read_half},
        half_target::{Keeps, START_TIME, State, Target},
    },
    target::{Client, EndEvidence, Reply, SendError},
    tokio::{net::TcpStream, time::sleep},
};

/// Runs `test` on threads of its own; fails if it has not ended after `limit`, also if it blocks its threads.
fn run_within<Output>(
    limit: Duration,
    test: impl Future<Output = Output> + Send + 'static,
) -> Output
where
    Output: Send + 'static,
{
    let (done, is_done) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let output = runtime.block_on(test);
        let _ = done.send(output);
        runtime.shutdown_background();
    });
    is_done.recv_timeout(limit).expect("it blocks its threads")
}

/// A call that is sent beside a question which waits, so that the spare connection is asked as well.
async fn call_beside_slow_question(keeps: Keeps) -> Result<EndEvidence, SendError> {
    let state = State {
        keeps,
        question_time: Duration::from_millis(600),
        ..State::default()
    };
    let (target, client) = (Target::start_as(state).await, client());
    let reply = begin(&client, &target, one(), "/late-700").await?;
    read(reply).await
}

/// Guards against the spare connection that is asked becoming its own spare one, and then leading to itself.
#[test]
fn spare_connection_that_is_asked_does_not_take_over_from_itself() {
    run_within(Duration::from_secs(15), async {
        let _ = call_beside_slow_question(Keeps::UntilAnswered).await;
        // All tasks still run.
        sleep(Duration::from_secs(3)).await;
        tokio::spawn(async {}).await.unwrap();
    });
}

/// Guards against a sound answer counting as broken off beside it.
#[test]
fn answer_is_whole_beside_a_slow_question_on_the_spare_connection() {
    for keeps in [Keeps::Always, Keeps::UntilAnswered] {
        let answer = run_within(Duration::from_secs(15), call_beside_slow_question(keeps));
        assert!(answer.is_ok(), "{keeps:?}: {answer:?}");
    }
}

/// Guards against a question before a call whose answer is garbled costing the call the proof of its end.
#[tokio::test]
async fn answer_is_whole_though_the_question_before_it_got_bytes_that_are_no_answer() {
    let state = State {
        garbled_count: AtomicU32::new(1),
        ..State::default()
    };
    let (target, client) = (Target::start_as(state).await, client());
    let answer = call(&client, &target, "one", Duration::from_millis(20)).await;
    assert!(answer.is_ok(), "{answer:?}");
}

/// The same at a target that is known already.
#[tokio::test]
async fn answer_is_whole_though_the_question_on_an_idle_connection_got_bytes_that_are_no_answer() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    get_known(&client, &target).await;
    sleep(Duration::from_millis(600)).await;
    target.state.garbled_count.store(1, Ordering::Relaxed);
    let answer = call(&client, &target, "one", Duration::from_millis(20)).await;
    assert!(answer.is_ok(), "{answer:?}");
}

/// Guards against a question that waits for a slot before a call counting as a connection that is missing.
#[tokio::test]
async fn answer_is_whole_though_the_question_on_an_idle_connection_waits() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    get_known(&client, &target).await;
    sleep(Duration::from_millis(600)).await;
    target.state.slower_ms.store(1_000, Ordering::Relaxed);
    let answer = call(&client, &target, "one", Duration::from_millis(20)).await;
    assert!(answer.is_ok(), "{answer:?}");
}

/// The same with an answer that lasts longer than the question.
#[tokio::test]
async fn long_answer_is_whole_though_the_question_on_an_idle_connection_waits() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    get_known(&client, &target).await;
    sleep(Duration::from_millis(600)).await;
    target.state.slower_ms.store(1_000, Ordering::Relaxed);
    let answer = call(&client, &target, "one", Duration::from_millis(1_500)).await;
    assert!(answer.is_ok(), "{answer:?}");
}

/// Ends all connections just after an answer, and the answer to another call with them.
async fn cut_beside_answer(client: &Client, target: &Target) {
    get_known(client, target).await;
    let long = begin(client, target, one(), "/1000").await.unwrap();
    call(client, target, "one", Duration::ZERO).await.unwrap();
    target.restart("one").await;
    let answer = read(long).await;
    assert!(answer.is_err(), "{answer:?}");
}

/// Guards against a cut within 100 ms of an answer being taken for the habit of a target that ends connections after
/// its answers: the calls after it would have no proof.
#[tokio::test]
async fn call_after_a_cut_beside_an_answer_is_proven() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    cut_beside_answer(&client, &target).await;
    let evidence = call(&client, &target, "one", Duration::from_millis(20)).await;
    assert_eq!(evidence.unwrap(), EndEvidence::AnsweredBefore);
}

/// What follows of it: the next cut passes beside a connection that waits to be accepted.
#[tokio::test]
async fn cut_answer_is_not_whole_after_a_cut_beside_an_answer() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    cut_beside_answer(&client, &target).await;
    let mut outcomes = Vec::new();
    for _ in 0..5 {
        target.state.accept_ms.store(150, Ordering::Relaxed);
        drop(TcpStream::connect(target.address).await.unwrap());
        sleep(START_TIME).await;
        let first = begin(&client, &target, one(), "/late-150");
        let second = async {
            sleep(START_TIME).await;
            match begin(&client, &target, one(), "/cut-after-0").await {
                Ok(reply) => read(reply).await,
                Err(error) => Err(error),
            }
        };
        let (_, answer) = tokio::join!(first, second);
        target.state.accept_ms.store(0, Ordering::Relaxed);
        outcomes.push(answer);
        cut_beside_answer(&client, &target).await;
    }
    assert!(outcomes.iter().all(Result::is_err), "{outcomes:?}");
}

/// Guards against a link that ends all connections one after another, within some time more than 20 ms.
#[tokio::test]
async fn cut_answer_is_not_whole_if_the_other_connection_ends_after_the_question() {
    let (mut target, client) = (Target::start(Keeps::Always).await, client());
    target.cut_spread = Duration::from_millis(100);
    // Connections that are opened from now on outlive a cut, those of answers do not.
    target.state.staggered_ms.store(60, Ordering::Relaxed);
    get_known(&client, &target).await;
    let answer = call_cut(&client, &target).await;
    assert!(answer.is_err(), "{answer:?}");
}

async fn call_cut(client: &Client, target: &Target) -> Result<EndEvidence, SendError> {
    read(begin(client, target, one(), "/cut-after-100").await?).await
}

/// Guards against the start that was stated first counting for ever, behind a proxy that keeps connections open.
#[tokio::test]
async fn answers_after_a_restart_behind_a_proxy_that_keeps_connections_are_whole() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    *target.state.started_unix_ms.lock().unwrap() = Some(1);
    let before = one().started_unix_ms(1);
    for _ in 0..2 {
        let reply = begin(&client, &target, before.clone(), "/0").await;
        read(reply.unwrap()).await.unwrap();
        sleep(KEPT_AFTER).await;
    }
    *target.state.started_unix_ms.lock().unwrap() = Some(2);
    let after = one().started_unix_ms(2);
    let mut lost = Vec::new();
    for index in 0..5 {
        sleep(Duration::from_millis(600)).await;
        let reply = begin(&client, &target, after.clone(), "/20").await.unwrap();
        if let Err(error) = read(reply).await {
            lost.push((index, error));
        }
    }
    assert!(lost.is_empty(), "{} {lost:?}", lost.len());
}

/// Counts the answers whose end is proven at targets that end some connections after their answers.
#[tokio::test]
async fn most_answers_are_proven_at_a_target_that_ends_some_connections() {
    for keeps in [Keeps::Answers(2), Keeps::Answers(3), Keeps::Answers(10)] {
        let (target, client) = (Target::start(keeps).await, client());
        let (mut proven, mut whole) = (0, 0);
        for index in 0..60_u64 {
            let evidence = call(&client, &target, "one", Duration::from_millis(30)).await;
            whole += u32::from(evidence.is_ok());
            proven += u32::from(evidence.is_ok_and(EndEvidence::is_proof));
            sleep(Duration::from_millis(40) * u32::from(index % 3 == 0)).await;
        }
        println!("{keeps:?}: {proven} proven, {whole} whole of 60");
        assert!(
            proven >= 30,
            "{keeps:?}: {proven} proven, {whole} whole of 60"
        );
    }
}

/// Guards against a spare connection holding the only place at a target that serves one connection after another and
/// keeps them: after the first call, it is to be left alone.
#[tokio::test]
async fn target_that_serves_one_kept_connection_after_another_answers_later_calls() {
    let state = State {
        is_serial: true,
        ..State::default()
    };
    let (target, client) = (Target::start_as(state).await, client());
    let mut failed = Vec::new();
    for index in 0..4 {
        if let Err(error) = call(&client, &target, "one", Duration::ZERO).await {
            failed.push((index, error));
        }
        sleep(KEPT_AFTER).await;
    }
    let later = failed.iter().filter(|(index, _)| *index > 0).count();
    assert_eq!(later, 0, "{failed:?}");
}

/// Begins an answer of a target with start 1 while the question which process it is waits for 600 ms. Whatever
/// ends connections from then on leaves the one of the question open.
async fn begin_beside_slow_word(target: &Target, client: &Client, path: &str) -> Reply {
    *target.state.started_unix_ms.lock().unwrap() = Some(1);
    target.state.slower_ms.store(600, Ordering::Relaxed);
    target.state.staggered_ms.store(20_000, Ordering::Relaxed);
    let later = async {
        sleep(Duration::from_millis(200)).await;
        target.state.staggered_ms.store(0, Ordering::Relaxed);
    };
    let registered = one().started_unix_ms(1);
    let (reply, ()) = tokio::join!(begin(client, target, registered, path), later);
    reply.unwrap()
}

/// Guards against the first word of a later process, on a connection that the end of the one before has not met,
/// counting as that of the process which began the answer.
#[tokio::test]
async fn cut_answer_is_not_whole_because_a_later_process_speaks_on_a_connection_from_before() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    let mut reply = begin_beside_slow_word(&target, &client, "/5000").await;
    read_half(&mut reply).await;
    *target.state.started_unix_ms.lock().unwrap() = Some(2);
    target.restart("one").await;
    let answer = read(reply).await;
    assert!(answer.is_err(), "{answer:?}");
}

/// Guards against a sound answer counting as broken off because its target says late which process it is, and has
/// restarted before its registration.
#[tokio::test]
async fn answer_beside_a_late_word_of_a_target_that_has_restarted_is_whole() {
    let (target, client) = (Target::start(Keeps::Always).await, client());
    let reply = begin_beside_slow_word(&target, &client, "/1000").await;
    *target.state.started_unix_ms.lock().unwrap() = Some(2);
    let answer = read(reply).await;
    assert!(answer.is_ok(), "{answer:?}");
}
