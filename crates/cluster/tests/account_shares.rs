//! Guards against instances that together grant more than the limits of a client account.

mod support;

use {
    cluster::{AccountShares, Member, Members},
    proptest::prelude::*,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::member,
};

const ACCOUNT: &str = "tasboulak";
const DOMAINS_COUNT: u16 = 3;
/// Part that starting instances may add until all others have heard of them.
const MAX_EXCESS: f64 = 0.2;
const ROUNDING: f64 = 1e-9;
/// Cases of the test that plays instances with views of different age, which takes longest.
const HISTORIES_COUNT: u32 = 40;

fn view(members: &[Member], region: &str) -> Arc<Members> {
    Arc::new(Members::new(region.to_owned(), members.to_vec()))
}

fn members(count: u16, regions_count: u16) -> Vec<Member> {
    let in_region = |index: u16| Member {
        region: format!("region-{}", index % regions_count),
        ..member(index, DOMAINS_COUNT)
    };
    (0..count).map(in_region).collect()
}

/// Shares of instances with the same view after the delay.
fn settled_shares(members: &[Member]) -> Vec<f64> {
    let start = Instant::now();
    let share = |own: &Member| {
        let view = view(members, &own.region);
        let shares = AccountShares::new(&own.instance, view, start);
        shares.share(ACCOUNT, start + Duration::from_secs(2))
    };
    members.iter().map(share).collect()
}

#[test]
fn parts_add_up_to_the_limits() {
    for count in [1, 5, 31, 78, 320] {
        let total: f64 = settled_shares(&members(count, 1)).iter().sum();
        assert!((total - 1.0).abs() < ROUNDING, "{count}: {total}");
    }
}

#[test]
fn the_instances_that_callers_use_grant_most() {
    for count in [1, 5, 31, 78, 320] {
        let members = members(count, 1);
        let shares = settled_shares(&members);
        let view = view(&members, "region-0");
        let listed = view.entry_instances_for(ACCOUNT);
        let share_of = |entry: &Member| {
            let index = members.iter().position(|it| it.instance == entry.instance);
            shares[index.unwrap()]
        };
        assert!(share_of(listed[0]) >= 0.6, "{count}");
        assert!(
            listed.get(1).is_none_or(|second| share_of(second) >= 0.2),
            "{count}"
        );
    }
}

#[test]
fn starting_instance_grants_little_until_others_have_heard_of_it() {
    let start = Instant::now();
    for own in members(2, 1) {
        let shares = AccountShares::new(&own.instance, view(&members(2, 1), "region-0"), start);
        let share = shares.share(ACCOUNT, start + Duration::from_millis(1_999));
        assert!((share - 0.1).abs() < ROUNDING, "{share}");
    }
}

#[test]
fn smaller_part_counts_at_once_and_a_larger_one_after_others_have_given_it_up() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let both = members(2, 1);
    let (alone, together) = (view(&both[..1], "region-0"), view(&both, "region-0"));
    let mut shares = AccountShares::new(&both[0].instance, alone.clone(), start);
    let is_near = |share: f64, wanted: f64| (share - wanted).abs() < ROUNDING;
    assert!(is_near(shares.share(ACCOUNT, at(2_000)), 1.0));
    shares.update(&together, at(3_000));
    let of_both = shares.share(ACCOUNT, at(3_000));
    assert!(is_near(of_both, 0.7) || is_near(of_both, 0.3), "{of_both}");
    shares.update(&alone, at(6_000));
    assert!(is_near(shares.share(ACCOUNT, at(7_999)), of_both));
    shares.update(&alone, at(8_000));
    assert!(is_near(shares.share(ACCOUNT, at(8_000)), 1.0));
}

proptest! {
    #[test]
    fn instances_of_several_regions_grant_no_more_than_the_limits(
        count in 1_u16..330,
        regions_count in 1_u16..5,
    ) {
        let total: f64 = settled_shares(&members(count, regions_count)).iter().sum();
        prop_assert!(total <= 1.0 + ROUNDING, "{total}");
        prop_assert!(total >= 0.79, "{total}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(HISTORIES_COUNT))]

    /// Instances that start and stop, each noticed by each other instance within the delay.
    #[test]
    fn instances_with_views_of_different_age_grant_little_more(
        count in 2_u16..60,
        changes in prop::collection::vec((any::<prop::sample::Index>(), 0_u64..4_000), 1..12),
        delays_ms in prop::collection::vec(0_u64..1_900, 60),
    ) {
        let all = members(count, 1);
        let start = Instant::now();
        let mut present = vec![true; all.len()];
        let mut history = vec![(0, view(&all, "region-0"), present.clone())];
        let mut now_ms = 10_000;
        for (index, pause_ms) in changes {
            now_ms += pause_ms;
            let index = index.index(all.len());
            present[index] = !present[index];
            let there = all.iter().zip(&present).filter(|(_, is_there)| **is_there);
            let there: Vec<Member> = there.map(|(member, _)| member.clone()).collect();
            history.push((now_ms, view(&there, "region-0"), present.clone()));
        }
        let state_at = |at_ms: u64| history.iter().rev().find(|(since, ..)| *since <= at_ms).unwrap();
        let mut shares: Vec<Option<AccountShares>> = vec![None; all.len()];
        for at_ms in (5_000..now_ms + 6_000).step_by(100) {
            let now = start + Duration::from_millis(at_ms);
            let (_, current, is_present) = state_at(at_ms);
            let mut total = 0.0;
            for (index, own) in all.iter().enumerate() {
                if !is_present[index] {
                    shares[index] = None;
                    continue;
                }
                // An instance that has just started has read the list.
                let own_shares = shares[index]
                    .get_or_insert_with(|| AccountShares::new(&own.instance, current.clone(), now));
                let (_, seen, _) = state_at(at_ms - delays_ms[index]);
                if seen.get(&own.instance).is_some() {
                    own_shares.update(seen, now);
                }
                total += own_shares.share(ACCOUNT, now);
            }
            let is_agreed = history.iter().all(|(since, ..)| at_ms.abs_diff(*since) > 4_000 || *since > at_ms);
            let allowed = if is_agreed { 1.0 } else { 1.0 + MAX_EXCESS };
            prop_assert!(total <= allowed + ROUNDING, "{total} at {at_ms}");
        }
    }
}
