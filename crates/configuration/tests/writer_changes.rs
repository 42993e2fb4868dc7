//! Which changes the writer commits, and the errors for those it does not.

mod support;

use {
    catalog::ObjectKind,
    configuration::{ApplyError, Writer},
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{account, delete, put, rule, version},
    tokio::time::sleep,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn writer(kv: &MemoryKv) -> Writer<MemoryKv> {
    Writer::new(kv.clone(), CALL_TIMEOUT)
}

#[tokio::test(start_paused = true)]
async fn changes_are_applied_all_or_none() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    let first = writer
        .apply(&[put(rule("a", 1), 0)], "c1")
        .await
        .expect("a is new");
    let changes = [put(rule("b", 1), 0), put(rule("a", 2), first.revision + 7)];
    let error = writer
        .apply(&changes, "c2")
        .await
        .expect_err("a was not read");
    assert_eq!(
        error,
        ApplyError::Conflict {
            kind: ObjectKind::PlacementRule,
            name: "a".to_owned(),
            current: first.revision,
        }
    );
    let snapshot = writer.read().await.expect("read");
    assert_eq!(
        snapshot.catalog.placement_rules.len(),
        1,
        "b was not written"
    );
    assert_eq!(snapshot.catalog.revision, first.revision);
}

#[tokio::test(start_paused = true)]
async fn a_repeated_change_is_applied_once() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    let changes = [put(rule("a", 1), 0)];
    let first = writer.apply(&changes, "c1").await.expect("accepted");
    let again = writer.apply(&changes, "c1").await.expect("accepted before");
    assert_eq!(first.revision, again.revision);
    let reused_id = writer.apply(&[put(rule("b", 1), 0)], "c1").await;
    assert!(
        matches!(reused_id, Err(ApplyError::Invalid { .. })),
        "{reused_id:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_resolved() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    // The fault is set after 15 ms: the answer to the lease request, which takes 10 ms, is not
    // lost, only the transaction's.
    writer
        .apply(&[put(rule("a", 1), 0)], "c1")
        .await
        .expect("accepted");
    let faulty_kv = kv.clone();
    let fault = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(15)).await;
        faulty_kv.set_faults(|faults| faults.lost_answer_count = 1);
    });
    kv.set_faults(|faults| faults.call_delay = Duration::from_millis(10));
    let accepted = writer.apply(&[put(rule("b", 1), 0)], "c2").await;
    fault.await.expect("the fault is set");
    let snapshot = writer.read().await.expect("read");
    assert_eq!(
        accepted.expect("resolved").revision,
        snapshot.catalog.revision
    );
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_change_never_takes_effect() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    kv.set_faults(|faults| faults.call_delay = Duration::from_millis(10));
    let faulty_kv = kv.clone();
    let fault = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(15)).await;
        faulty_kv.set_faults(|faults| {
            faults.late_call_count = 1;
            faults.late_call_delay = Duration::from_secs(5);
        });
    });
    let error = writer.apply(&[put(rule("a", 1), 0)], "c1").await;
    fault.await.expect("the fault is set");
    assert!(
        matches!(error, Err(ApplyError::Abandoned { .. })),
        "{error:?}"
    );
    tokio::time::sleep(Duration::from_secs(10)).await;
    let snapshot = writer.read().await.expect("read");
    assert!(snapshot.catalog.placement_rules.is_empty(), "applied late");
}

#[tokio::test(start_paused = true)]
async fn outages_before_and_during_the_transaction_differ() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    kv.set_faults(|faults| faults.unreachable = true);
    let unreachable = writer.apply(&[put(rule("a", 1), 0)], "c1").await;
    assert!(
        matches!(unreachable, Err(ApplyError::NotApplied { .. })),
        "{unreachable:?}"
    );
    kv.set_faults(|faults| {
        faults.unreachable = false;
        faults.call_delay = Duration::from_millis(10);
    });
    let faulty_kv = kv.clone();
    let fault = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(15)).await;
        faulty_kv.set_faults(|faults| faults.paused = true);
    });
    let hung = writer.apply(&[put(rule("a", 1), 0)], "c2").await;
    fault.await.expect("the fault is set");
    assert!(matches!(hung, Err(ApplyError::Unknown { .. })), "{hung:?}");
}

#[tokio::test(start_paused = true)]
async fn activation_deactivates_the_previous_version_atomically() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    let first = writer
        .apply(&[put(version("v1", true), 0)], "c1")
        .await
        .expect("v1");
    let second = writer
        .apply(&[put(version("v2", true), 0)], "c2")
        .await
        .expect("v2");
    assert_eq!(second.deactivated, ["v1"]);
    let snapshot = writer.read().await.expect("read");
    assert_eq!(
        snapshot.catalog.active_version("m").expect("active").name,
        "v2"
    );
    let stale = delete(ObjectKind::ModelVersion, "v1", first.revision);
    let error = writer.apply(&[stale], "c3").await;
    assert!(
        matches!(error, Err(ApplyError::Conflict { .. })),
        "v1 was changed: {error:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn racing_changes_cannot_give_two_accounts_one_key() {
    let kv = MemoryKv::new();
    let writers = [writer(&kv), writer(&kv)];
    kv.set_faults(|faults| faults.call_delay = Duration::from_millis(10));
    let (first, second) = ([put(account("a", '1'), 0)], [put(account("b", '1'), 0)]);
    let (first, second) = tokio::join!(
        writers[0].apply(&first, "c1"),
        writers[1].apply(&second, "c2")
    );
    assert!(
        first.is_ok() != second.is_ok(),
        "exactly one may get the key: {first:?} {second:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn large_changes_are_split_only_on_request() {
    let kv = MemoryKv::new();
    let writer = writer(&kv);
    let changes: Vec<_> = (0..300)
        .map(|index| put(rule(&format!("r{index}"), 1), 0))
        .collect();
    let error = writer.apply(&changes, "c1").await.expect_err("too large");
    assert!(error.to_string().contains("--in-parts"), "{error}");
    let accepted = writer
        .apply_in_parts(&changes, "c2")
        .await
        .expect("in parts");
    let snapshot = writer.read().await.expect("read");
    assert_eq!(snapshot.catalog.placement_rules.len(), 300);
    assert_eq!(snapshot.catalog.revision, accepted.revision);
}

/// Guards against the word that a change was not applied, which holds in the history that the service
/// came back to.
#[tokio::test(start_paused = true)]
async fn change_that_is_applied_while_the_service_comes_back_is_confirmed() {
    let kv = MemoryKv::with_incarnation();
    kv.set_faults(|faults| faults.call_delay = Duration::from_millis(100));
    let writer = writer(&kv);
    let changes = [put(rule("a", 1), 0)];
    let come_back = async {
        sleep(Duration::from_millis(210)).await;
        let copy = kv.take_copy();
        sleep(Duration::from_millis(40)).await;
        kv.restore(&copy);
    };
    let (applied, ()) = tokio::join!(writer.apply(&changes, "c1"), come_back);
    let snapshot = writer.read().await.expect("read");
    assert_eq!(snapshot.catalog.placement_rules.len(), 1);
    assert!(applied.is_ok(), "{applied:?}");
}
