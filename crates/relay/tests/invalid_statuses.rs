//! Answers whose status is none that a target may give.

mod support;

use {
    balance::RetryBounds,
    std::time::Duration,
    support::{
        TestRelay, caller,
        scripted_target::{ScriptedTarget, Step, answer},
    },
};

const BODY: &str = "of a target in trouble";
const STATUSES: [&str; 16] = [
    "000",
    "001",
    "099",
    "101",
    "199",
    "600",
    "666",
    "999",
    "0",
    "20",
    "2000",
    "-20",
    "2OO",
    "abc",
    "",
    "\u{0}\u{0}\u{0}",
];
const PATHS: [&str; 4] = ["/once/7", "/idempotent/7", "/stream/7", "/resumable/7"];

/// An answer with this status, with and without a reason.
fn answers(status: &str) -> [String; 2] {
    let headers = "stamp: s\r\n";
    [status.to_owned(), format!("{status} OK")].map(|status| answer(&status, headers, BODY))
}

/// Guards against an answer with an invalid status reaching the caller as an answer, and against a connection that
/// carried one being used again.
#[tokio::test]
async fn answer_with_an_invalid_status_is_no_answer() {
    for status in STATUSES {
        for invalid in answers(status) {
            for path in PATHS {
                let case = format!("{path}, {status:?}");
                let target = ScriptedTarget::start(
                    "one",
                    vec![
                        Step::RespondInTwo(invalid.clone(), Duration::from_secs(2), String::new());
                        2
                    ],
                )
                .await;
                let bounds = RetryBounds {
                    slack_count: 0.0,
                    retries_per_call: 0.0,
                    ..RetryBounds::default()
                };
                let relay = TestRelay::start_with(&[&target], bounds).await;
                let response = caller::call(relay.address, path, "").await;
                assert!(!response.text.contains(BODY), "{case}: {response:?}");
                assert!(response.is_complete, "{case}: {response:?}");
                assert!(matches!(response.status, 502 | 504), "{case}: {response:?}");
                assert_eq!(target.arrived().len(), 1, "{case}");
                assert!(target.saw_caller_disconnect().await, "{case}");
            }
        }
    }
}

/// Guards against the loss of a call that another target can run.
#[tokio::test]
async fn call_is_retried_where_it_may_run_again() {
    for status in STATUSES {
        for path in ["/idempotent/7", "/resumable/7"] {
            let [invalid, _] = answers(status);
            let one = ScriptedTarget::start("one", vec![Step::Respond(invalid.clone())]).await;
            let two = ScriptedTarget::start("two", vec![Step::Respond(invalid)]).await;
            let relay = TestRelay::start(&[&one]).await;
            relay.add_target(&two);
            let response = caller::call(relay.address, path, "").await;
            assert!(
                !response.text.contains(BODY),
                "{path}, {status:?}: {response:?}"
            );
            let runs = one.arrived().len() + two.arrived().len();
            assert_eq!(runs, 2, "{path}, {status:?}: {response:?}");
        }
    }
}

/// Guards against a second run of a call that may have run.
#[tokio::test]
async fn call_that_may_run_once_is_not_retried() {
    for status in STATUSES {
        let [invalid, _] = answers(status);
        let one = ScriptedTarget::start("one", vec![Step::Respond(invalid.clone())]).await;
        let two = ScriptedTarget::start("two", vec![Step::Respond(invalid)]).await;
        let relay = TestRelay::start(&[&one, &two]).await;
        let response = caller::call(relay.address, "/once/7", "").await;
        let runs = one.arrived().len() + two.arrived().len();
        assert_eq!(runs, 1, "{status:?}: {response:?}");
    }
}
