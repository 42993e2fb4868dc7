//! Objects, changes and the simulation that several test files use.
#![allow(dead_code)] // Each test file uses only some of the items.

pub mod faults;
pub mod incorrect;
pub mod instance;
pub mod journal;
pub mod operators;
pub mod simulation;
pub mod spec;

use {
    catalog::{Edit, Object, ObjectKind},
    configuration::{Change, Precondition},
};

pub fn rule(name: &str, priority: u8) -> Object {
    let json = format!(r#"{{"name":"{name}","priority":{priority}}}"#);
    Object::from_json(ObjectKind::PlacementRule, json.as_bytes()).expect("valid")
}

pub fn account(name: &str, key: char) -> Object {
    let digest = key.to_string().repeat(64);
    let json = format!(
        r#"{{"name":"{name}","max_running_count":1,"tokens_per_s":1,"key_digests":["{digest}"]}}"#
    );
    Object::from_json(ObjectKind::ClientAccount, json.as_bytes()).expect("valid")
}

pub fn version(name: &str, active: bool) -> Object {
    let json = format!(
        r#"{{"name":"{name}","model":"m","digest":"00112233","active":{active},
        "piece_bytes":8000,"piece_tokens":2000,"kv_bytes_per_token":16}}"#
    );
    Object::from_json(ObjectKind::ModelVersion, json.as_bytes()).expect("valid")
}

/// Creates an object that must be absent (revision 0), or replaces it at a revision.
pub fn put(object: Object, revision: u64) -> Change {
    Change {
        edit: Edit::Put(object),
        precondition: precondition(revision),
    }
}

pub fn delete(kind: ObjectKind, name: &str, revision: u64) -> Change {
    Change {
        edit: Edit::Delete(kind, name.to_owned()),
        precondition: precondition(revision),
    }
}

fn precondition(revision: u64) -> Precondition {
    match revision {
        0 => Precondition::Absent,
        revision => Precondition::Revision(revision),
    }
}

/// Names of the two placement rules that the simulation changes.
pub const NAMES: [&str; 2] = ["a", "b"];

/// One of the two rules, with a value as its precedence.
pub fn put_value(index: usize, value: i32) -> Object {
    let json = format!(r#"{{"name":"{}","precedence":{value}}}"#, NAMES[index]);
    Object::from_json(ObjectKind::PlacementRule, json.as_bytes()).expect("valid")
}

/// Values of the two rules; 0 if absent.
pub fn values(catalog: &catalog::Catalog) -> [i32; 2] {
    NAMES.map(|name| {
        catalog
            .placement_rules
            .get(name)
            .map_or(0, |rule| rule.precedence)
    })
}
