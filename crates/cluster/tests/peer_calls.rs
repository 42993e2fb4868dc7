//! Tests calls between instances over sockets.

#[path = "support/test_instance.rs"]
mod test_instance;

use {
    cluster::{DirectoryUpdate, LookupTimeouts, MemberState, hedged_lookup},
    decision::{Record, Step},
    std::time::{Duration, Instant},
    test_instance::{KEY, TestInstance},
    tokio_util::sync::CancellationToken,
};

const NO_DELAY: Duration = Duration::ZERO;
/// Long enough that a slow owner never answers before the hedged request does.
const SLOW: Duration = Duration::from_secs(30);

async fn start_instance(name: &str) -> TestInstance {
    TestInstance::start(name, KEY, NO_DELAY).await
}

fn refused_record(request: &str) -> Record {
    Record {
        request: request.to_owned(),
        client_account: "tasboulak".to_owned(),
        instance: "a".to_owned(),
        model_version: String::new(),
        revision: 1,
        arrived: Duration::from_secs(1),
        steps: vec![Step::Refused {
            reason: "no target".to_owned(),
            retry_after_ms: 5,
            rejected: Vec::new(),
        }],
    }
}

#[tokio::test]
async fn every_call_reaches_the_peer() {
    let (a, b) = (start_instance("a").await, start_instance("b").await);
    let to = b.cluster.own_member().peer_address;
    let used = DirectoryUpdate::Used {
        client_account: "tasboulak".to_owned(),
        keys: vec![[7; 32]],
    };
    a.peers().record(to, vec![used.clone()]).await.unwrap();
    assert_eq!(*b.updates.lock().unwrap(), [used]);

    let record = refused_record("r-1");
    a.ring
        .lock()
        .unwrap()
        .insert(record.clone(), Instant::now());
    let parts = a.ring.lock().unwrap().take_unreplicated(1_000);
    a.peers().replicate(to, &parts).await.unwrap();
    let kept = a.peers().decision(to, &"r-1".to_owned()).await.unwrap();
    assert_eq!(kept, Some(record));
    assert_eq!(
        a.peers().decision(to, &"r-2".to_owned()).await.unwrap(),
        None
    );

    assert_eq!(a.peers().catalog(to, 8).await.unwrap().unwrap().revision, 9);
    assert!(a.peers().catalog(to, 9).await.unwrap().is_none());
    assert_eq!(a.peers().traffic().connections_count(), 1);
    assert!(a.peers().traffic().sent_bytes() > 0);
}

#[tokio::test]
async fn views_converge_and_leaving_is_announced_at_once() {
    let instances = [
        start_instance("a").await,
        start_instance("b").await,
        start_instance("c").await,
    ];
    let listed: Vec<_> = instances
        .iter()
        .map(|instance| instance.cluster.own_member())
        .collect();
    let token = CancellationToken::new();
    for instance in &instances {
        instance.cluster.apply_instance_list(&listed);
        let (cluster, token) = (instance.cluster.clone(), token.clone());
        tokio::spawn(async move { cluster.run(token).await });
    }
    let mut changes = instances[2].cluster.subscribe();
    instances[0].cluster.leave().await;
    let left = changes.wait_for(|members| {
        members
            .get("a")
            .is_some_and(|member| member.state == MemberState::Leaving)
    });
    tokio::time::timeout(Duration::from_secs(10), left)
        .await
        .unwrap()
        .unwrap();
    let entries = instances[2].cluster.members();
    assert!(
        entries
            .entry_instances_for("x")
            .iter()
            .all(|entry| entry.instance != "a")
    );
    token.cancel();
}

#[tokio::test]
async fn heartbeats_carry_the_revision() {
    let (a, b) = (start_instance("a").await, start_instance("b").await);
    b.cluster.set_revision(42);
    a.cluster
        .apply_instance_list(&[a.cluster.own_member(), b.cluster.own_member()]);
    let token = CancellationToken::new();
    let (cluster, stopped) = (a.cluster.clone(), token.clone());
    tokio::spawn(async move { cluster.run(stopped).await });
    let revision_arrives = async {
        while a.cluster.newest_revision().map(|(revision, _)| revision) != Some(42) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), revision_arrives)
        .await
        .unwrap();
    token.cancel();
}

#[tokio::test]
async fn slow_owner_is_hedged() {
    let timeouts = LookupTimeouts {
        hedge_after: Duration::from_millis(5),
        total: Duration::from_secs(10),
    };
    let a = start_instance("a").await;
    let slow = TestInstance::start("slow", KEY, SLOW).await;
    let fast = start_instance("fast").await;
    let owners = [&slow.cluster.own_member(), &fast.cluster.own_member()];
    let found = hedged_lookup(a.peers(), &owners, &"x".to_owned(), &[[1; 32]], timeouts).await;
    assert!(!found.is_degraded());
    assert_eq!(found.answer.unwrap().seen_blocks_count, 1);
}

#[tokio::test]
async fn lookup_without_owners_is_degraded() {
    let a = start_instance("a").await;
    let slow = TestInstance::start("slow", KEY, SLOW).await;
    let mut unreachable = slow.cluster.own_member();
    unreachable.peer_address.set_port(1);
    let owners = [&unreachable, &slow.cluster.own_member()];
    let timeouts = LookupTimeouts::default();
    let found = hedged_lookup(a.peers(), &owners, &"x".to_owned(), &[[1; 32]], timeouts).await;
    assert!(found.is_degraded());
    assert!(!found.failures.is_empty());
}
