//! Parsing of operators' files, and the line and field that errors name.

use catalog::{Object, ObjectKind, parse_file};

const STORE: &str = r#"{
  "kind": "target", "name": "store-1", "target_kind": "store",
  "address": "127.0.0.1:9121", "region": "almaty", "failure_domain": "almaty-1",
  "max_running_count": 4, "link_bytes_per_s": 1000000,
  "capacity_bytes": 1000
}"#;

#[track_caller]
fn assert_error(text: &str, line: usize, expected_texts: &[&str]) {
    let error = parse_file(text).expect_err("the file is not valid");
    assert_eq!(error.line, line, "{error}");
    for expected in expected_texts {
        assert!(
            error.message.contains(expected),
            "{expected:?} is not in {error}"
        );
    }
}

#[test]
fn array_and_stream_give_the_same_objects() {
    let rule = r#"{"kind":"placement_rule","name":"all"}"#;
    let stream = parse_file(&format!("{STORE}\n{rule}\n")).expect("stream");
    let array = parse_file(&format!("[{STORE},\n{rule}]")).expect("array");
    assert_eq!(stream, array);
    assert_eq!(stream[0].kind(), ObjectKind::Target);
    assert_eq!(stream[1].name(), "all");
}

#[test]
fn stored_json_parses_to_the_same_object() {
    let objects = parse_file(STORE).expect("valid");
    let json = objects[0].to_json();
    let parsed =
        Object::from_json(ObjectKind::Target, json.as_bytes()).expect("stored JSON is valid");
    assert_eq!(parsed, objects[0]);
}

#[test]
fn errors_name_line_and_field() {
    let zero_capacity = STORE.replace("\"capacity_bytes\": 1000", "\"capacity_bytes\": 0");
    assert_error(
        &zero_capacity,
        5,
        &["target store-1", "`capacity_bytes`", "at least 1"],
    );
    let bad_address = STORE.replace("127.0.0.1:9121", "store:9121");
    assert_error(&bad_address, 3, &["`address`", "IP address and a port"]);
    let unknown_field = STORE.replace("\"region\"", "\"zone\"");
    assert_error(&unknown_field, 3, &["unknown field `zone`"]);
    assert_error(
        &format!("[{STORE},\n{STORE}]"),
        7,
        &["already defined at line 1"],
    );
    assert_error("[\n{\"kind\":\"node\"}]", 2, &["unknown variant `node`"]);
    assert_error("[\n\n{", 3, &["EOF"]);
}
