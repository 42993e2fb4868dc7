//! No input makes a parser panic, and valid objects survive a round trip through JSON.

use {
    catalog::{Object, ObjectKind, Selector, parse_file},
    proptest::prelude::*,
};

/// Member names of all kinds of object.
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

/// Values that are valid for some member, and some that are valid for none.
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

/// JSON objects with known member names but arbitrary values, so that many are almost valid.
fn almost_valid_object() -> impl Strategy<Value = String> {
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
    fn any_text_is_parsed_or_rejected(text in ".{0,200}") {
        let _ = parse_file(&text);
        let _ = text.parse::<Selector>();
        let _ = text.parse::<ObjectKind>();
    }

    #[test]
    fn any_bytes_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        for kind in ObjectKind::ALL {
            let _ = Object::from_json(kind, &bytes);
        }
    }

    #[test]
    fn almost_valid_objects_are_parsed_or_rejected(json in almost_valid_object()) {
        let _ = parse_file(&json);
        for kind in ObjectKind::ALL {
            let Ok(object) = Object::from_json(kind, json.as_bytes()) else { continue };
            let parsed = Object::from_json(kind, object.to_json().as_bytes());
            prop_assert_eq!(parsed.expect("stored JSON is valid"), object);
        }
    }

    #[test]
    fn valid_accounts_survive_a_round_trip(json in valid_account()) {
        let kind = ObjectKind::ClientAccount;
        let object = Object::from_json(kind, json.as_bytes()).expect("valid");
        let parsed =
            Object::from_json(kind, object.to_json().as_bytes()).expect("stored JSON is valid");
        prop_assert_eq!(parsed, object);
    }

    #[test]
    fn selectors_survive_a_round_trip(text in "([a-z]{1,3}=[A-Z0-9]{0,3},){0,4}") {
        let selector: Selector = text.parse().expect("valid");
        prop_assert_eq!(
            selector.to_string().parse::<Selector>().expect("printed selectors are valid"),
            selector
        );
    }
}
