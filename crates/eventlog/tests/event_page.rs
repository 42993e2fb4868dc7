//! docs/EVENTS.md describes every kind of event and every field, and none that no longer exists.

use {
    eventlog::{AttemptLine, CallLine, Event},
    serde_json::Value,
    std::collections::BTreeSet,
};

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Creates one event of each kind.
fn samples() -> Vec<Event> {
    [work(), surroundings()].concat()
}

/// Creates one event of each kind about an instance and what it works with.
fn work() -> Vec<Event> {
    let text = String::new;
    let call = CallLine {
        attempts: vec![AttemptLine::default()],
        ..CallLine::default()
    };
    vec![
        Event::Started {
            instance: text(),
            failure_domain: text(),
            version: "",
        },
        Event::Draining { grace_ms: 0 },
        Event::Stopped {
            reason: text(),
            took_ms: 0,
            cut_count: 0,
        },
        Event::Reloaded,
        Event::UnderWay(call.clone()),
        Event::Call(call),
        Event::Configuration {
            version: 0,
            revision: 0,
            routes_count: 0,
            accounts_count: 0,
            keys_count: None,
            warning: "",
        },
        Event::Target {
            target: text(),
            state: "",
            pool: text(),
            address: text(),
            software_version: String::new(),
            started_unix_ms: 0,
            revision: 0,
        },
        Event::LeftOut {
            target: text(),
            reason: text(),
        },
        Event::SuspectPart {
            part: text(),
            state: "",
            crashes: Vec::new(),
        },
        Event::SuspectCall {
            call: text(),
            call_key: text(),
            state: "",
            crashes: Vec::new(),
        },
        Event::TargetStatement {
            target: text(),
            statement: "",
            value: text(),
            for_ms: None,
        },
        Event::Instances { ready: Vec::new() },
        Event::Evacuation {
            failure_domain: text(),
            state: "",
            targets_count: 0,
            warning: "",
        },
        Event::Version {
            model: text(),
            version: 0,
            revision: 0,
        },
        Event::Holder {
            held: false,
            fencing: 0,
            reason: text(),
        },
        Event::Order {
            target: text(),
            model: text(),
            version: 0,
            fencing: 0,
            accepted_before: 0,
            outcome: text(),
        },
        Event::Parts {
            place: text(),
            added_count: 0,
            removed_count: 0,
            listed: false,
        },
        Event::PartsWithdrawn {
            place: text(),
            count: 0,
        },
    ]
}

/// Creates one event of each kind about what an instance depends on, and about the log itself.
fn surroundings() -> Vec<Event> {
    let text = String::new;
    vec![
        Event::Dependency {
            name: "",
            available: false,
            reason: text(),
        },
        Event::Restored {
            incarnation_before: 0,
            incarnation: 0,
            revision_before: 0,
            revision: 0,
            lease_dropped: false,
            items_count: 0,
            missing_count: 0,
            read_ms: 0,
            registered_ms: 0,
        },
        Event::Outage {
            silence_ms: 0,
            asked_count: 0,
            witness: text(),
        },
        Event::ServiceSource {
            through: text(),
            aggregator: false,
            reason: text(),
        },
        Event::Takeover {
            instance: text(),
            state: "",
            places_count: 0,
        },
        Event::Dropped { count: 0 },
        Event::Note {
            level: text(),
            part: text(),
            message: text(),
        },
    ]
}

/// Numbers the kinds. The exhaustive match doesn't compile until a new kind is added here, and the
/// test fails until it is added to the samples.
fn kind_number(event: &Event) -> usize {
    match event {
        Event::Started { .. } => 0,
        Event::Draining { .. } => 1,
        Event::Stopped { .. } => 2,
        Event::Reloaded => 3,
        Event::UnderWay(_) => 4,
        Event::Call(_) => 5,
        Event::Configuration { .. } => 6,
        Event::Target { .. } => 7,
        Event::LeftOut { .. } => 8,
        Event::Instances { .. } => 9,
        Event::Version { .. } => 10,
        Event::Holder { .. } => 11,
        Event::Order { .. } => 12,
        Event::Parts { .. } => 13,
        Event::Dependency { .. } => 14,
        Event::Dropped { .. } => 15,
        Event::Note { .. } => 16,
        Event::SuspectPart { .. } => 17,
        Event::SuspectCall { .. } => 18,
        Event::PartsWithdrawn { .. } => 19,
        Event::TargetStatement { .. } => 20,
        Event::Outage { .. } => 21,
        Event::Restored { .. } => 22,
        Event::Evacuation { .. } => 23,
        Event::ServiceSource { .. } => 24,
        Event::Takeover { .. } => 25,
    }
}

/// Returns the page's section on one kind.
fn section(kind: &str) -> &'static str {
    let begin = format!("\n## {kind}\n");
    let rest = PAGE.split_once(&begin).map(|(_, rest)| rest);
    let rest = rest.unwrap_or_else(|| panic!("docs/EVENTS.md lacks {kind}"));
    rest.split("\n## ").next().unwrap_or_default()
}

/// Asserts that `text` has a table row for each field, also of nested objects.
fn check_fields(kind: &str, fields: &Value, text: &str) {
    for (name, value) in fields.as_object().unwrap() {
        let is_named = text.contains(&format!("| `{name}` |"));
        assert!(name == "event" || is_named, "{kind} lacks the field {name}");
        if let Some([first, ..]) = value.as_array().map(Vec::as_slice) {
            check_fields(kind, first, text);
        }
    }
}

#[test]
fn page_describes_every_kind_and_field() {
    let samples = samples();
    let numbers: BTreeSet<usize> = samples.iter().map(kind_number).collect();
    assert_eq!(numbers, (0..samples.len()).collect());
    for event in &samples {
        let line = serde_json::to_value(event).unwrap();
        let kind = line["event"].as_str().unwrap().to_owned();
        let described = if kind == "under_way" { "call" } else { &kind };
        section(&kind);
        check_fields(&kind, &line, section(described));
    }
}

#[test]
fn page_describes_no_kind_that_does_not_exist() {
    let samples = samples();
    let kinds: BTreeSet<String> = samples
        .iter()
        .map(|event| serde_json::to_value(event).unwrap()["event"].to_string())
        .collect();
    let sections = PAGE.lines().filter_map(|line| line.strip_prefix("## "));
    for section in sections {
        assert!(kinds.contains(&format!("\"{section}\"")), "{section}");
    }
}
