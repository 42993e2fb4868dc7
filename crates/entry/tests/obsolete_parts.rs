//! Parts are freed only once no instance can read them any more.

use {
    entry::obsolete_parts::{OBSOLETE_AGE, is_obsolete},
    relay::WantedVersions,
    std::time::Duration,
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn wanted() -> WantedVersions {
    let mut wanted = WantedVersions::default();
    wanted.add(2, Some(at(100)), at(100));
    wanted
}

#[test]
fn parts_of_replaced_weights_are_freed_after_the_last_reader() {
    let wanted = wanted();
    let obsolete_at = at(100) + OBSOLETE_AGE;
    assert!(!is_obsolete(
        "1",
        &wanted,
        obsolete_at.saturating_sub(Duration::from_millis(1))
    ));
    assert!(is_obsolete("1", &wanted, obsolete_at));
    assert!(is_obsolete("1/isolated-account", &wanted, obsolete_at));
}

#[test]
fn age_counts_from_when_this_instance_learned_of_the_version() {
    for since in [None, Some(at(76))] {
        let mut wanted = WantedVersions::default();
        wanted.add(2, since, at(100));
        let too_early = at(99) + OBSOLETE_AGE;
        assert!(!is_obsolete("1", &wanted, too_early), "{since:?}");
        assert!(is_obsolete("1", &wanted, at(100) + OBSOLETE_AGE));
    }
}

#[test]
fn parts_of_wanted_weights_and_foreign_salts_are_never_freed() {
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
fn newer_version_restarts_the_age() {
    let mut wanted = wanted();
    wanted.add(3, Some(at(110)), at(110));
    assert!(!is_obsolete("1", &wanted, at(100) + OBSOLETE_AGE));
    assert!(is_obsolete("1", &wanted, at(110) + OBSOLETE_AGE));
}
