//! What an aggregator tells others of the instances that it reads.

use {
    balance::TargetLoad,
    feed::{MergedReports, Scope, SourceReport},
    parts::LinkUse,
    proptest::prelude::*,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn store() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn load(target_seed: u64, calls_count: u32) -> TargetLoad {
    TargetLoad {
        target_seed,
        calls_count,
        tokens_count: 100 * u64::from(calls_count),
        unread_tokens_count: 40 * u64::from(calls_count),
    }
}

fn report(loads: Vec<TargetLoad>, link_use_ms: u64) -> SourceReport {
    SourceReport {
        loads,
        instances_count: 1,
        link_use: vec![(store(), Duration::from_millis(link_use_ms))],
        silent_instances: Vec::new(),
    }
}

fn link_use_ms(link_use: &[LinkUse]) -> Vec<u128> {
    link_use.iter().map(|(_, time)| time.as_millis()).collect()
}

/// Guards against a reader that counts its own calls or transfers twice.
#[test]
fn reader_is_left_out() {
    let mut reports = MergedReports::default();
    for (name, calls_count) in [("a", 2), ("b", 5)] {
        reports.set(
            name,
            Scope::Domain,
            report(vec![load(7, calls_count)], 0),
            NOW,
        );
        reports.set(
            name,
            Scope::Domain,
            report(vec![load(7, calls_count)], 40),
            NOW,
        );
    }
    let own = [load(7, 1)];
    assert_eq!(reports.loads("a", Scope::All, &own), (vec![load(7, 6)], 2));
    assert_eq!(reports.loads("c", Scope::All, &own), (vec![load(7, 8)], 3));
    assert_eq!(link_use_ms(&reports.link_use("a", Scope::All, &[])), [40]);
    assert_eq!(link_use_ms(&reports.link_use("c", Scope::All, &[])), [80]);
}

/// Guards against loads that two failure domains pass to each other in a circle.
#[test]
fn domain_scope_leaves_out_other_domains() {
    let mut reports = MergedReports::default();
    let merged = SourceReport {
        instances_count: 40,
        silent_instances: vec![("gone".to_owned(), Duration::from_secs(2))],
        ..report(vec![load(7, 30)], 0)
    };
    reports.set("far", Scope::All, merged, NOW);
    reports.set("near", Scope::Domain, report(vec![load(7, 1)], 0), NOW);
    assert_eq!(
        reports.loads("x", Scope::Domain, &[]),
        (vec![load(7, 1)], 2)
    );
    assert_eq!(reports.loads("x", Scope::All, &[]), (vec![load(7, 31)], 42));
    assert!(reports.silent_instances(Scope::Domain, NOW).is_empty());
    let silent = reports.silent_instances(Scope::All, NOW + Duration::from_millis(100));
    assert_eq!(silent, [("gone".to_owned(), Duration::from_millis(2_100))]);
}

/// Guards against transfers from before the first report, most of which have ended, and against a jump
/// when an instance has restarted.
#[test]
fn link_use_counts_from_the_first_report_on() {
    let mut reports = MergedReports::default();
    let mut set = |link_use_ms| {
        reports.set("a", Scope::Domain, report(Vec::new(), link_use_ms), NOW);
        reports.link_use("x", Scope::All, &[])
    };
    let totals = [9_000, 9_050, 20, 60].map(|it| link_use_ms(&set(it))[0]);
    assert_eq!(totals, [0, 50, 50, 90]);
}

#[test]
fn instance_that_does_not_answer_is_silent_and_not_covered() {
    let mut reports = MergedReports::default();
    reports.set("a", Scope::Domain, report(vec![load(7, 1)], 0), NOW);
    reports.add_source("b", Scope::Domain, NOW);
    reports.set_unread("a");
    assert_eq!(reports.loads("x", Scope::All, &[]), (Vec::new(), 1));
    let silence = Duration::from_secs(2);
    let silent = reports.silent_instances(Scope::Domain, NOW + silence);
    assert_eq!(silent, ["a", "b"].map(|it| (it.to_owned(), silence)));
}

proptest! {
    #[test]
    fn sum_is_that_of_the_latest_reports(
        given in prop::collection::vec((0_usize..6, prop::collection::vec((0_u64..5, 1_u32..20), 0..4)), 0..30),
        reader in 0_usize..6,
    ) {
        let name = |index: usize| format!("entry-{index}");
        let mut reports = MergedReports::default();
        let mut latest = BTreeMap::new();
        for (index, loads) in given {
            let loads: BTreeMap<u64, u32> = loads.into_iter().collect();
            let listed = loads.iter().map(|(seed, count)| load(*seed, *count)).collect();
            reports.set(&name(index), Scope::Domain, report(listed, 0), NOW);
            latest.insert(index, loads);
        }
        latest.remove(&reader);
        let (mut sums, instances_count) = reports.loads(&name(reader), Scope::All, &[]);
        sums.sort_by_key(|it| it.target_seed);
        let mut expected: BTreeMap<u64, u32> = BTreeMap::new();
        for (seed, count) in latest.values().flatten() {
            *expected.entry(*seed).or_default() += count;
        }
        let expected: Vec<_> = expected.into_iter().map(|(seed, count)| load(seed, count)).collect();
        prop_assert_eq!(sums, expected);
        prop_assert_eq!(instances_count as usize, latest.len() + 1);
    }
}
