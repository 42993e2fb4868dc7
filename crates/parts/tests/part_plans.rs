//! Plans of what a call fetches and saves, depending on what stores and engines report.

use {
    parts::{
        CachedPart, Change, MAX_FETCH_TIME, MAX_REPORT_AGE, OLD_REPORT_LIFETIME, PartDirectory,
        PromptPart, Store, part_key,
    },
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Reports that a place holds `tokens` tokens of a part.
fn set_held(directory: &mut PartDirectory, place: SocketAddr, salt: &str, id: &str, tokens: u32) {
    let parts = vec![CachedPart {
        part: part_key(salt, id),
        tokens,
    }];
    directory.apply(&Change::Held { place, parts }, NOW);
}

fn engine() -> (SocketAddr, &'static str) {
    (address(9), "a")
}

fn directory() -> PartDirectory {
    let mut directory = PartDirectory::default();
    for port in [1, 2] {
        directory.set_store(Store::new(address(port), 50_000));
        directory.set_reported(address(port), NOW);
    }
    directory
}

#[test]
fn part_is_saved_again_only_after_the_save_timed_out() {
    let mut directory = directory();
    let parts = [PromptPart::new("1", "session", 5_000)];
    assert!(directory.plan(&parts, engine(), NOW, true).save[0].is_some());
    assert_eq!(directory.plan(&parts, engine(), NOW, true).save, [None]);
    let later = NOW + Duration::from_secs(4);
    assert!(directory.plan(&parts, engine(), later, true).save[0].is_some());
}

/// Has a store restart: it holds nothing any more.
fn restart(directory: &mut PartDirectory, place: SocketAddr, now: Duration) {
    directory.apply(&Change::Cleared { place }, now);
    directory.set_reported(place, now);
}

/// Guards against a fetch of a part that is just being saved again: an instance that has not heard of
/// the restart believes that the store holds the part.
#[test]
fn nothing_is_saved_to_a_restarted_store_while_older_reports_are_acted_on() {
    let mut directory = PartDirectory::default();
    directory.set_store(Store::new(address(1), 50_000));
    set_held(&mut directory, address(1), "1", "session", 5_000);
    restart(&mut directory, address(1), NOW);
    let parts = [PromptPart::new("1", "session", 5_000)];
    for passed in [
        Duration::ZERO,
        MAX_REPORT_AGE,
        MAX_REPORT_AGE + MAX_FETCH_TIME,
    ] {
        let now = NOW + passed;
        directory.set_reported(address(1), now);
        assert_eq!(
            directory.plan(&parts, engine(), now, true).save,
            [None],
            "{passed:?}"
        );
    }
    let later = NOW + OLD_REPORT_LIFETIME;
    directory.set_reported(address(1), later);
    assert_eq!(
        directory.plan(&parts, engine(), later, true).save,
        [Some(address(1))]
    );
}

#[test]
fn part_is_saved_to_another_store_while_one_has_restarted() {
    let mut directory = directory();
    let parts: Vec<PromptPart> = (0..8)
        .map(|id| PromptPart::new("1", &id.to_string(), 5_000))
        .collect();
    for id in 0..8 {
        set_held(&mut directory, address(1), "1", &id.to_string(), 5_000);
    }
    restart(&mut directory, address(1), NOW);
    let plan = directory.plan(&parts, engine(), NOW, true);
    assert!(plan.save.contains(&Some(address(2))), "{plan:?}");
    assert!(!plan.save.contains(&Some(address(1))), "{plan:?}");
}

/// Others may know of a part that this instance has not heard of, but only for a moment.
#[test]
fn part_that_a_restarted_store_did_not_hold_is_saved_there_soon() {
    let mut directory = PartDirectory::default();
    directory.set_store(Store::new(address(1), 50_000));
    set_held(&mut directory, address(1), "1", "session", 5_000);
    restart(&mut directory, address(1), NOW);
    let parts = [PromptPart::new("1", "other", 5_000)];
    assert_eq!(directory.plan(&parts, engine(), NOW, true).save, [None]);
    let soon = NOW + Duration::from_secs(2);
    assert_eq!(
        directory.plan(&parts, engine(), soon, true).save,
        [Some(address(1))]
    );
}

/// A store that did not answer for long was reported by nobody meanwhile.
#[test]
fn time_in_which_a_store_did_not_answer_counts_towards_the_wait() {
    let mut directory = PartDirectory::default();
    directory.set_store(Store::new(address(1), 50_000));
    set_held(&mut directory, address(1), "1", "session", 5_000);
    for (passed_s, available) in [(0, false), (1, false), (6, true)] {
        if available {
            let now = NOW + Duration::from_secs(passed_s);
            restart(&mut directory, address(1), now);
        }
        let now = NOW + Duration::from_secs(passed_s);
        directory.set_available(address(1), available, now);
    }
    let parts = [PromptPart::new("1", "session", 5_000)];
    let before = (NOW + OLD_REPORT_LIFETIME).saturating_sub(Duration::from_millis(1));
    assert_eq!(directory.plan(&parts, engine(), before, true).save, [None]);
    let after = NOW + OLD_REPORT_LIFETIME;
    assert_eq!(
        directory.plan(&parts, engine(), after, true).save,
        [Some(address(1))]
    );
}

#[test]
fn part_of_another_salt_is_not_fetched() {
    let mut directory = directory();
    set_held(&mut directory, address(1), "1", "session", 5_000);
    let parts = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(
        directory.plan(&parts, engine(), NOW, true).fetch,
        [Some(address(1))]
    );
    assert_eq!(
        directory
            .plan(
                &[PromptPart::new("2", "session", 5_000)],
                engine(),
                NOW,
                true
            )
            .fetch,
        [None]
    );
}

#[test]
fn incomplete_part_is_not_fetched() {
    let mut directory = directory();
    set_held(&mut directory, address(1), "1", "session", 4_096);
    let parts = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(directory.plan(&parts, engine(), NOW, true).fetch, [None]);
}

#[test]
fn nothing_is_fetched_from_a_store_that_is_unavailable_or_was_cleared() {
    let mut directory = directory();
    set_held(&mut directory, address(1), "1", "session", 5_000);
    directory.set_available(address(1), false, NOW);
    let parts = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(directory.plan(&parts, engine(), NOW, true).fetch, [None]);
    directory.set_available(address(1), true, NOW);
    directory.clear(address(1), NOW);
    assert_eq!(directory.plan(&parts, engine(), NOW, true).fetch, [None]);
}

#[test]
fn nothing_is_saved_to_a_full_store() {
    let mut directory = directory();
    for port in [1, 2] {
        set_held(
            &mut directory,
            address(port),
            "1",
            &format!("p{port}"),
            49_500,
        );
    }
    let parts = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(directory.plan(&parts, engine(), NOW, true).save, [None]);
}

#[test]
fn nothing_is_fetched_over_a_link_with_a_long_queue() {
    let mut directory = PartDirectory::default();
    let mut store = Store::new(address(1), 1_000_000);
    store.time_per_token = Duration::from_micros(7);
    directory.set_store(store);
    directory.set_reported(address(1), NOW);
    for part in 0..100 {
        set_held(&mut directory, address(1), "1", &format!("p{part}"), 5_000);
    }
    let fetched = (0..100).filter(|part| {
        let id = format!("p{part}");
        directory
            .plan(&[PromptPart::new("1", &id, 5_000)], engine(), NOW, true)
            .fetch[0]
            .is_some()
    });
    let fetched = fetched.count();
    assert!((2..20).contains(&fetched), "{fetched} of 100 fit the link");
}

#[test]
fn part_that_the_engine_has_takes_no_time_on_the_link() {
    let mut directory = PartDirectory::default();
    let mut store = Store::new(address(1), 50_000);
    store.time_per_token = Duration::from_micros(7);
    directory.set_store(store);
    directory.set_reported(address(1), NOW);
    let parts = [
        PromptPart::new("1", "template", 2_000),
        PromptPart::new("1", "session", 5_000),
    ];
    for (id, tokens) in [("template", 2_000), ("session", 5_000)] {
        set_held(&mut directory, address(1), "1", id, tokens);
        set_held(&mut directory, address(9), "1", id, tokens);
    }
    let from_store = Some(address(1));
    for _ in 0..1_000 {
        let fetch = directory.plan(&parts, engine(), NOW, true).fetch;
        assert_eq!(
            fetch,
            [from_store, from_store],
            "the engine may have evicted it in the meantime"
        );
    }
    assert!(directory.holds_all(address(9), &parts));
    set_held(&mut directory, address(9), "1", "template", 1_024);
    assert!(!directory.holds_all(address(9), &parts));
}

#[test]
fn part_that_only_another_engine_has_is_fetched_from_there() {
    let mut directory = directory();
    set_held(&mut directory, address(8), "1", "session", 5_000);
    let parts = [PromptPart::new("1", "session", 5_000)];
    let plan = directory.plan(&parts, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(8))]);
    assert!(plan.save[0].is_some(), "a store gets it too");
}

