//! Guards against settings by which cold targets get more calls than the platform allows.

use {
    balance::ColdAllowance,
    entry::{Settings, SettingsError},
};

const TEMPLATE: &str = include_str!("../../../deploy/settings.json");

/// Values of the template that every deployment has.
const VALUES: [(&str, &str); 19] = [
    ("nodeName|json", "\"one\""),
    ("region|json", "\"r\""),
    ("zone|json", "\"a\""),
    ("zones|json", "{}"),
    ("listenAddrs.front|json", "\"127.0.0.1:1\""),
    ("listenAddrs.readiness|json", "\"127.0.0.1:2\""),
    ("listenAddrs.directory|json", "\"127.0.0.1:3\""),
    ("ip", "127.0.0.1"),
    ("internalPorts.0", "4"),
    ("internalPorts.1", "5"),
    ("platform.address|json", "\"127.0.0.1:6\""),
    ("limits.memoryMb|json", "100"),
    ("limits.maxFds|json", "1000"),
    ("bounds.graceS|json", "3"),
    ("bounds.ttl_max_s|json", "5"),
    ("bounds.leaseMs|json", "300"),
    ("bounds.versionMs|json", "8000"),
    ("platform.minTtlMs|json", "1000"),
    ("bounds.retryRatio|json", "0.2"),
];

/// Settings that the platform makes of the template, with some of the values that may be missing.
fn render(present: &[(&str, &str)]) -> String {
    let mut text = TEMPLATE.to_owned();
    for name in ["limits.linkMbps", "bounds.coldOverage", "bounds.coldSlack"] {
        let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let (before, rest) = text.split_once(&begin).unwrap();
        let (section, after) = rest.split_once(&end).unwrap();
        let value = present.iter().find(|it| it.0 == name);
        let section = value.map(|it| section.replace("{{.}}", it.1));
        text = format!("{before}{}{after}", section.unwrap_or_default());
    }
    let more = [
        ("bounds.retryWindowS|json", "10"),
        ("bounds.retrySlack|json", "50"),
    ];
    for (name, value) in VALUES.into_iter().chain(more) {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

fn allowance(present: &[(&str, &str)]) -> Result<Option<ColdAllowance>, SettingsError> {
    Settings::parse(render(present).as_bytes()).map(|it| it.cold_allowance)
}

#[test]
fn deployment_without_the_bounds_bounds_nothing() {
    assert_eq!(allowance(&[]).unwrap(), None);
    assert_eq!(allowance(&[("limits.linkMbps", "24")]).unwrap(), None);
}

#[test]
fn both_bounds_are_read() {
    let present = [("bounds.coldOverage", "1.5"), ("bounds.coldSlack", "5")];
    let expected = ColdAllowance {
        overage_factor: 1.5,
        slack_count: 5.0,
    };
    assert_eq!(allowance(&present).unwrap(), Some(expected));
}

#[test]
fn bound_that_is_missing_adds_nothing() {
    let factor_only = allowance(&[("bounds.coldOverage", "1.5")]).unwrap();
    let slack_only = allowance(&[("bounds.coldSlack", "5")]).unwrap();
    assert_eq!(factor_only.unwrap().slack_count.to_string(), "0");
    assert_eq!(slack_only.unwrap().overage_factor.to_string(), "1");
}

#[test]
fn negative_bound_ends_the_start_and_is_named() {
    for (value, name) in [
        ("bounds.coldOverage", "cold_overage_factor"),
        ("bounds.coldSlack", "cold_slack_count"),
    ] {
        let error = allowance(&[(value, "-1")]).unwrap_err().to_string();
        assert!(error.contains(name), "{error}");
    }
}
