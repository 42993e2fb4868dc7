//! No input makes a parser panic, and what passes the checks keeps its form.

use {
    catalog::{Object, ObjectKind, Selector, parse_file},
    proptest::prelude::*,
};

/// Members of the four kinds.
const MEMBERS: [&str; 26] = [
    "kind",
    "name",
    "labels",
    "key_digests",
    "max_running_count",
    "tokens_per_s",
    "weight",
    "model",
    "digest",
    "active",
    "piece_bytes",
    "piece_tokens",
    "kv_bytes_per_token",
    "target_kind",
    "address",
    "region",
    "failure_domain",
    "leaving",
    "link_bytes_per_s",
    "capacity_bytes",
    "service",
    "calls",
    "objective",
    "targets",
    "stores",
    "precedence",
];

/// Values that some member takes, and some that none takes.
const VALUES: [&str; 20] = [
    "\"client_account\"",
    "\"target\"",
    "\"engine\"",
    "\"store\"",
    "\"service\"",
    "\"a\"",
    "\"127.0.0.1:9101\"",
    "{}",
    "[]",
    "null",
    "true",
    "0",
    "-1",
    "1",
    "1e999",
    "4294967296",
    "{\"a\":\"b\"}",
    "{\"A\":\"\"}",
    "[\"00\"]",
    "[{\"path\":\"/a\",\"idempotent\":true}]",
];

/// JSON objects whose members are those of the four kinds, with any values.
fn near_object() -> impl Strategy<Value = String> {
    let member = prop::sample::select(&MEMBERS[..]);
    let value = prop_oneof![
        prop::sample::select(&VALUES[..]).prop_map(str::to_owned),
        any::<f64>().prop_map(|number| number.to_string()),
        ".{0,12}".prop_map(|text| serde_json::to_string(&text).expect("text")),
    ];
    prop::collection::vec((member, value), 0..14).prop_map(|members| {
        let members: Vec<String> = members
            .into_iter()
            .map(|(member, value)| format!("\"{member}\":{value}"))
            .collect();
        format!("{{{}}}", members.join(",\n"))
    })
}

fn valid_account() -> impl Strategy<Value = String> {
    (
        "[a-z0-9][a-z0-9.-]{0,62}",
        "[a-z0-9]{1,9}",
        "[A-Za-z0-9._-]{0,63}",
        1u32..9,
    )
        .prop_map(|(name, key, value, weight)| {
            format!(
                r#"{{"name":"{name}","labels":{{"{key}":"{value}"}},"max_running_count":1,
                "tokens_per_s":1,"weight":{weight},"key_digests":["{}"]}}"#,
                "0f".repeat(32)
            )
        })
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in ".{0,200}") {
        let _ = parse_file(&text);
        let _ = text.parse::<Selector>();
        let _ = text.parse::<ObjectKind>();
    }

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for kind in ObjectKind::ALL {
            let _ = Object::from_json(kind, &bytes);
        }
    }

    #[test]
    fn near_objects_are_read_or_refused(json in near_object()) {
        let _ = parse_file(&json);
        for kind in ObjectKind::ALL {
            let Ok(object) = Object::from_json(kind, json.as_bytes()) else { continue };
            let again = Object::from_json(kind, object.to_json().as_bytes());
            prop_assert_eq!(again.expect("own form"), object);
        }
    }

    #[test]
    fn valid_accounts_read_back(json in valid_account()) {
        let kind = ObjectKind::ClientAccount;
        let object = Object::from_json(kind, json.as_bytes()).expect("valid");
        let again = Object::from_json(kind, object.to_json().as_bytes()).expect("own form");
        prop_assert_eq!(again, object);
    }

    #[test]
    fn selectors_print_what_they_read(text in "([a-z]{1,3}=[A-Z0-9]{0,3},){0,4}") {
        let selector: Selector = text.parse().expect("valid");
        prop_assert_eq!(selector.to_string().parse::<Selector>().expect("own form"), selector);
    }
}
