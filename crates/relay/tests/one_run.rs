//! A call that may not be repeated is sent again only if it surely did not run.

mod support;

use support::{
    World, caller,
    scripted::{Scripted, Step, answer, success},
};

async fn two_targets(script: Vec<Step>) -> (Scripted, Scripted) {
    let first = Scripted::start("one", script.clone()).await;
    let second = Scripted::start("two", script).await;
    (first, second)
}

fn arrivals(targets: (&Scripted, &Scripted)) -> usize {
    targets.0.arrived().len() + targets.1.arrived().len()
}

#[tokio::test]
async fn answer_that_breaks_off_is_not_asked_for_again() {
    let torn = answer("200 OK", "stamp: s\r\n", "whole").replace("whole", "who");
    for lost in [
        String::new(),
        "HTTP/1.1 2".to_owned(),
        torn,
        "\u{1}\u{2}\r\n\r\n".to_owned(),
    ] {
        let (one, two) = two_targets(vec![Step::Break(lost)]).await;
        let world = World::start(&[&one, &two]).await;
        let got = caller::call(world.address, "/once/7", "").await;
        assert_eq!(got.status, 502, "the call may have run: {got:?}");
        assert_eq!(arrivals((&one, &two)), 1);
    }
}

#[tokio::test]
async fn target_that_did_not_run_it_is_replaced() {
    let full = answer("503 Service Unavailable", "not-run: 1\r\n", "");
    let (one, two) = two_targets(vec![Step::Say(full)]).await;
    let world = World::start(&[&one, &two]).await;
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 503, "both are full: {got:?}");
    assert!(got.header("retry-after").is_some());
    assert_eq!(arrivals((&one, &two)), 2, "each was asked once");
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 200);
}

#[tokio::test]
async fn refusal_without_the_targets_word_is_not_passed_on() {
    let silent = answer("503 Service Unavailable", "", "");
    let (one, two) = two_targets(vec![Step::Say(silent)]).await;
    let world = World::start(&[&one, &two]).await;
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(
        got.status, 502,
        "503 would promise that it did not run: {got:?}"
    );
    assert_eq!(arrivals((&one, &two)), 1);
}

#[tokio::test]
async fn idempotent_call_is_tried_at_another_target() {
    let (one, two) = two_targets(vec![]).await;
    let failing = Scripted::start("three", vec![Step::Break(String::new()); 9]).await;
    let world = World::start(&[&failing, &one, &two]).await;
    for _ in 0..4 {
        let got = caller::call(world.address, "/idempotent/7", "").await;
        assert_eq!(got.status, 200);
    }
}

#[tokio::test]
async fn answer_to_another_call_is_never_passed_on() {
    let other = success("secret").replace("{id}", "c0");
    let (one, two) = two_targets(vec![Step::Say(other)]).await;
    let world = World::start(&[&one, &two]).await;
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 502);
    assert!(!got.text.contains("secret"));
}

#[tokio::test]
async fn success_without_proof_is_not_passed_on() {
    let unproven = answer("200 OK", "", "made up");
    let (one, two) = two_targets(vec![Step::Say(unproven)]).await;
    let world = World::start(&[&one, &two]).await;
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 502);
}

#[tokio::test]
async fn targets_own_failure_is_passed_on_with_its_proof() {
    let failure = answer("500 Internal Server Error", "stamp: s\r\n", "why");
    let (one, two) = two_targets(vec![Step::Say(failure)]).await;
    let world = World::start(&[&one, &two]).await;
    let got = caller::call(world.address, "/once/7", "").await;
    assert_eq!(got.status, 500);
    assert_eq!(got.header("stamp"), Some("s"));
    assert!(got.text.ends_with("why"));
}

#[tokio::test]
async fn targets_own_failure_stands_if_no_other_target_can_answer() {
    let failure = answer("500 Internal Server Error", "stamp: s\r\n", "why");
    let failing = Scripted::start("one", vec![Step::Say(failure)]).await;
    let world = World::start(&[&failing]).await;
    let got = caller::call(world.address, "/idempotent/7", "").await;
    assert_eq!(got.status, 500, "{got:?}");
    assert_eq!(got.header("stamp"), Some("s"));
}
