//! Tests the command-line tool against real daemons, including its exit codes.

mod support;

use {
    serde_json::Value,
    std::{
        io::Write,
        net::SocketAddr,
        process::{Command, Stdio},
        time::Duration,
    },
    support::{
        objects::{self, MODEL},
        test_system::{OPERATOR_KEY, TestSystem, TestSystemSettings, complete},
    },
};

/// Exit code and output of a command.
struct CommandResult {
    code: i32,
    output: String,
    message: String,
}

fn rattan(entries: &[SocketAddr], arguments: &[&str], input: &str) -> CommandResult {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rattan"));
    for entry in entries {
        command.arg("--entry").arg(entry.to_string());
    }
    let mut child = command
        .args(arguments)
        .env("RATTAN_OPERATOR_KEY", OPERATOR_KEY)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("rattan starts");
    let mut stdin = child.stdin.take().expect("piped");
    // Fails if the command has already exited without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let result = child.wait_with_output().expect("rattan ends");
    CommandResult {
        code: result.status.code().unwrap_or(-1),
        output: String::from_utf8_lossy(&result.stdout).into_owned(),
        message: String::from_utf8_lossy(&result.stderr).into_owned(),
    }
}

/// Runs a command and checks its exit code. Uses a blocking thread, since the stand-ins run on this
/// runtime.
async fn run(system: &TestSystem, arguments: &str, input: &str, code: i32) -> CommandResult {
    let entries: Vec<SocketAddr> = system.entries.iter().map(|entry| entry.address).collect();
    let (words, input) = (arguments.to_owned(), input.to_owned());
    let command = move || rattan(&entries, &words.split(' ').collect::<Vec<_>>(), &input);
    let result = tokio::task::spawn_blocking(command).await.expect("command");
    assert_eq!(
        result.code, code,
        "{arguments}: {} {}",
        result.output, result.message
    );
    result
}

async fn system() -> TestSystem {
    let settings = TestSystemSettings {
        engines_count: 1,
        ..TestSystemSettings::new(env!("CARGO_BIN_EXE_rattand"))
    };
    TestSystem::start(settings).await.expect("start")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn objects_are_applied_shown_and_deleted() {
    let system = system().await;
    let file = r#"{"kind": "placement_rule", "name": "night", "precedence": -1}"#;
    let applied = run(&system, "apply -f -", file, 0).await;
    assert!(
        applied.output.contains("created placement_rule/night"),
        "{}",
        applied.output
    );
    let again = run(&system, "apply -f -", file, 0).await;
    assert!(
        again.output.contains("unchanged placement_rule/night"),
        "{}",
        again.output
    );
    run(&system, "label placement_rule night shift=late", "", 0).await;
    let listed = run(&system, "get placement_rules -l shift=late", "", 0).await;
    assert_eq!(listed.output.lines().count(), 2, "{}", listed.output);
    let shown = run(&system, "--output json get placement_rule night", "", 0).await;
    let shown: Value = serde_json::from_str(&shown.output).expect("JSON");
    assert_eq!(shown["object"]["labels"]["shift"], "late");
    run(&system, "delete placement_rule night", "", 0).await;
    run(&system, "get placement_rule night", "", 4).await;
    run(&system, "delete placement_rule night", "", 4).await;
}

/// Guards against a command that reaches another object than the one that it names.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reserved_characters_are_part_of_a_name() {
    let system = system().await;
    let file = r#"{"kind": "placement_rule", "name": "night", "precedence": -1}"#;
    run(&system, "apply -f -", file, 0).await;
    for name in ["night#old", "night?old", "%6eight", "night/", "nächt"] {
        run(&system, &format!("get placement_rule {name}"), "", 4).await;
        run(&system, &format!("delete placement_rule {name}"), "", 4).await;
    }
    run(
        &system,
        "label placement_rule night/labels?x shift=late",
        "",
        4,
    )
    .await;
    run(&system, "drain engine-0/drain?x", "", 4).await;
    run(&system, "explain status?x", "", 4).await;
    run(&system, "get placement_rule night", "", 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn file_is_applied_atomically() {
    let system = system().await;
    let other = objects::account("other", "caller-key-of-the-test");
    let file = format!("{other}\n{{\"kind\": \"placement_rule\", \"name\": \"night\"}}");
    let refused = run(&system, "apply -f -", &file, 1).await;
    assert!(
        refused.message.contains("keys of its own"),
        "{}",
        refused.message
    );
    run(&system, "get placement_rule night", "", 4).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outage_is_reported_and_reads_still_work() {
    let system = system().await;
    system
        .kv
        .set_faults(&serde_json::json!({"down": true}))
        .expect("known faults");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = run(&system, "label placement_rule all shift=late", "", 5).await;
    assert!(
        refused.message.contains("nothing was changed"),
        "{}",
        refused.message
    );
    run(&system, "get placement_rule all", "", 0).await;
    run(&system, "status", "", 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_entry_is_skipped() {
    let mut system = system().await;
    system.entries[0].signal("KILL");
    system.entries[0].exit(Duration::from_secs(5)).await;
    run(&system, "label placement_rule all shift=late", "", 0).await;
    run(&system, "drain engine-0", "", 0).await;
    let status = run(&system, "status", "", 0).await;
    assert!(
        status.output.contains("leaving, as configured"),
        "{}",
        status.output
    );
    let mut refused = complete(system.entries[1].address, 1).await;
    for _ in 0..100 {
        if refused.is_err() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        refused = complete(system.entries[1].address, 1).await;
    }
    assert!(refused.is_err(), "{MODEL} has no engine left");
}

/// Retries `rattan explain` until the entry finds the decision record.
async fn wait_for_explanation(entry: SocketAddr, request: &str) -> String {
    for _ in 0..100 {
        let request = request.to_owned();
        let command = move || rattan(&[entry], &["explain", &request], "");
        let result = tokio::task::spawn_blocking(command).await.expect("command");
        if result.code == 0 {
            return result.output;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{entry} does not explain {request}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn decisions_are_explained_by_any_entry() {
    let system = system().await;
    let body = serde_json::json!({"model": MODEL, "prompt": "edge profile", "max_tokens": 1});
    let mut caller =
        support::http::Connection::open(system.entries[0].address, objects::CALLER_KEY)
            .await
            .expect("entry");
    let answer = caller
        .send(hyper::Method::POST, "/v1/completions", &body)
        .await
        .expect("answer");
    let request = answer.headers()["x-request-id"]
        .to_str()
        .expect("text")
        .to_owned();
    drop(http_body_util::BodyExt::collect(answer.into_body()).await);
    let explained = wait_for_explanation(system.entries[1].address, &request).await;
    assert!(explained.contains("Routed to engine-0"), "{explained}");
    run(&system, "explain none", "", 4).await;
}
