//! Settings and traffic of the daemons that are measured.

use {
    crate::support::test_system::{TestSystem, TestSystemSettings},
    std::{env, io, path::PathBuf},
};

/// Settings with the daemon's binary from the build directory of this example, and with relays in
/// front of all stand-ins that count bytes.
pub fn settings() -> io::Result<TestSystemSettings> {
    let example = env::current_exe()?;
    let folder = example.parent().and_then(|folder| folder.parent());
    let binary: PathBuf = folder.ok_or(io::ErrorKind::NotFound)?.join("rattand");
    let mut settings = TestSystemSettings::new(binary);
    settings.relayed = true;
    Ok(settings)
}

/// Bytes that the daemons have exchanged with the key-value service, the instance list and the
/// engines.
pub fn relayed_bytes(system: &TestSystem) -> [f64; 3] {
    let bytes = |relays: &[standin::Server<standin::relay::Relay>]| {
        relays
            .iter()
            .map(|relay| relay.role().passed_bytes())
            .sum::<u64>() as f64
    };
    [
        bytes(&system.relays[..1]),
        bytes(&system.relays[1..2]),
        bytes(&system.relays[2..]),
    ]
}
