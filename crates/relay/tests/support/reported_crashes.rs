//! What a relay reports of crashes.

use {
    super::TestRelay,
    quarantine::{ReportedSuspect, SuspectKey},
    relay::boot_time,
    std::time::Duration,
    tokio::time::sleep,
};

/// Time between two looks at the reports.
const LOOK_PERIOD: Duration = Duration::from_millis(200);
/// Number of looks after which nothing more is expected to be reported.
const MAX_LOOKS_COUNT: usize = 20;

/// What the relay reports, each with the crash. Returns as soon as something is reported.
pub async fn reported_suspects(relay: &TestRelay) -> Vec<ReportedSuspect> {
    for _ in 0..MAX_LOOKS_COUNT {
        sleep(LOOK_PERIOD).await;
        let later = boot_time() + Duration::from_secs(1);
        let reports = relay.suspect_reports.take_due_crashes(later).into_iter();
        let suspects: Vec<ReportedSuspect> = reports.flat_map(|it| it.suspects).collect();
        if !suspects.is_empty() {
            return suspects;
        }
    }
    Vec::new()
}

/// Ids of the parts that the relay reports, each with the crash.
pub async fn reported_parts(relay: &TestRelay) -> Vec<String> {
    let suspects = reported_suspects(relay).await.into_iter();
    let parts = suspects.filter(|it| matches!(it.key, SuspectKey::Part(_)));
    parts.map(|it| it.label).collect()
}

/// Labels of the calls that the relay reports, each with the crash.
pub async fn reported_calls(relay: &TestRelay) -> Vec<String> {
    let suspects = reported_suspects(relay).await.into_iter();
    let calls = suspects.filter(|it| matches!(it.key, SuspectKey::Call(_)));
    calls.map(|it| it.label).collect()
}
