//! Tests exit codes and messages of the command-line tool when nothing is sent.

use std::{
    io::Write,
    process::{Command, Output, Stdio},
};

fn rattan(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_rattan"))
        .args(arguments)
        .env_remove("RATTAN_ENTRY")
        .env("RATTAN_OPERATOR_KEY", "key")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("rattan starts");
    let mut stdin = child.stdin.take().expect("piped");
    // Fails if the command has already exited without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    child.wait_with_output().expect("rattan ends")
}

#[track_caller]
fn assert_fails(arguments: &[&str], input: &str, code: i32, words: &str) {
    let output = rattan(arguments, input);
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{message}");
    assert!(message.contains(words), "{words:?} is not in {message}");
    assert_eq!(message.trim_end().lines().count(), 1, "{message}");
}

#[test]
fn every_command_has_help() {
    let commands = [
        "apply", "get", "label", "drain", "delete", "status", "explain", "digest",
    ];
    let help = rattan(&["--help"], "");
    assert!(help.status.success());
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    for command in commands {
        assert!(
            help.contains(&format!("  {command}  ")),
            "{command} is not listed"
        );
        let help = rattan(&[command, "--help"], "");
        assert!(help.status.success());
        assert!(String::from_utf8_lossy(&help.stdout).contains("Usage: rattan"));
    }
}

#[test]
fn usage_errors_name_the_remedy() {
    assert_fails(&[], "", 2, "see `rattan --help`");
    assert_fails(&["--zone", "a"], "", 2, "--zone");
    assert_fails(&["status"], "", 2, "set RATTAN_ENTRY");
    assert_fails(&["--entry", "entry-1", "status"], "", 2, "entry");
    assert_fails(
        &["--entry", "127.0.0.1:1", "get", "node"],
        "",
        2,
        "placement_rule",
    );
    assert_fails(
        &["--entry", "127.0.0.1:1", "--key-file", "/none", "status"],
        "",
        2,
        "--key-file",
    );
    assert_fails(
        &["--entry", "127.0.0.1:1", "label", "target", "t", "a"],
        "",
        2,
        "key=value",
    );
}

#[test]
fn unreachable_entry_is_reported() {
    assert_fails(
        &["--entry", "127.0.0.1:1", "status"],
        "",
        5,
        "nothing was sent",
    );
}

#[test]
fn files_are_checked_before_anything_is_sent() {
    let file = "[{\"kind\":\"placement_rule\",\n\"name\":\"A\"}]";
    assert_fails(
        &["--entry", "127.0.0.1:1", "apply", "-f", "-"],
        file,
        2,
        "-: line 2",
    );
}

#[test]
fn digest_matches_the_gateway() {
    let output = rattan(&["digest"], "demo\n");
    let digest = String::from_utf8_lossy(&output.stdout);
    assert_eq!(digest.trim_end(), gateway::digest_of("demo"));
}
