//! One instance reads through an aggregator what others have learned. Guards against a reader that
//! misses changes, or acts on an older state of a place as if it were a newer one.

use {
    feed::{
        Feed, FeedReader, MergedBatch, MergedRequest, PlaceReport, PlacesRequest, Scope, serve,
    },
    parts::{CachedPart, Change, PartDirectory, PromptPart, Store},
    relay::{RelayState, boot_time},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// Longer than an aggregator warms up.
const WARM_TIME: Duration = Duration::from_secs(1);

fn place(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn feed() -> Arc<Feed> {
    let mut directory = PartDirectory::default();
    for port in 1..5 {
        directory.set_store(Store::new(place(port), 50_000));
    }
    let relay_state = RelayState {
        cache_index: Arc::new(Mutex::new(directory)),
        ..RelayState::default()
    };
    Arc::new(Feed::new(relay_state))
}

fn held(port: u16, key: u64) -> Change {
    let cached = CachedPart {
        part: key,
        tokens: 10,
    };
    Change::Held {
        place: place(port),
        parts: vec![cached],
    }
}

/// A report that a place holds a part, learned in `scope`.
fn report(scope: Scope, port: u16, key: u64) -> PlaceReport {
    PlaceReport {
        scope,
        changes: vec![held(port, key)],
        reported_times: vec![(place(port), boot_time())],
        replaced_times: Vec::new(),
        keeps_followed: true,
    }
}

/// A request for the changes since a batch, or for the state of all places.
fn request(scope: Scope, last: Option<&MergedBatch>) -> MergedRequest {
    MergedRequest {
        reader: "reader".to_owned(),
        scope,
        since: last.map(|it| it.position),
        added_places: match last {
            Some(_) => Vec::new(),
            None => (1..5).map(place).collect(),
        },
    }
}

fn read(feed: &Feed, request: &MergedRequest) -> MergedBatch {
    feed.read_merged(request, boot_time() + WARM_TIME).unwrap()
}

/// Parts from 0 to 9 that these changes leave at a place.
fn parts_at(changes: &[Change], port: u16) -> Vec<u64> {
    let mut directory = PartDirectory::default();
    for change in changes {
        directory.apply(change, Duration::ZERO);
    }
    let is_held = |key: &u64| {
        let prompt_part = PromptPart {
            part: *key,
            tokens: 10,
        };
        directory.holds_all(place(port), &[prompt_part])
    };
    (0..10).filter(is_held).collect()
}

#[test]
fn only_an_aggregator_that_is_warm_answers() {
    let (feed, now) = (feed(), boot_time());
    let request = request(Scope::All, None);
    assert_eq!(feed.read_merged(&request, now), None);
    feed.begin_aggregation(now);
    assert_eq!(feed.read_merged(&request, now), None);
    assert!(feed.read_merged(&request, now + WARM_TIME).is_some());
    feed.end_aggregation();
    assert_eq!(feed.read_merged(&request, now + WARM_TIME), None);
}

#[test]
fn reader_gets_the_whole_state_of_its_scope_and_then_changes() {
    let feed = feed();
    feed.begin_aggregation(boot_time());
    feed.follow(place(1));
    feed.publish(held(1, 1));
    feed.apply(report(Scope::Domain, 2, 2), boot_time());
    feed.apply(report(Scope::All, 3, 3), boot_time());
    let domain = read(&feed, &request(Scope::Domain, None));
    let parts = [1, 2, 3].map(|port| parts_at(&domain.changes, port));
    assert_eq!(parts, [vec![1], vec![2], vec![]]);
    let all = read(&feed, &request(Scope::All, None));
    let parts = [1, 2, 3].map(|port| parts_at(&all.changes, port));
    assert_eq!(parts, [vec![1], vec![2], vec![3]]);
    feed.apply(report(Scope::All, 3, 4), boot_time());
    feed.apply(report(Scope::Domain, 2, 5), boot_time());
    let next = read(&feed, &request(Scope::Domain, Some(&domain)));
    assert_eq!(next.changes, [held(2, 5)]);
    let next = read(&feed, &request(Scope::All, Some(&all)));
    assert_eq!(next.changes, [held(3, 4), held(2, 5)]);
    assert!(
        read(&feed, &request(Scope::All, Some(&next)))
            .changes
            .is_empty()
    );
}

/// Guards against a position from an earlier time as aggregator, between which and the present one
/// changes are not in the log.
#[test]
fn aggregator_that_begins_again_asks_for_a_new_start() {
    let feed = feed();
    feed.begin_aggregation(boot_time());
    let before = read(&feed, &request(Scope::All, None));
    feed.end_aggregation();
    feed.apply(report(Scope::Domain, 2, 2), boot_time());
    feed.follow(place(1));
    feed.begin_aggregation(boot_time());
    feed.apply(report(Scope::Domain, 2, 3), boot_time());
    let after = read(&feed, &request(Scope::All, Some(&before)));
    assert!(after.is_reset);
    assert_eq!(after.changes, [], "only added places are sent whole");
    let added = MergedRequest {
        added_places: vec![place(2)],
        ..request(Scope::All, Some(&after))
    };
    let added = read(&feed, &added);
    assert!(!added.is_reset);
    assert_eq!(parts_at(&added.changes, 2), [2, 3]);
}

/// Guards against a place whose changes a reader has skipped while it followed the place itself.
#[test]
fn added_place_comes_whole_among_changes_of_others() {
    let feed = feed();
    feed.begin_aggregation(boot_time());
    feed.apply(report(Scope::Domain, 2, 2), boot_time());
    let before = read(&feed, &request(Scope::All, None));
    feed.apply(report(Scope::Domain, 2, 3), boot_time());
    feed.apply(report(Scope::Domain, 3, 4), boot_time());
    let added = MergedRequest {
        added_places: vec![place(2), place(4)],
        ..request(Scope::All, Some(&before))
    };
    let batch = read(&feed, &added);
    assert_eq!(parts_at(&batch.changes, 2), [2, 3]);
    assert_eq!(parts_at(&batch.changes, 3), [4]);
    let cleared = Change::Cleared { place: place(2) };
    assert!(batch.changes.contains(&cleared));
    let cleared = Change::Cleared { place: place(4) };
    assert!(!batch.changes.contains(&cleared), "nothing is known of it");
}

/// Guards against an echo of what this instance published, which may be older than what it knows.
#[test]
fn place_that_is_followed_here_is_left_as_it_is() {
    let feed = feed();
    feed.follow(place(1));
    feed.publish(held(1, 1));
    let echo = PlaceReport {
        changes: vec![Change::Cleared { place: place(1) }],
        ..report(Scope::All, 1, 1)
    };
    feed.apply(echo, boot_time());
    assert_eq!(parts_at(&feed.read(None).changes, 1), [1]);
}

/// Guards against an age that grows younger on its way.
#[test]
fn age_of_a_report_is_that_of_the_first_reader() {
    let feed = feed();
    feed.begin_aggregation(boot_time());
    let now = boot_time();
    feed.apply(report(Scope::Domain, 2, 2), now);
    let batch = read(&feed, &request(Scope::All, None));
    let [(reported, age)] = batch.report_ages.as_slice() else {
        panic!("{:?}", batch.report_ages);
    };
    assert_eq!(*reported, place(2));
    assert!(*age >= WARM_TIME, "{age:?}");
}

#[tokio::test]
async fn reader_of_places_gets_only_these() {
    let feed = feed();
    for port in 1..4 {
        feed.follow(place(port));
        feed.publish(held(port, 1));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut reader = FeedReader::new(listener.local_addr().unwrap());
    let stop = CancellationToken::new();
    let server = tokio::spawn(serve(Arc::new(listener), feed.clone(), stop.clone()));
    let mut request = PlacesRequest {
        places: vec![place(1), place(2), place(4)],
        added_places: vec![place(1), place(4)],
        ..PlacesRequest::default()
    };
    let first = reader.read_places(&request).await.unwrap();
    let parts = [1, 2].map(|port| parts_at(&first.changes, port));
    assert_eq!(parts, [vec![1], vec![]]);
    assert!(first.is_reset, "there is no position yet");
    assert_eq!(first.followed_places, [place(1), place(2)]);
    for port in 1..4 {
        feed.publish(held(port, 2));
    }
    request.since = Some(first.position);
    request.places = vec![place(1), place(3), place(4)];
    request.added_places = vec![place(3)];
    let next = reader.read_places(&request).await.unwrap();
    let parts = [1, 2, 3].map(|port| parts_at(&next.changes, port));
    assert!(!next.is_reset);
    assert_eq!(
        parts,
        [vec![2], vec![], vec![1, 2]],
        "changes, nothing, all"
    );
    stop.cancel();
    server.await.unwrap();
}

/// Guards against an answer with the whole state of all places, which a slow link does not carry in
/// time, and against missing changes that the reader is not told of.
#[test]
fn lost_position_leads_to_the_state_of_added_places_only() {
    let feed = feed();
    for port in 1..4 {
        feed.follow(place(port));
        feed.publish(held(port, 1));
    }
    let mut foreign = feed.read(None).position;
    foreign.start = foreign.start.wrapping_add(1);
    for since in [None, Some(foreign)] {
        let request = PlacesRequest {
            since,
            places: (1..4).map(place).collect(),
            added_places: vec![place(2)],
            wait: Duration::ZERO,
        };
        let batch = feed.read_places(&request);
        let parts = [1, 2, 3].map(|port| parts_at(&batch.changes, port));
        assert_eq!(parts, [vec![], vec![1], vec![]]);
        assert!(batch.is_reset);
        let next = PlacesRequest {
            since: Some(batch.position),
            added_places: vec![place(1), place(3)],
            ..request
        };
        let batch = feed.read_places(&next);
        let parts = [1, 2, 3].map(|port| parts_at(&batch.changes, port));
        assert_eq!(parts, [vec![1], vec![], vec![1]]);
        assert!(!batch.is_reset);
    }
}
