//! Parts of replaced weights are withdrawn from the reports of a store, and freed only once no
//! instance can act on a report from before.

use {
    entry::{
        HeldPart, PartsBySalt,
        obsolete_parts::{FREE_DELAY, is_obsolete},
    },
    parts::{MAX_FETCH_TIME, MAX_REPORT_AGE},
    proptest::prelude::*,
    relay::WantedVersions,
    std::{collections::HashMap, time::Duration},
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Version 2 was requested at second 100.
fn wanted() -> WantedVersions {
    let mut wanted = WantedVersions::default();
    wanted.add(2, Some(at(100)), at(100));
    wanted
}

fn held(salt: &str, id: &str, tokens: u32) -> HeldPart {
    HeldPart {
        salt: salt.to_owned(),
        id: id.to_owned(),
        tokens,
        model: "m".to_owned(),
    }
}

#[test]
fn parts_of_replaced_weights_are_obsolete_once_calls_no_longer_use_them() {
    let wanted = wanted();
    let obsolete_at = at(106);
    let just_before = obsolete_at.saturating_sub(Duration::from_millis(1));
    assert!(!is_obsolete("1", &wanted, just_before));
    assert!(wanted.uses_parts_of(1, just_before));
    assert!(is_obsolete("1", &wanted, obsolete_at));
    assert!(!wanted.uses_parts_of(1, obsolete_at));
    assert!(is_obsolete("1/isolated-account", &wanted, obsolete_at));
}

#[test]
fn parts_of_wanted_weights_and_foreign_salts_are_never_obsolete() {
    let wanted = wanted();
    for salt in ["2", "3", "2/isolated-account", "", "somebody's", "-1"] {
        assert!(!is_obsolete(salt, &wanted, at(10_000)), "{salt}");
    }
    assert!(
        !is_obsolete("1", &WantedVersions::default(), at(10_000)),
        "no version was named"
    );
}

#[test]
fn newer_version_does_not_prolong_the_use_of_parts_replaced_before() {
    let mut wanted = wanted();
    wanted.add(3, Some(at(104)), at(104));
    assert!(is_obsolete("1", &wanted, at(106)));
    assert!(!is_obsolete("2", &wanted, at(109)));
    assert!(is_obsolete("2", &wanted, at(110)));
}

#[test]
fn delay_counts_from_the_withdrawal_however_old_the_version_is() {
    let mut parts = PartsBySalt::default();
    parts.set(&held("1", "session", 64));
    let wanted = wanted();
    let withdrawn_at = at(500);
    let withdrawn = parts.withdraw(withdrawn_at, |_, salt| {
        is_obsolete(salt, &wanted, withdrawn_at)
    });
    assert_eq!(withdrawn, [held("1", "session", 64)]);
    assert_eq!(
        parts
            .withdrawn_by(withdrawn_at.saturating_sub(Duration::from_millis(1)))
            .count(),
        0
    );
    assert_eq!(parts.withdrawn_by(withdrawn_at).count(), 1);
    assert!(
        parts.withdraw(at(501), |_, _| true).is_empty(),
        "withdrawn once"
    );
}

#[test]
fn part_that_is_saved_after_its_group_was_withdrawn_is_not_reported() {
    let mut parts = PartsBySalt::default();
    parts.set(&held("1", "session", 64));
    parts.withdraw(at(1), |_, _| true);
    assert!(parts.is_withdrawn(&held("1", "late", 64)));
    assert!(!parts.is_withdrawn(&held("2", "late", 64)));
}

#[test]
fn reports_fetches_and_clocks_fit_into_the_delay() {
    assert!(FREE_DELAY > MAX_REPORT_AGE + MAX_FETCH_TIME);
}

/// What happens at a store that one instance follows.
#[derive(Clone, Debug)]
enum Step {
    /// The store reports a part of one of two salts.
    Save { salt: u8, id: u8 },
    /// The parts of a salt become obsolete.
    Replace { salt: u8 },
    /// Time passes, in milliseconds.
    Wait { ms: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u8..2, 0_u8..4).prop_map(|(salt, id)| Step::Save { salt, id }),
        (0_u8..2).prop_map(|salt| Step::Replace { salt }),
        (0_u16..4_000).prop_map(|ms| Step::Wait { ms }),
    ]
}

proptest! {
    /// A reader acts on a report for [`MAX_REPORT_AGE`], and what it begins then takes up to
    /// [`MAX_FETCH_TIME`].
    #[test]
    fn part_is_never_freed_while_a_reader_may_fetch_it(steps in prop::collection::vec(step(), 1..60)) {
        let mut parts = PartsBySalt::default();
        let mut replaced = [false; 2];
        let mut now = at(100);
        // When each part was last reported as held.
        let mut last_reported: HashMap<(String, String), Duration> = HashMap::new();
        let mut reported: HashMap<(String, String), bool> = HashMap::new();
        for step in steps {
            match step {
                Step::Save { salt, id } => {
                    let part = held(&salt.to_string(), &id.to_string(), 64);
                    let key = (part.salt.clone(), part.id.clone());
                    if !parts.is_withdrawn(&part) {
                        reported.insert(key, true);
                    }
                    parts.set(&part);
                }
                Step::Replace { salt } => replaced[usize::from(salt)] = true,
                Step::Wait { ms } => now += Duration::from_millis(ms.into()),
            }
            for (key, _) in reported.iter().filter(|(_, is_held)| **is_held) {
                last_reported.insert(key.clone(), now);
            }
            let withdrawn = parts.withdraw(now, |_, salt| replaced[salt.parse::<usize>().unwrap()]);
            for part in withdrawn {
                reported.insert((part.salt, part.id), false);
            }
            let Some(cutoff) = now.checked_sub(FREE_DELAY) else { continue };
            let freed: Vec<HeldPart> = parts.withdrawn_by(cutoff).collect();
            for part in freed {
                let key = (part.salt.clone(), part.id.clone());
                if let Some(at) = last_reported.get(&key) {
                    prop_assert!(now >= *at + MAX_REPORT_AGE + MAX_FETCH_TIME);
                }
                parts.set(&HeldPart { tokens: 0, ..part });
                reported.remove(&key);
                last_reported.remove(&key);
            }
        }
    }
}
