//! Concurrent claims of one instance share calls to the key-value service.

use {
    futures::future::join_all,
    idempotency::{ClaimOutcome, ClaimSettings, Claims},
    keyvalue::{KvCalls, MemoryKv},
    std::time::Duration,
};

/// Counts the calls that `claim_count` concurrent claims make once a lease is granted.
async fn calls(claim_count: usize) -> KvCalls {
    let kv = MemoryKv::new();
    kv.set_faults(|faults| faults.call_delay = Duration::from_millis(2));
    let claims = Claims::new(kv.clone(), ClaimSettings::new("a".to_owned()));
    let account = "acme".to_owned();
    claims.claim(&account, "first", [0; 32]).await.unwrap();
    let before = kv.calls();
    let waiting = (0..claim_count).map(|index| {
        let (claims, account) = (claims.clone(), account.clone());
        async move {
            tokio::time::sleep(Duration::from_micros(50 * index as u64)).await;
            claims.claim(&account, &index.to_string(), [0; 32]).await
        }
    });
    let claimed = join_all(waiting).await;
    assert!(
        claimed
            .iter()
            .all(|one| matches!(one, Ok(ClaimOutcome::Acquired(_))))
    );
    let after = kv.calls();
    KvCalls {
        txn_count: after.txn_count - before.txn_count,
        lease_count: after.lease_count - before.lease_count,
        range_count: after.range_count - before.range_count,
        watch_count: after.watch_count - before.watch_count,
    }
}

#[tokio::test(start_paused = true)]
async fn writes_per_claim_fall_with_concurrency() {
    for (claim_count, most) in [(1, 1), (10, 4), (100, 10)] {
        let calls = calls(claim_count).await;
        println!(
            "{claim_count} concurrent claims: {} writes",
            calls.txn_count
        );
        assert!(calls.txn_count <= most, "{claim_count}: {calls:?}");
        assert_eq!((calls.lease_count, calls.range_count), (0, 0));
    }
}
