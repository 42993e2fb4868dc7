//! What is fetched and saved, from what stores report.

use {
    parts::{CachedPart, Change, PartDirectory, PromptPart, Store, part_key},
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Notes that a place holds `tokens` tokens of a part.
fn holds(keeping: &mut PartDirectory, place: SocketAddr, salt: &str, id: &str, tokens: u32) {
    let parts = vec![CachedPart {
        part: part_key(salt, id),
        tokens,
    }];
    keeping.apply(&Change::Held { place, parts }, NOW);
}

fn engine() -> (SocketAddr, &'static str) {
    (address(9), "a")
}

fn keeping() -> PartDirectory {
    let mut keeping = PartDirectory::default();
    for port in [1, 2] {
        keeping.set_store(Store::new(address(port), 50_000));
    }
    keeping
}

#[test]
fn part_is_saved_once_until_the_save_is_lost() {
    let mut keeping = keeping();
    let wish = [PromptPart::new("1", "session", 5_000)];
    assert!(keeping.plan(&wish, engine(), NOW, true).save[0].is_some());
    assert_eq!(keeping.plan(&wish, engine(), NOW, true).save, [None]);
    let later = NOW + Duration::from_secs(4);
    assert!(keeping.plan(&wish, engine(), later, true).save[0].is_some());
}

#[test]
fn part_of_another_salt_is_not_fetched() {
    let mut keeping = keeping();
    holds(&mut keeping, address(1), "1", "session", 5_000);
    let wish = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(
        keeping.plan(&wish, engine(), NOW, true).fetch,
        [Some(address(1))]
    );
    assert_eq!(
        keeping
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
fn part_that_is_not_whole_is_not_fetched() {
    let mut keeping = keeping();
    holds(&mut keeping, address(1), "1", "session", 4_096);
    let wish = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(keeping.plan(&wish, engine(), NOW, true).fetch, [None]);
}

#[test]
fn nothing_is_fetched_from_a_store_that_is_away_or_was_cleared() {
    let mut keeping = keeping();
    holds(&mut keeping, address(1), "1", "session", 5_000);
    keeping.set_available(address(1), false);
    let wish = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(keeping.plan(&wish, engine(), NOW, true).fetch, [None]);
    keeping.set_available(address(1), true);
    keeping.clear(address(1));
    assert_eq!(keeping.plan(&wish, engine(), NOW, true).fetch, [None]);
}

#[test]
fn full_store_gets_no_part() {
    let mut keeping = keeping();
    for port in [1, 2] {
        holds(
            &mut keeping,
            address(port),
            "1",
            &format!("p{port}"),
            49_500,
        );
    }
    let wish = [PromptPart::new("1", "session", 5_000)];
    assert_eq!(keeping.plan(&wish, engine(), NOW, true).save, [None]);
}

#[test]
fn long_queue_before_a_store_is_left_alone() {
    let mut keeping = PartDirectory::default();
    let mut store = Store::new(address(1), 1_000_000);
    store.time_per_token = Duration::from_micros(7);
    keeping.set_store(store);
    for part in 0..100 {
        holds(&mut keeping, address(1), "1", &format!("p{part}"), 5_000);
    }
    let fetched = (0..100).filter(|part| {
        let id = format!("p{part}");
        keeping
            .plan(&[PromptPart::new("1", &id, 5_000)], engine(), NOW, true)
            .fetch[0]
            .is_some()
    });
    let fetched = fetched.count();
    assert!((2..20).contains(&fetched), "{fetched} of 100 fit the link");
}

#[test]
fn part_that_the_engine_has_takes_no_time_on_the_link() {
    let mut keeping = PartDirectory::default();
    let mut store = Store::new(address(1), 50_000);
    store.time_per_token = Duration::from_micros(7);
    keeping.set_store(store);
    let wish = [
        PromptPart::new("1", "template", 2_000),
        PromptPart::new("1", "session", 5_000),
    ];
    for (id, tokens) in [("template", 2_000), ("session", 5_000)] {
        holds(&mut keeping, address(1), "1", id, tokens);
        holds(&mut keeping, address(9), "1", id, tokens);
    }
    let here = Some(address(1));
    for _ in 0..1_000 {
        let fetch = keeping.plan(&wish, engine(), NOW, true).fetch;
        assert_eq!(
            fetch,
            [here, here],
            "the engine may have evicted it meanwhile"
        );
    }
    assert!(keeping.holds_all(address(9), &wish));
    holds(&mut keeping, address(9), "1", "template", 1_024);
    assert!(!keeping.holds_all(address(9), &wish));
}

#[test]
fn part_that_only_another_engine_has_comes_from_there() {
    let mut keeping = keeping();
    holds(&mut keeping, address(8), "1", "session", 5_000);
    let wish = [PromptPart::new("1", "session", 5_000)];
    let plan = keeping.plan(&wish, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(8))]);
    assert!(plan.save[0].is_some(), "a store gets it too");
}

#[test]
fn store_that_holds_calls_up_gets_fewer_of_them_until_it_keeps_pace() {
    let mut keeping = PartDirectory::default();
    let mut store = Store::new(address(1), 1_000_000);
    store.time_per_token = Duration::from_micros(7);
    keeping.set_store(store);
    holds(&mut keeping, address(1), "1", "session", 5_000);
    let wish = [PromptPart::new("1", "session", 5_000)];
    let second = |keeping: &mut PartDirectory, at: u64, took: Duration| {
        let calls = (0..100).map(|call| NOW + Duration::from_millis(at * 1_000 + call * 10));
        let mut fetched = 0;
        for now in calls {
            let plan = keeping.plan(&wish, engine(), now, true);
            if plan.fetch[0].is_some() {
                fetched += 1;
                keeping.record_first_event(&plan, took, now);
            }
        }
        fetched
    };
    let usual = second(&mut keeping, 0, Duration::from_millis(90));
    second(&mut keeping, 2, Duration::from_secs(2));
    let slow = second(&mut keeping, 4, Duration::from_millis(90));
    for at in [6, 8, 10, 12, 14] {
        second(&mut keeping, at, Duration::from_millis(90));
    }
    let again = second(&mut keeping, 16, Duration::from_millis(90));
    assert!(slow * 3 < usual, "{slow} of {usual} calls while it is slow");
    assert!(
        again * 10 > usual * 8,
        "{again} of {usual} calls once it keeps pace"
    );
}

#[test]
fn link_that_other_instances_use_is_left_alone() {
    let mut keeping = PartDirectory::default();
    let mut store = Store::new(address(1), 50_000);
    store.time_per_token = Duration::from_micros(7);
    keeping.set_store(store);
    keeping.set_available(address(1), true);
    holds(&mut keeping, address(1), "1", "session", 5_000);
    let wish = [PromptPart::new("1", "session", 5_000)];
    let plan = keeping.plan(&wish, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(1))]);
    assert_eq!(
        keeping.link_use(),
        [(address(1), Duration::from_millis(70))]
    );
    keeping.add_peer_link_use(address(1), Duration::from_secs(1), NOW);
    assert_eq!(keeping.plan(&wish, engine(), NOW, true).fetch, [None]);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(
        keeping.plan(&wish, engine(), later, true).fetch,
        [Some(address(1))]
    );
}

#[test]
fn part_of_a_busy_store_comes_from_an_engine_that_holds_it() {
    let mut keeping = keeping();
    holds(&mut keeping, address(1), "1", "session", 5_000);
    holds(&mut keeping, address(8), "1", "session", 5_000);
    keeping.set_available(address(1), true);
    let wish = [PromptPart::new("1", "session", 5_000)];
    let plan = keeping.plan(&wish, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(1))], "the store surely has it");
    keeping.add_peer_link_use(address(1), Duration::from_millis(200), NOW);
    let plan = keeping.plan(&wish, engine(), NOW, true);
    assert_eq!(plan.fetch, [Some(address(8))]);
    assert!(plan.transfers.is_empty(), "the store's link is not used");
}
