//! Which source an instance follows the key-value service through, by explicit times.

use {
    entry::{Aggregator, FOLLOW_TIMEOUT, MAX_FOLLOWED_AGE, RETRY_PERIOD, Source, SourceChoice},
    std::time::Duration,
};

/// Time within which an accepted change must be in force.
const APPLY_BOUND: Duration = Duration::from_secs(3);
/// Time of an exchange that does not wait.
const ROUND_TRIP: Duration = Duration::from_millis(5);

fn aggregator(name: &str) -> Aggregator {
    Aggregator {
        name: name.to_owned(),
        feed: ([127, 0, 0, 1], 9_000).into(),
    }
}

fn aggregators(names: &[&str]) -> Vec<Aggregator> {
    names.iter().map(|name| aggregator(name)).collect()
}

fn member() -> SourceChoice {
    let mut choice = SourceChoice::default();
    choice.set_aggregators(false, aggregators(&["first", "second"]), Vec::new());
    choice
}

fn through(name: &str) -> Source {
    Source::Aggregator(aggregator(name))
}

fn ms(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}

/// Guards against a hop in deployments that have no aggregators.
#[test]
fn instance_without_aggregators_always_watches_the_service() {
    let mut choice = SourceChoice::default();
    choice.set_aggregators(false, Vec::new(), Vec::new());
    choice.service_failed(ms(100));
    choice.service_reached(ms(200));
    assert_eq!(choice.source(), Source::Service);
    assert_eq!(choice.trial(ms(100_000)), None);
    assert!(!choice.has_aggregators());
}

#[test]
fn aggregator_watches_the_service_and_members_follow_it() {
    let mut choice = SourceChoice::default();
    choice.set_aggregators(true, aggregators(&["second"]), Vec::new());
    assert_eq!(choice.source(), Source::Service);
    assert_eq!(member().source(), through("first"));
}

/// Guards against members of one that follows others itself: chains would add up ages.
#[test]
fn member_that_becomes_an_aggregator_watches_the_service() {
    let mut choice = member();
    choice.set_aggregators(true, aggregators(&["second"]), Vec::new());
    assert_eq!(choice.source(), Source::Service);
    choice.set_aggregators(false, aggregators(&["second", "third"]), Vec::new());
    assert_eq!(choice.source(), through("second"));
}

#[test]
fn failed_aggregator_is_replaced_by_the_other_one() {
    let mut choice = member();
    choice.aggregator_failed(ms(900), ms(1_000));
    assert_eq!(choice.source(), through("second"));
    assert!(choice.aggregator_answered(ms(1_000), ms(1_100)));
    assert_eq!(choice.source(), through("second"), "no change without need");
}

/// Guards against a fallback of all members at once when new aggregators have been selected that
/// don't watch the service yet.
#[test]
fn aggregators_are_tried_in_turn_while_the_last_confirmation_is_recent() {
    let mut choice = member();
    for name in ["second", "first", "second"] {
        choice.aggregator_failed(ms(1_000), ms(1_000) + MAX_FOLLOWED_AGE);
        assert_eq!(choice.source(), through(name));
    }
    assert!(choice.have_all_failed());
    choice.aggregator_failed(ms(1_000), ms(1_001) + MAX_FOLLOWED_AGE);
    assert_eq!(choice.source(), Source::Service);
}

/// Guards against an aggregator that goes on answering while it can't reach the service.
#[test]
fn aggregator_with_too_old_a_confirmation_counts_as_failed() {
    let mut choice = member();
    let (confirmed_at, now) = (ms(10_000), ms(10_000) + MAX_FOLLOWED_AGE);
    assert!(choice.aggregator_answered(confirmed_at, now));
    assert!(!choice.aggregator_answered(confirmed_at, now + ms(1)));
    assert_eq!(choice.source(), through("second"));
    assert!(!choice.aggregator_answered(confirmed_at, now + ms(1)));
    assert_eq!(choice.source(), Source::Service);
}

#[test]
fn aggregators_are_tried_again_beside_the_own_watch() {
    let mut choice = member();
    let almost = ms(2_999);
    let fell_back_at = ms(5_000);
    choice.aggregator_failed(ms(0), fell_back_at);
    choice.aggregator_failed(ms(0), fell_back_at);
    assert!(choice.is_fallback());
    assert_eq!(choice.trial(fell_back_at + almost), None);
    let retry_at = fell_back_at + RETRY_PERIOD;
    assert_eq!(choice.trial(retry_at), Some(&aggregator("first")));
    choice.trial_ended("first", false, retry_at);
    assert_eq!(choice.source(), Source::Service);
    assert_eq!(choice.trial(retry_at + almost), None);
    let retry_at = retry_at + RETRY_PERIOD;
    assert_eq!(choice.trial(retry_at), Some(&aggregator("second")));
    choice.trial_ended("second", true, retry_at);
    assert_eq!(choice.source(), through("second"));
}

/// Guards against members that stay without an aggregator for longer than needed.
#[test]
fn newly_selected_aggregator_is_tried_at_once() {
    let mut choice = member();
    choice.aggregator_failed(ms(0), ms(5_000));
    choice.aggregator_failed(ms(0), ms(5_000));
    choice.set_aggregators(false, aggregators(&["first", "second"]), Vec::new());
    assert_eq!(choice.trial(ms(5_100)), None, "the same ones");
    choice.set_aggregators(false, aggregators(&["third", "second"]), Vec::new());
    assert_eq!(choice.trial(ms(5_100)), Some(&aggregator("third")));
}

