//! The copy of an answer, which arrives where the next one on its connection is due, answers no other call.

mod support;

use {
    std::sync::Arc,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer, stream, success},
    },
};

/// A whole stream of one event.
fn whole_stream() -> String {
    stream(&["id: 1\ndata: copied\n\n"]) + "0\r\n\r\n"
}

/// Each kind of answer, with the route of the call that it answers.
fn answers() -> Vec<(&'static str, Step)> {
    let twice = Step::RespondTwice;
    let head = stream(&["id: 1\ndata: copied\n\n"]);
    vec![
        (
            "/once/7",
            twice(answer("503 Full", "not-run: 1\r\n", "copied")),
        ),
        (
            "/once/7",
            twice(answer("429 Busy", "not-run: 1\r\n", "copied")),
        ),
        (
            "/once/7",
            twice(answer(
                "421 Misdirected",
                "not-run: 1\r\ntarget: one\r\n",
                "copied",
            )),
        ),
        (
            "/once/7",
            twice(answer("500 Broken", "stamp: s\r\n", "copied")),
        ),
        ("/once/7", twice(success("copied"))),
        ("/stream/7", twice(whole_stream())),
        ("/stream/7", Step::RespondThenExtra(whole_stream(), head)),
    ]
}

/// The same without the id of the call.
fn without_id(step: Step) -> Step {
    let strip = |text: String| text.replace("id: {id}\r\n", "");
    match step {
        Step::RespondTwice(text) => Step::RespondTwice(strip(text)),
        Step::RespondThenExtra(text, extra) => Step::RespondThenExtra(strip(text), strip(extra)),
        other => other,
    }
}

/// A target that has answered a call, whose copy is still to come, and the relay before it.
async fn target_with_copy(path: &str, step: Step) -> (ScriptedTarget, TestRelay) {
    let target = ScriptedTarget::start("one", vec![step]).await;
    let relay = TestRelay::start(&[&target]).await;
    caller::call(relay.address, path, "").await;
    (target, relay)
}

/// Sends other calls until one reaches the target whose copy is still to come, beside another target with this
/// script, and returns the response to that one.
async fn call_that_meets_the_copy(
    answered_path: &str,
    step: Step,
    other_script: Vec<Step>,
    path: &str,
) -> caller::Response {
    let (target, relay) = target_with_copy(answered_path, step).await;
    let other = ScriptedTarget::start("two", other_script).await;
    relay
        .view
        .store(Arc::new(support::view(&[&target, &other])));
    for index in 0..50 {
        let response = caller::call_as(&format!("other-{index}"), relay.address, path).await;
        if target.arrived().len() > 1 {
            return response;
        }
    }
    panic!("no call reached the target");
}

/// Guards against passing on the answer to another call, and against a second run.
#[tokio::test]
async fn call_that_may_not_run_twice_ends_unknown_where_the_copy_of_another_answer_comes() {
    for (path, step) in answers() {
        let response = call_that_meets_the_copy(path, step.clone(), vec![], "/once/8").await;
        assert_eq!(response.status, 502, "{step:?}: {response:?}");
        assert!(!response.text.contains("copied"), "{step:?}: {response:?}");
    }
}

#[tokio::test]
async fn call_that_may_run_again_is_answered_elsewhere_where_the_copy_of_another_answer_comes() {
    for (path, step) in answers() {
        let response = call_that_meets_the_copy(path, step.clone(), vec![], "/idempotent/8").await;
        assert_eq!(response.status, 200, "{step:?}: {response:?}");
        assert!(!response.text.contains("copied"), "{step:?}: {response:?}");
    }
}

#[tokio::test]
async fn stream_that_may_be_resumed_is_whole_where_the_copy_of_another_answer_comes() {
    for (path, step) in answers() {
        let own = stream(&["id: 1\ndata: own\n\n"]) + "0\r\n\r\n";
        let others = vec![Step::Respond(own); 50];
        let response = call_that_meets_the_copy(path, step.clone(), others, "/resumable/8").await;
        assert!(response.is_complete, "{step:?}: {response:?}");
        assert!(
            response.text.contains("data: own"),
            "{step:?}: {response:?}"
        );
        assert!(!response.text.contains("copied"), "{step:?}: {response:?}");
    }
}

/// Guards against taking the copy of a call's answer for the answer to the same call, sent again.
#[tokio::test]
async fn call_that_comes_again_is_not_answered_by_the_copy_of_its_answer() {
    for (path, step) in answers() {
        let (target, relay) = target_with_copy(path, step.clone()).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        assert_eq!(target.arrived().len(), 2);
        assert_eq!(response.status, 200, "{step:?}: {response:?}");
        assert!(response.text.ends_with("ok"), "{step:?}: {response:?}");
    }
}

/// Guards against a copy that names no call: its connection must not carry another one.
#[tokio::test]
async fn copy_without_an_id_reaches_no_other_call() {
    for (path, step) in answers() {
        let (target, relay) = target_with_copy(path, without_id(step.clone())).await;
        let response = caller::call_as("c2", relay.address, "/once/8").await;
        assert_eq!(target.arrived().len(), 2);
        assert_eq!(response.status, 200, "{step:?}: {response:?}");
        assert!(response.text.ends_with("ok"), "{step:?}: {response:?}");
    }
}

/// Guards against a sound target that gets no more calls since an earlier one at its address was leaving.
#[tokio::test]
async fn copy_of_an_answer_says_nothing_of_the_target_that_is_asked() {
    let leaving = answer("503 Full", "not-run: 1\r\nleaving: 1\r\n", "copied");
    let (earlier, relay) = target_with_copy("/once/7", Step::RespondTwice(leaving)).await;
    let target = ScriptedTarget::at("two", earlier.address);
    relay.view.store(Arc::new(support::view(&[&target])));
    let response = caller::call_as("c2", relay.address, "/once/8").await;
    assert_eq!(response.status, 502, "the copy comes: {response:?}");
    let response = caller::call_as("c3", relay.address, "/once/9").await;
    assert_eq!(response.status, 200, "{response:?}");
}
