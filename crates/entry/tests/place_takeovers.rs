//! When a takeover of a silent instance's places is logged.

use entry::{TakeoverChange, Takeovers};

fn change(owner: &str, has_begun: bool, places_count: usize) -> TakeoverChange {
    TakeoverChange {
        owner: owner.to_owned(),
        has_begun,
        places_count,
    }
}

fn owners(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against a log line at each check, and against an end that is not logged.
#[test]
fn takeover_is_reported_once_when_it_begins_and_when_it_ends() {
    let mut takeovers = Takeovers::default();
    assert_eq!(takeovers.update(owners(&[])), []);
    let begun = takeovers.update(owners(&["b", "b", "a"]));
    assert_eq!(begun, [change("a", true, 1), change("b", true, 2)]);
    assert_eq!(takeovers.update(owners(&["b", "a"])), []);
    let changed = takeovers.update(owners(&["b", "c"]));
    assert_eq!(changed, [change("a", false, 1), change("c", true, 1)]);
    let ended = takeovers.update(owners(&[]));
    assert_eq!(ended, [change("b", false, 1), change("c", false, 1)]);
}
