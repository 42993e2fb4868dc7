//! The files in `examples/` are valid, can be applied together and contain the documented keys.

use catalog::{Catalog, Object, parse_file, warnings};

fn objects() -> Vec<Object> {
    let files = [
        include_str!("../../../examples/tasboulak.json"),
        include_str!("../../../examples/frio-austral.json"),
    ];
    files
        .into_iter()
        .flat_map(|file| parse_file(file).expect("valid"))
        .collect()
}

#[test]
fn example_files_form_one_valid_catalog() {
    let catalog = Catalog::from_objects(1, objects());
    catalog.check_key_owners().expect("no key is shared");
    assert_eq!(warnings(&catalog), []);
    for model in ["template-review", "fault-codes"] {
        let version = catalog
            .active_version(model)
            .expect("one version is active");
        for account in catalog.client_accounts.values() {
            let same_deployment = account.labels["deployment"] == version.labels["deployment"];
            assert_eq!(
                catalog.rule_for(account, version).is_some(),
                same_deployment,
                "{}",
                account.name
            );
        }
    }
}

#[test]
fn documented_keys_authenticate_their_accounts() {
    let catalog = Catalog::from_objects(1, objects());
    for name in catalog.client_accounts.keys() {
        let key = format!("demo-key-{name}");
        let digest = hex::encode(blake3::hash(key.as_bytes()).as_bytes());
        let account = catalog.account_by_key_digest(&digest).expect("known key");
        assert_eq!(account.name, *name);
    }
}
