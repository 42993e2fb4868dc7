//! Checks that `rattand platform` exits after SIGTERM and writes its whole log before.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::TcpListener,
    process::{Child, Command, Stdio},
};

fn settings() -> String {
    let listeners: Vec<TcpListener> = (0..5)
        .map(|_| TcpListener::bind(("127.0.0.1", 0)).unwrap())
        .collect();
    let address = |index: usize| listeners[index].local_addr().unwrap();
    format!(
        r#"{{"instance":"one","region":"r","failure_domain":"a","listen":"{}",
            "ready_listen":"{}","directory_listen":"{}","feed_listen":"{}","kv_endpoint":"{}",
            "memory_mb":100,"max_descriptors_count":1000,"grace_s":8,"max_address_age_s":5,
            "order_gap_ms":300,"version_ms":8000,"min_lease_ms":1000,"retries_per_call":0.2,
            "retry_window_s":10,"retry_slack_count":50}}"#,
        address(0),
        address(1),
        address(2),
        address(3),
        address(4),
    )
}

fn start() -> Child {
    let directory = std::env::temp_dir();
    let path = directory.join(format!("rattan-platform-stop-{}.json", std::process::id()));
    fs::write(&path, settings()).unwrap();
    Command::new(env!("CARGO_BIN_EXE_rattand"))
        .args(["platform", "--settings", path.to_str().unwrap()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap()
}

fn ask_to_stop(process: &Child) {
    let id = process.id().to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status();
    assert!(status.unwrap().success());
}

#[test]
fn stopped_is_the_last_line_also_after_a_second_signal() {
    let mut process = start();
    let mut lines = BufReader::new(process.stdout.take().unwrap()).lines();
    let first = lines.next().unwrap().unwrap();
    assert!(first.contains("\"event\":\"started\""), "{first}");
    ask_to_stop(&process);
    ask_to_stop(&process);
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    let last = rest.last().unwrap();
    assert!(last.contains("\"event\":\"stopped\""), "{rest:?}");
    assert!(process.wait().unwrap().success());
}
