//! Checks that invalid settings are rejected before anything starts, with one line that names the
//! setting and the remedy.

use {
    proptest::prelude::*,
    rattan::{Flags, LogFormat, Settings},
    std::{ffi::OsString, process::Command, time::Duration},
};

/// All required settings, as environment variables.
const REQUIRED: [(&str, &str); 7] = [
    ("RATTAN_INSTANCE", "entry-1"),
    ("RATTAN_REGION", "almaty"),
    ("RATTAN_FAILURE_DOMAIN", "almaty-1"),
    ("RATTAN_KV_ENDPOINTS", "127.0.0.1:2379, 127.0.0.1:2380"),
    ("RATTAN_INSTANCE_LIST", "127.0.0.1:2390"),
    (
        "RATTAN_OPERATOR_KEY_DIGESTS",
        "187ff8404a5f567e36bd5e64b263acc15db50af81f2ec07444062d8f9228d123",
    ),
    (
        "RATTAN_PEER_KEYS",
        "sixteen bytes of key, another sixteen bytes",
    ),
];

fn settings(arguments: &[&str], more: &[(&str, &str)]) -> Result<Settings, String> {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let variables = REQUIRED
        .iter()
        .chain(more)
        .map(|(name, value)| (OsString::from(name), OsString::from(value)));
    let flags = Flags::read(&arguments, variables).map_err(|error| error.to_string())?;
    Settings::try_from(flags).map_err(|error| error.to_string())
}

#[test]
fn variables_and_defaults_are_read() {
    let settings = settings(&[], &[("RATTAN_LOG_FORMAT", "json")]).expect("valid");
    assert_eq!(settings.instance, "entry-1");
    assert_eq!(settings.kv_endpoints.len(), 2);
    assert_eq!(settings.log_format, LogFormat::Json);
    assert_eq!(settings.entries_max_age, Duration::from_secs(5));
}

#[test]
fn flags_override_variables() {
    let settings = settings(&["--instance", "entry-2"], &[]).expect("valid");
    assert_eq!(settings.instance, "entry-2");
}

#[test]
fn each_error_names_its_setting() {
    let cases: [(&[&str], &str); 8] = [
        (&["--listen", "nowhere"], "--listen"),
        (&["--instance", ""], "--instance"),
        (&["--instance", "Entry 1"], "--instance"),
        (&["--traffic-threads", "0"], "--traffic-threads"),
        (&["--load-interval-ms", "soon"], "--load-interval-ms"),
        (&["--peer-keys", "short"], "--peer-keys"),
        (&["--operator-key-digests", "abc"], "--operator-key-digests"),
        (&["--colour", "red"], "colour"),
    ];
    for (arguments, named) in cases {
        let message = settings(arguments, &[]).err().expect("invalid");
        assert!(message.contains(named), "{message}");
        assert!(!message.contains('\n'), "{message}");
    }
}

#[test]
fn secrets_are_not_repeated_in_messages() {
    let message = settings(&["--peer-keys", "hidden"], &[]).err();
    assert!(!message.expect("too short").contains("hidden"));
}

#[test]
fn unknown_variables_are_rejected() {
    let message = settings(&[], &[("RATTAN_LISTNE", "127.0.0.1:1")]).err();
    assert!(message.expect("misspelt").contains("RATTAN_LISTNE"));
    assert!(settings(&[], &[("RATTAN_ENTRY", "127.0.0.1:1")]).is_ok());
}

#[test]
fn the_daemon_exits_with_2_and_one_line() {
    let output = Command::new(env!("CARGO_BIN_EXE_rattand"))
        .env_clear()
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.code(), Some(2));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(message.lines().count(), 1, "{message}");
    assert!(message.contains("--instance is missing"), "{message}");
}

proptest! {
    #[test]
    fn any_value_is_parsed_or_rejected(flag in 0..23_usize, value in "\\PC{0,40}") {
        let names = [
            "instance", "region", "failure-domain", "listen", "peer-listen", "kv-endpoints",
            "kv-timeout-ms", "instance-list", "operator-key-digests", "peer-keys", "log-format",
            "log-level", "metrics", "traffic-threads", "max-body-bytes", "max-connections",
            "head-timeout-ms", "body-timeout-ms", "service-timeout-ms", "entries-max-age-ms",
            "load-interval-ms", "order-lease-ms", "routing-policy",
        ];
        let argument = format!("--{}={value}", names[flag]);
        let _ = settings(&[&argument], &[]);
    }
}
