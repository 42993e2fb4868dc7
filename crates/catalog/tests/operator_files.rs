//! Files that operators write: what is read, and what an error names.

use catalog::{Object, ObjectKind, parse_file};

const STORE: &str = r#"{
  "kind": "target", "name": "store-1", "target_kind": "store",
  "address": "127.0.0.1:9121", "region": "almaty", "failure_domain": "almaty-1",
  "max_running_count": 4, "link_bytes_per_s": 1000000,
  "capacity_bytes": 1000
}"#;

#[track_caller]
fn fails_at(text: &str, line: usize, words: &[&str]) {
    let error = parse_file(text).expect_err("the file is not valid");
    assert_eq!(error.line, line, "{error}");
    for word in words {
        assert!(error.message.contains(word), "{word:?} is not in {error}");
    }
}

#[test]
fn array_and_stream_read_alike() {
    let rule = r#"{"kind":"placement_rule","name":"all"}"#;
    let stream = parse_file(&format!("{STORE}\n{rule}\n")).expect("stream");
    let array = parse_file(&format!("[{STORE},\n{rule}]")).expect("array");
    assert_eq!(stream, array);
    assert_eq!(stream[0].kind(), ObjectKind::Target);
    assert_eq!(stream[1].name(), "all");
}

#[test]
fn stored_form_reads_back() {
    let objects = parse_file(STORE).expect("valid");
    let json = objects[0].to_json();
    let again = Object::from_json(ObjectKind::Target, json.as_bytes()).expect("own form");
    assert_eq!(again, objects[0]);
}

#[test]
fn errors_name_line_and_field() {
    let without_capacity = STORE.replace("\"capacity_bytes\": 1000", "\"capacity_bytes\": 0");
    fails_at(
        &without_capacity,
        5,
        &["target store-1", "`capacity_bytes`", "at least 1"],
    );
    let bad_address = STORE.replace("127.0.0.1:9121", "store:9121");
    fails_at(&bad_address, 3, &["`address`", "IP address and a port"]);
    let unknown = STORE.replace("\"region\"", "\"zone\"");
    fails_at(&unknown, 3, &["unknown field `zone`"]);
    fails_at(
        &format!("[{STORE},\n{STORE}]"),
        7,
        &["already stands at line 1"],
    );
    fails_at("[\n{\"kind\":\"node\"}]", 2, &["unknown variant `node`"]);
    fails_at("[\n\n{", 3, &["EOF"]);
}
