//! Parts are freed only once nobody can read them any more.

use {
    entry::obsolete_parts::{OBSOLETE_AGE, is_obsolete},
    relay::Wanted,
    std::time::Duration,
};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn wanted() -> Wanted {
    let mut wanted = Wanted::default();
    wanted.name(2, Some(at(100)), at(100));
    wanted
}

#[test]
fn parts_of_replaced_weights_are_freed_after_every_reader_has_let_go() {
    let wanted = wanted();
    let late = at(100) + OBSOLETE_AGE;
    assert!(!is_obsolete(
        "1",
        &wanted,
        late.saturating_sub(Duration::from_millis(1))
    ));
    assert!(is_obsolete("1", &wanted, late));
    assert!(is_obsolete("1/isolated-account", &wanted, late));
}

#[test]
fn parts_are_freed_by_when_the_version_was_heard_of_not_by_when_it_was_named() {
    for since in [None, Some(at(76))] {
        let mut wanted = Wanted::default();
        wanted.name(2, since, at(100));
        let early = at(99) + OBSOLETE_AGE;
        assert!(!is_obsolete("1", &wanted, early), "{since:?}");
        assert!(is_obsolete("1", &wanted, at(100) + OBSOLETE_AGE));
    }
}

#[test]
fn parts_of_wanted_weights_and_of_others_are_never_freed() {
    let wanted = wanted();
    for salt in ["2", "3", "2/isolated-account", "", "somebody's", "-1"] {
        assert!(!is_obsolete(salt, &wanted, at(10_000)), "{salt}");
    }
    assert!(
        !is_obsolete("1", &Wanted::default(), at(10_000)),
        "none named"
    );
}

#[test]
fn each_newer_version_starts_the_time_anew() {
    let mut wanted = wanted();
    wanted.name(3, Some(at(110)), at(110));
    assert!(!is_obsolete("1", &wanted, at(100) + OBSOLETE_AGE));
    assert!(is_obsolete("1", &wanted, at(110) + OBSOLETE_AGE));
}
