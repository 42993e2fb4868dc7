//! What a follower publishes, and that it keeps the last configuration during an outage.

mod support;

use {
    configuration::{Follower, FollowerHandle, FollowerSettings, Snapshot, Writer},
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{put, rule},
    tokio::time::sleep,
};

const SECOND: Duration = Duration::from_secs(1);

fn follow(kv: &MemoryKv) -> FollowerHandle {
    let follower = Follower::new(kv.clone(), FollowerSettings::default());
    let handle = follower.handle();
    tokio::spawn(follower.run());
    handle
}

/// Commits a placement rule with this name; returns the revision.
async fn write(kv: &MemoryKv, name: &str) -> u64 {
    let writer = Writer::new(kv.clone(), SECOND);
    let accepted = writer
        .apply(&[put(rule(name, 1), 0)], &format!("change-{name}"))
        .await;
    accepted.expect("accepted").revision
}

#[tokio::test(start_paused = true)]
async fn the_watch_delivers_changes() {
    let kv = MemoryKv::new();
    let handle = follow(&kv.peer());
    handle.ready().await;
    let revision = write(&kv, "a").await;
    sleep(SECOND).await;
    assert_eq!(handle.catalog().revision, revision);
    assert!(handle.catalog().placement_rules.contains_key("a"));
    assert!(handle.status().confirmed_age.expect("confirmed") <= SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_cut_watch_resumes_and_compaction_causes_a_reread() {
    let kv = MemoryKv::new();
    let instance_kv = kv.peer();
    let handle = follow(&instance_kv);
    handle.ready().await;
    instance_kv.cut_watches();
    write(&kv, "a").await;
    sleep(2 * SECOND).await;
    assert!(handle.catalog().placement_rules.contains_key("a"));
    instance_kv.set_faults(|faults| faults.unreachable = true);
    sleep(2 * SECOND).await;
    write(&kv, "b").await;
    let revision = write(&kv, "c").await;
    kv.compact();
    instance_kv.set_faults(|faults| faults.unreachable = false);
    sleep(2 * SECOND).await;
    assert_eq!(handle.catalog().revision, revision);
    assert_eq!(handle.catalog().placement_rules.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn a_silent_watch_is_detected() {
    let kv = MemoryKv::new();
    let instance_kv = kv.peer();
    let handle = follow(&instance_kv);
    handle.ready().await;
    instance_kv.set_faults(|faults| faults.watches_silent = true);
    let revision = write(&kv, "a").await;
    sleep(4 * SECOND).await;
    assert_eq!(handle.catalog().revision, revision);
}

#[tokio::test(start_paused = true)]
async fn the_last_state_stays_in_force_during_an_outage() {
    let kv = MemoryKv::new();
    let instance_kv = kv.peer();
    let handle = follow(&instance_kv);
    handle.ready().await;
    let revision = write(&kv, "a").await;
    sleep(SECOND).await;
    instance_kv.set_faults(|faults| faults.unreachable = true);
    instance_kv.cut_watches();
    sleep(60 * SECOND).await;
    assert_eq!(handle.catalog().revision, revision);
    assert!(handle.status().confirmed_age.expect("confirmed") >= 59 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_new_instance_takes_the_newest_snapshot_of_its_peers() {
    let kv = MemoryKv::new();
    let peer = follow(&kv.peer());
    peer.ready().await;
    write(&kv, "a").await;
    sleep(SECOND).await;
    let old_snapshot = peer.export().expect("has a state");
    let revision = write(&kv, "b").await;
    sleep(SECOND).await;
    let new_snapshot = peer.export().expect("has a state");

    let instance_kv = kv.peer();
    instance_kv.set_faults(|faults| faults.unreachable = true);
    let handle = follow(&instance_kv);
    for json in [&old_snapshot, &new_snapshot, &old_snapshot] {
        let (snapshot, age) = Snapshot::from_json(json).expect("exported snapshots can be read");
        handle.offer(snapshot, age);
        let ready = tokio::time::timeout(SECOND, handle.ready()).await;
        assert!(ready.is_err(), "not all peers were asked");
    }
    handle.mark_peers_asked();
    handle.ready().await;
    assert_eq!(handle.catalog().revision, revision);

    instance_kv.set_faults(|faults| faults.unreachable = false);
    let revision = write(&kv, "c").await;
    sleep(2 * SECOND).await;
    assert_eq!(handle.catalog().revision, revision);
    assert_eq!(handle.catalog(), peer.catalog());
}