#[test]
fn slow_store_gets_fewer_calls_until_it_recovers() {
    let mut directory = PartDirectory::default();
    let mut store = Store::new(address(1), 1_000_000);
    store.time_per_token = Duration::from_micros(7);
    directory.set_store(store);
    directory.set_reported(address(1), NOW);
    set_held(&mut directory, address(1), "1", "session", 5_000);
    let parts = [PromptPart::new("1", "session", 5_000)];
    let run_second = |directory: &mut PartDirectory, at: u64, took: Duration| {
        let calls = (0..100).map(|call| NOW + Duration::from_millis(at * 1_000 + call * 10));
        let mut fetched = 0;
        for now in calls {
            directory.set_reported(address(1), now);
            let plan = directory.plan(&parts, engine(), now, true);
            if plan.fetch[0].is_some() {
                fetched += 1;
                directory.record_first_event(&plan, took, now);
            }
        }
        fetched
    };
    let normal = run_second(&mut directory, 0, Duration::from_millis(90));
    run_second(&mut directory, 2, Duration::from_secs(2));
    let slow = run_second(&mut directory, 4, Duration::from_millis(90));
    for at in [6, 8, 10, 12, 14] {
        run_second(&mut directory, at, Duration::from_millis(90));
    }
    let recovered = run_second(&mut directory, 16, Duration::from_millis(90));
    assert!(
        slow * 3 < normal,
        "{slow} of {normal} calls while it is slow"
    );
    assert!(
        recovered * 10 > normal * 8,
        "{recovered} of {normal} calls once it has recovered"
    );
}

