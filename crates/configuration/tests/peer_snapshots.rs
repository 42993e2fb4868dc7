//! Snapshots from peers of other builds, which read other objects than this one.

mod support;

use {
    catalog::ObjectKind,
    configuration::{Follower, FollowerHandle, FollowerSettings, Snapshot},
    keyvalue::{KvPair, MemoryKv, Range},
    serde_json::{Value, json},
    std::time::Duration,
    support::rule,
};

const RULE_A_KEY: &str = "/rattan/config/placement_rule/a";

fn snapshot(revision: u64, objects: &[Value], unreadable: &Value) -> Snapshot {
    let snapshot = json!({"revision": revision, "as_of": revision, "confirmed_age_ms": 0,
        "objects": objects, "unreadable": unreadable});
    let read = Snapshot::from_json(snapshot.to_string().as_bytes());
    read.expect("a snapshot").0
}

fn versioned_rule(name: &str) -> Value {
    json!({"revision": 1, "object": {"kind": "placement_rule", "name": name, "priority": 1}})
}

fn rules(handle: &FollowerHandle) -> Vec<String> {
    handle.catalog().placement_rules.keys().cloned().collect()
}

/// Guards against an instance without a configuration because of one object of a later build.
#[test]
fn unreadable_objects_leave_the_others() {
    let odd_objects = [
        json!(null),
        json!({"revision": 1, "object": {"kind": "later", "name": "x"}}),
        json!({"revision": 1, "object": {"kind": "placement_rule", "name": "x", "priority": "?"}}),
        json!({"revision": "?", "object": versioned_rule("x")["object"]}),
    ];
    for odd in odd_objects {
        let read = snapshot(3, &[odd.clone(), versioned_rule("b")], &json!({}));
        assert_eq!(read.unreadable.len(), 1, "{odd}");
        assert!(read.object(ObjectKind::PlacementRule, "b").is_some());
        assert_eq!(read.catalog.placement_rules.len(), 1, "{odd}");
    }
}

/// Guards against an object that is lost since the peer that has the latest snapshot can't read it.
#[test]
fn objects_that_a_peer_cannot_read_stay() {
    let follower = Follower::new(MemoryKv::new(), FollowerSettings::default());
    let handle = follower.handle();
    let objects = [versioned_rule("a"), versioned_rule("b")];
    handle.offer(snapshot(3, &objects, &json!({})), Duration::ZERO);
    let later = snapshot(
        4,
        &[versioned_rule("c")],
        &json!({RULE_A_KEY: "a later build"}),
    );
    assert!(handle.offer(later, Duration::ZERO));
    assert_eq!(rules(&handle), ["a", "c"]);
    assert_eq!(handle.catalog().revision, 4);
}

/// Guards against a peer that does not say what it can't read.
#[test]
fn snapshots_name_what_they_lack() {
    let pair = |key: &str, value: &str| KvPair {
        key: key.to_owned(),
        value: value.to_owned().into(),
        create_revision: 1,
        mod_revision: 1,
    };
    let pairs = vec![
        pair(RULE_A_KEY, r#"{"name":"a","priority":"?"}"#),
        pair("/rattan/config/placement_rule/b", &rule("b", 1).to_json()),
    ];
    let own = Snapshot::from_range(&Range { pairs, revision: 2 });
    let json = own.to_json(Duration::ZERO);
    let (read, _) = Snapshot::from_json(&json).expect("a snapshot");
    assert!(read.unreadable.contains_key(RULE_A_KEY));
    assert_eq!(read.unreadable, own.unreadable);
}
