//! When a target counts as leaving and when its listing is fresh.

use {
    catalog::{Labels, Target, TargetKind},
    fleet::{ListedState, TargetView},
    std::time::{Duration, Instant},
    target::LoadReport,
};

fn view() -> TargetView {
    TargetView::new(&Target {
        name: "engine-1".to_owned(),
        kind: TargetKind::Engine,
        address: ([127, 0, 0, 1], 1).into(),
        region: "r".to_owned(),
        failure_domain: "d".to_owned(),
        labels: Labels::new(),
        leaving: false,
        checks_fencing: false,
        max_running_count: 1,
        link_bytes_per_s: 1,
        capacity_bytes: 0,
        service: String::new(),
        calls: Vec::new(),
    })
}

fn report(leaving: bool, age_ms: u64) -> LoadReport {
    LoadReport {
        leaving,
        age_ms,
        ..LoadReport::default()
    }
}

#[test]
fn a_report_older_than_the_refusal_does_not_clear_it() {
    let (view, refused_at) = (view(), Instant::now());
    view.mark_refused_leaving(refused_at);
    view.set_report(report(false, 900), refused_at + Duration::from_millis(500));
    assert!(view.is_leaving());
    view.set_report(report(false, 400), refused_at + Duration::from_millis(500));
    assert!(!view.is_leaving());
    view.set_report(report(true, 0), refused_at + Duration::from_secs(1));
    assert!(view.is_leaving());
}

#[test]
fn a_target_gone_from_the_list_is_leaving_until_listed_again() {
    let (view, now) = (view(), Instant::now());
    view.set_listed(ListedState::Absent, now);
    assert!(
        !view.is_leaving(),
        "a target may be missing from the list for good"
    );
    for gone in [ListedState::Leaving, ListedState::Absent] {
        view.set_listed(ListedState::Live, now);
        assert!(!view.is_leaving());
        view.set_listed(gone, now);
        view.set_listed(ListedState::Absent, now);
        assert!(view.is_leaving());
    }
}

#[test]
fn a_listing_is_fresh_for_three_seconds() {
    let (view, now) = (view(), Instant::now());
    assert!(view.is_listing_fresh(now));
    view.set_listed(ListedState::Live, now);
    assert!(view.is_listing_fresh(now + Duration::from_millis(2_900)));
    assert!(!view.is_listing_fresh(now + Duration::from_secs(3)));
}
