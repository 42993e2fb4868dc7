//! Measures what sound answers without framing cost: delay, questions to the target and how many are whole.
//! Prints figures and checks none: `cargo test -p relay --test unframed_rate -- --ignored --nocapture`.

mod support;

use {
    futures::future::join_all,
    std::time::{Duration, Instant},
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, unframed},
    },
    tokio::time::sleep,
};

/// Answers for one figure.
const ANSWERS_COUNT: usize = 400;
/// Numbers of callers.
const CALLERS_COUNTS: [usize; 3] = [1, 8, 32];
/// Time after the first answer from which on those that follow count.
const WARM_UP: Duration = Duration::from_millis(300);

async fn measure(name: &str, step: Step, callers_count: usize) {
    let target = ScriptedTarget::start("one", vec![step; ANSWERS_COUNT + 1]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, "/once/7", "").await;
    sleep(WARM_UP).await;
    let asked_before = target.identity_requests_count();
    let callers = (0..callers_count).map(async |_| {
        let mut delays = Vec::new();
        let mut whole_count = 0;
        for _ in 0..ANSWERS_COUNT / callers_count {
            let sent = Instant::now();
            let response = caller::call(relay.address, "/once/7", "").await;
            delays.push(sent.elapsed());
            whole_count += usize::from(response.status == 200);
        }
        (delays, whole_count)
    });
    let results = join_all(callers).await;
    let whole_count: usize = results.iter().map(|(_, whole_count)| whole_count).sum();
    let mut delays: Vec<_> = results.into_iter().flat_map(|(delays, _)| delays).collect();
    delays.sort();
    let count = delays.len();
    let questions_count = target.identity_requests_count() - asked_before;
    println!(
        "{name}, {callers_count} callers: median {:.1} ms, 99th percentile {:.1} ms, {questions_count} questions, {whole_count} of {count} whole",
        delays[count / 2].as_secs_f64() * 1e3,
        delays[count * 99 / 100].as_secs_f64() * 1e3,
    );
}

#[tokio::test]
#[ignore = "measures; run by hand"]
async fn cost_of_answers_without_framing() {
    for callers_count in CALLERS_COUNTS {
        let at_once = Step::RespondThenEnd(unframed("all of a body"));
        measure("at once", at_once, callers_count).await;
        let pause = Duration::from_millis(20);
        let halves = Step::RespondInTwoThenEnd(unframed("all of"), pause, " a body".to_owned());
        measure("20 ms", halves, callers_count).await;
    }
}
