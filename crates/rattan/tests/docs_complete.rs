//! Checks that the documentation lists every setting with its default, and every object field.

use {
    catalog::parse_file,
    gumdrop::Options,
    rattan::{Flags, cli},
    serde_json::Value,
};

const CONFIG: &str = include_str!("../../../docs/CONFIG.md");

#[test]
fn every_flag_is_documented() {
    let usages = [Flags::usage(), cli::Options::usage()];
    let lines = usages.iter().flat_map(|usage| usage.lines());
    let flags =
        lines.filter_map(|line| line.split_whitespace().find(|word| word.starts_with("--")));
    for flag in flags.filter(|flag| *flag != "--help") {
        assert!(
            CONFIG.contains(&format!("| `{flag}` |")),
            "{flag} is not in docs/CONFIG.md"
        );
    }
}

#[test]
fn every_default_is_documented() {
    let usage = Flags::usage();
    for line in usage.lines().filter(|line| line.ends_with(')')) {
        let flag = line.split_whitespace().next().expect("flag");
        let default = line
            .rsplit_once('(')
            .expect("default")
            .1
            .trim_end_matches(')');
        let row = CONFIG
            .lines()
            .find(|row| row.starts_with(&format!("| `{flag}` |")));
        let row = row.expect(flag).replace(',', "");
        assert!(
            row.contains(&format!("| {default} |")),
            "{flag}: {default} is not in {row}"
        );
    }
}

#[test]
fn every_field_is_documented() {
    let files = [
        include_str!("../../../examples/tasboulak.json"),
        include_str!("../../../examples/frio-austral.json"),
    ];
    for object in files
        .iter()
        .flat_map(|file| parse_file(file).expect("valid"))
    {
        let value: Value = serde_json::from_str(&object.to_json()).expect("JSON");
        for field in value.as_object().expect("object").keys() {
            let is_named =
                CONFIG.contains(&format!("`{field}`")) || CONFIG.contains(&format!("`{field}."));
            assert!(is_named, "{} {field}", object.kind());
        }
    }
}
