//! Rules that span several objects: active versions, unique keys, and warnings.

use catalog::{Catalog, Edit, Object, ObjectKind, warnings};

fn account(name: &str, key: char) -> Object {
    let digest = key.to_string().repeat(64);
    let json = format!(
        r#"{{"name":"{name}","max_running_count":1,"tokens_per_s":1,"key_digests":["{digest}"]}}"#
    );
    Object::from_json(ObjectKind::ClientAccount, json.as_bytes()).expect("valid")
}

fn version(name: &str, active: bool) -> Object {
    let json = format!(
        r#"{{"name":"{name}","model":"m","digest":"00112233","active":{active},
        "piece_bytes":8000,"piece_tokens":2000,"kv_bytes_per_token":16}}"#
    );
    Object::from_json(ObjectKind::ModelVersion, json.as_bytes()).expect("valid")
}

#[test]
fn activating_a_version_deactivates_the_previous_one() {
    let catalog = Catalog::default();
    let first = catalog.with_object(version("v1", true)).expect("first");
    let second = first.with_object(version("v2", true)).expect("second");
    assert!(!second.model_versions["v1"].active);
    assert_eq!(second.active_version("m").expect("active").name, "v2");
    assert!(
        first.model_versions["v1"].active,
        "the original is unchanged"
    );
}

#[test]
fn two_activations_in_one_change_are_rejected() {
    let edits = [
        Edit::Put(version("v1", true)),
        Edit::Put(version("v2", true)),
    ];
    let error = Catalog::default()
        .with_edits(&edits)
        .expect_err("both active");
    assert_eq!(error.field, "model_version v2.active");
}

#[test]
fn a_key_belongs_to_one_account() {
    let catalog = Catalog::default()
        .with_object(account("a", '1'))
        .expect("a");
    let found = catalog
        .account_by_key_digest(&"1".repeat(64))
        .expect("found");
    assert_eq!(found.name, "a");
    assert!(
        catalog.with_object(account("b", '1')).is_err(),
        "b has the key of a"
    );
    let edits = [
        Edit::Delete(ObjectKind::ClientAccount, "a".to_owned()),
        Edit::Put(account("b", '1')),
    ];
    let catalog = catalog
        .with_edits(&edits)
        .expect("the key moves in one change");
    assert_eq!(catalog.accounts_by_key_digest.len(), 1);
}

#[test]
fn a_digest_of_two_accounts_finds_neither() {
    let catalog = Catalog::from_objects(1, [account("a", '1'), account("b", '1')]);
    assert!(catalog.account_by_key_digest(&"1".repeat(64)).is_none());
}

#[test]
fn warnings_name_unmatched_selectors_and_inactive_models() {
    let json = br#"{"name":"r","targets":{"pool":"x"}}"#;
    let rule = Object::from_json(ObjectKind::PlacementRule, json).expect("valid");
    let catalog = Catalog::from_objects(1, [rule, version("v1", false)]);
    let messages: Vec<String> = warnings(&catalog).iter().map(ToString::to_string).collect();
    assert!(
        messages
            .iter()
            .any(|text| text.contains("`targets` (pool=x) matches nothing"))
    );
    assert!(
        messages
            .iter()
            .any(|text| text.contains("no version of model m is active"))
    );
}
