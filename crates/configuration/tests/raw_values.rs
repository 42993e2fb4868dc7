//! No input from a peer, an operator or the key-value service makes a parser panic.

mod support;

use {
    bytes::Bytes,
    catalog::Object,
    configuration::{Change, RawChange, Snapshot, object_key, parse_object_key},
    keyvalue::{KvPair, Range},
    proptest::prelude::*,
    std::time::Duration,
    support::{account, rule, version},
};

fn any_object() -> impl Strategy<Value = Object> {
    prop_oneof![
        any::<u8>().prop_map(|priority| rule("r", priority)),
        any::<bool>().prop_map(|active| version("v", active)),
        Just(account("a", '1')),
    ]
}

fn any_pair() -> impl Strategy<Value = KvPair> {
    let key = prop_oneof![
        "/rattan/config/(target|client_account|x)/[a-z]{0,3}",
        "/rattan/config/[a-z_/]{0,12}",
        any_object().prop_map(|object| object_key(object.kind(), object.name())),
    ];
    let value = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..60),
        any_object().prop_map(|object| object.to_json().into_bytes()),
    ];
    (key, value, 1u64..9).prop_map(|(key, value, mod_revision)| KvPair {
        key,
        value: Bytes::from(value),
        create_revision: 1,
        mod_revision,
    })
}

proptest! {
    #[test]
    fn any_range_gives_a_snapshot_that_peers_can_read(
        pairs in prop::collection::vec(any_pair(), 0..8)
    ) {
        let snapshot = Snapshot::from_range(&Range { pairs, revision: 9 });
        let json = snapshot.to_json(Duration::from_millis(7));
        let (read, age) = Snapshot::from_json(&json).expect("serialized snapshots can be read");
        prop_assert_eq!(age, Duration::from_millis(7));
        prop_assert_eq!(&read.catalog, &snapshot.catalog);
        prop_assert_eq!(&read.revisions, &snapshot.revisions);
    }

    #[test]
    fn any_bytes_of_a_peer_are_parsed_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Snapshot::from_json(&bytes);
    }

    #[test]
    fn any_change_is_parsed_or_rejected(
        put in prop::option::of(any_object()), revision in prop::option::of(any::<u64>()),
        text in ".{0,60}"
    ) {
        let raw = RawChange { put, delete: None, revision };
        if let Ok(change) = Change::try_from(raw) {
            let parsed = Change::try_from(RawChange::from(&change));
            prop_assert_eq!(parsed.expect("serialized changes can be read"), change);
        }
        let _ = serde_json::from_str::<RawChange>(&text);
        let _ = parse_object_key(&text);
    }
}
