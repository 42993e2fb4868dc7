//! The estimated size of a batch, which is counted as its bytes.

use {
    balance::TargetLoad,
    feed::{Batch, MergedBatch},
    parts::{CachedPart, Change, Position, part_key},
    serde::Serialize,
    std::{net::SocketAddr, pin::Pin, time::Duration},
    tarpc::tokio_serde::{Serializer, formats::Bincode},
};

const POSITION: Position = Position {
    start: u64::MAX,
    next: 70_000,
};

fn place(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + port).into()
}

fn seed(index: u16) -> u64 {
    part_key("seed", &index.to_string())
}

fn loads(count: u16) -> Vec<TargetLoad> {
    let loads = (0..count).map(|index| TargetLoad {
        target_seed: seed(index),
        calls_count: 8,
        tokens_count: 46_000,
        unread_tokens_count: 9_000,
    });
    loads.collect()
}

fn link_use(count: u16) -> Vec<(SocketAddr, Duration)> {
    let link_use = (0..count).map(|port| (place(port), Duration::from_millis(9_300)));
    link_use.collect()
}

/// One change of `parts_count` parts, and an available place.
fn changes(parts_count: u16) -> Vec<Change> {
    let parts = (0..parts_count).map(|index| CachedPart {
        part: seed(index),
        tokens: 900,
    });
    let held = Change::Held {
        place: place(1),
        parts: parts.collect(),
    };
    let available = Change::Available {
        place: place(1),
        available: true,
    };
    vec![held, available]
}

/// Size of an answer as a connection sends it, without the head of the call.
fn sent_bytes<Item>(item: &Item) -> usize
where
    Item: Serialize + Unpin,
{
    let mut format = Bincode::<(), Item>::default();
    Pin::new(&mut format).serialize(item).unwrap().len()
}

/// Asserts that an estimate is off by less than a quarter, or by the head of a call.
fn check(estimated: usize, sent: usize) {
    let difference = estimated.abs_diff(sent);
    assert!(difference <= 40.max(sent / 4), "{estimated} for {sent}");
}

/// Guards against a counter that shows a small part of what is sent, or a multiple of it.
#[test]
fn estimate_is_close_to_what_is_sent() {
    for (loads_count, stores_count, parts_count) in [(0, 0, 0), (60, 12, 40), (3, 2, 10_000)] {
        let followed_places = (0..stores_count).map(place).collect();
        let batch = Batch {
            position: POSITION,
            clock: Some(Duration::from_millis(1_234_567)),
            loads: loads(loads_count),
            link_use: link_use(stores_count),
            changes: changes(parts_count),
            is_reset: false,
            followed_places,
        };
        check(batch.encoded_bytes(), sent_bytes(&batch));
        let merged = MergedBatch {
            position: POSITION,
            clock: batch.clock,
            loads: batch.loads,
            instances_count: 128,
            link_use: batch.link_use,
            changes: batch.changes,
            is_reset: false,
            report_ages: link_use(stores_count),
            silent_instances: vec![("entry-1".to_owned(), Duration::from_millis(3_500))],
        };
        check(merged.encoded_bytes(), sent_bytes(&merged));
    }
}