#[test]
fn instance_that_can_not_reach_the_service_goes_on_through_an_aggregator() {
    let mut choice = member();
    choice.aggregator_failed(ms(0), ms(5_000));
    choice.aggregator_failed(ms(0), ms(5_000));
    choice.service_failed(ms(5_100));
    assert_eq!(choice.source(), through("first"));
}

/// Guards against an aggregator that is cut off from the service and keeps to old state for that.
#[test]
fn aggregator_that_can_not_reach_the_service_follows_the_other_one_for_a_while() {
    let mut choice = SourceChoice::default();
    choice.set_aggregators(true, aggregators(&["second"]), Vec::new());
    choice.service_failed(ms(1_000));
    assert_eq!(choice.source(), through("second"));
    choice.service_reached(ms(1_000) + ms(2_999));
    assert_eq!(
        choice.source(),
        through("second"),
        "the lease was not yet renewed since"
    );
    choice.service_reached(ms(1_000) + RETRY_PERIOD);
    assert_eq!(choice.source(), Source::Service);
    choice.service_failed(ms(6_000));
    choice.aggregator_failed(ms(2_000), ms(6_100));
    assert_eq!(choice.source(), Source::Service, "nobody else serves it");
}

fn cut_off_member() -> SourceChoice {
    let mut choice = SourceChoice::default();
    let (near, remote) = (aggregators(&["first", "second"]), aggregators(&["third"]));
    choice.set_aggregators(false, near, remote);
    for now in [ms(5_000), ms(5_100)] {
        choice.aggregator_failed(ms(0), now);
    }
    assert_eq!(
        choice.source(),
        Source::Service,
        "not those of other domains at first"
    );
    choice.service_failed(ms(5_200));
    for now in [ms(5_300), ms(5_400)] {
        choice.aggregator_failed(ms(0), now);
    }
    choice
}

/// Guards against instances without news since they and the aggregators of their domain are cut off
/// from the service.
#[test]
fn aggregator_of_another_domain_serves_an_instance_that_nobody_else_does() {
    let mut choice = cut_off_member();
    assert_eq!(choice.source(), through("third"));
    assert!(choice.aggregator_answered(ms(5_400), ms(5_500)));
    choice.service_reached(ms(5_600));
    assert_eq!(
        choice.source(),
        through("third"),
        "the lease was not yet renewed since"
    );
    choice.service_reached(ms(5_200) + RETRY_PERIOD);
    assert_eq!(choice.source(), through("first"));
    choice.aggregator_failed(ms(0), ms(9_000));
    choice.aggregator_failed(ms(0), ms(9_000));
    assert_eq!(choice.source(), Source::Service);
}

/// Guards against traffic between domains that is not needed any more.
#[test]
fn newly_selected_aggregator_replaces_that_of_another_domain() {
    let mut choice = cut_off_member();
    let (near, remote) = (aggregators(&["first", "second"]), aggregators(&["third"]));
    choice.set_aggregators(false, near, remote.clone());
    assert_eq!(choice.source(), through("third"), "nothing has changed");
    choice.set_aggregators(false, aggregators(&["fourth", "second"]), remote);
    assert_eq!(choice.source(), through("fourth"));
}

#[test]
fn present_aggregator_is_kept_while_it_is_selected() {
    let mut choice = member();
    choice.aggregator_failed(ms(900), ms(1_000));
    choice.set_aggregators(false, aggregators(&["third", "second"]), Vec::new());
    assert_eq!(choice.source(), through("second"));
    choice.set_aggregators(false, aggregators(&["third", "fourth"]), Vec::new());
    assert_eq!(choice.source(), through("third"));
    choice.set_aggregators(false, Vec::new(), Vec::new());
    assert_eq!(choice.source(), Source::Service);
}

/// How an aggregator fails from time zero on, when the state of its members is fully current.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Requests time out.
    Silent,
    /// Connections are refused.
    Gone,
    /// It answers, with the confirmation of time zero.
    CutOff,
}

/// Returns when a member watches the service itself if both of its aggregators fail at time zero.
fn fallback_time(failures: [Failure; 2]) -> Duration {
    let mut choice = member();
    let mut now = Duration::ZERO;
    let mut wait = Duration::ZERO;
    let mut asked = choice.source();
    while let Source::Aggregator(current) = choice.source() {
        if asked != choice.source() {
            // The first request to another aggregator does not wait.
            wait = Duration::ZERO;
            asked = choice.source();
        }
        let failure = failures[usize::from(current.name == "second")];
        match failure {
            Failure::Silent => now += FOLLOW_TIMEOUT,
            Failure::Gone => now += ROUND_TRIP,
            Failure::CutOff => now += ROUND_TRIP + wait,
        }
        wait = SourceChoice::follow_wait(Duration::ZERO, now);
        match failure {
            Failure::CutOff => drop(choice.aggregator_answered(Duration::ZERO, now)),
            Failure::Silent | Failure::Gone => choice.aggregator_failed(Duration::ZERO, now),
        }
        if choice.have_all_failed() {
            now += ms(150);
        }
        assert!(now < APPLY_BOUND, "{failures:?}");
    }
    now
}

/// Guards against a change that is not in force in time since both aggregators fail just before it.
#[test]
fn member_watches_the_service_well_before_a_change_must_be_in_force() {
    let kinds = [Failure::Silent, Failure::Gone, Failure::CutOff];
    for first in kinds {
        for second in kinds {
            let time = fallback_time([first, second]);
            assert!(time <= ms(2_200), "{first:?}, {second:?}: {time:?}");
        }
    }
}