#[test]
fn nothing_is_fetched_over_a_link_that_other_instances_use() {
    let mut directory = PartDirectory::default();
    let mut store = Store::new(address(1), 50_000);
    store.time_per_token = Duration::from_micros(7);
    directory.set_store(store);
    directory.set_reported(address(1), NOW);
    directory.set_available(address(1), true, NOW);
    set_held(&mut directory, address(1), "1", "session", 5_000);
    let parts = [PromptPart::new("1", "session", 5_000)];
    let plan = directory.plan(&parts, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(1))]);
    assert_eq!(
        directory.link_use(),
        [(address(1), Duration::from_millis(70))]
    );
    directory.add_peer_link_use(address(1), Duration::from_secs(1), NOW);
    assert_eq!(directory.plan(&parts, engine(), NOW, true).fetch, [None]);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        directory.plan(&parts, engine(), later, true).fetch,
        [Some(address(1))]
    );
}

#[test]
fn part_in_a_busy_store_is_fetched_from_an_engine_that_holds_it() {
    let mut directory = directory();
    set_held(&mut directory, address(1), "1", "session", 5_000);
    set_held(&mut directory, address(8), "1", "session", 5_000);
    directory.set_available(address(1), true, NOW);
    let parts = [PromptPart::new("1", "session", 5_000)];
    let plan = directory.plan(&parts, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(1))], "the store surely has it");
    directory.add_peer_link_use(address(1), Duration::from_millis(200), NOW);
    let plan = directory.plan(&parts, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(8))]);
    assert!(plan.transfers.is_empty(), "the store's link is not used");
}

#[test]
fn nothing_is_fetched_or_saved_without_a_recent_report_of_the_store() {
    let mut directory = PartDirectory::default();
    directory.set_store(Store::new(address(1), 50_000));
    set_held(&mut directory, address(1), "1", "session", 5_000);
    let held = [PromptPart::new("1", "session", 5_000)];
    let fetch =
        |directory: &mut PartDirectory, now| directory.plan(&held, engine(), now, true).fetch;
    assert_eq!(fetch(&mut directory, NOW), [None], "never reported");
    directory.set_reported(address(1), NOW);
    let oldest = NOW + MAX_REPORT_AGE;
    assert_eq!(fetch(&mut directory, oldest), [Some(address(1))]);
    let too_late = oldest + Duration::from_millis(1);
    assert_eq!(fetch(&mut directory, too_late), [None]);
    let new = [PromptPart::new("1", "new", 5_000)];
    assert_eq!(directory.plan(&new, engine(), too_late, true).save, [None]);
    directory.set_reported(address(1), too_late);
    assert_eq!(fetch(&mut directory, too_late), [Some(address(1))]);
    assert!(directory.plan(&new, engine(), too_late, true).save[0].is_some());
}

#[test]
fn report_that_was_requested_earlier_and_arrives_late_does_not_count_as_recent() {
    let mut directory = directory();
    set_held(&mut directory, address(1), "1", "session", 5_000);
    let later = NOW + Duration::from_secs(20);
    directory.set_reported(address(1), later);
    directory.set_reported(address(1), NOW + Duration::from_secs(3));
    let parts = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(
        directory.plan(&parts, engine(), later, true).fetch,
        [Some(address(1))],
        "a late answer does not make the report older"
    );
    let too_late = later + MAX_REPORT_AGE + Duration::from_millis(1);
    directory.set_reported(address(1), later);
    assert_eq!(
        directory.plan(&parts, engine(), too_late, true).fetch,
        [None]
    );
}
