//! Outcomes of claims under one idempotency key.

use {
    idempotency::{ClaimError, ClaimOutcome, ClaimSettings, Claims, StoredAnswer},
    keyvalue::{KeyValue, MemoryKv},
    proptest::prelude::{any, proptest},
    std::time::Duration,
};

const DIGEST: [u8; 32] = [1; 32];

fn entry(kv: &MemoryKv, name: &str) -> Claims<MemoryKv> {
    Claims::new(kv.peer(), ClaimSettings::new(name.to_owned()))
}

fn answer(length: usize) -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: vec![b'x'; length].into(),
    }
}

async fn claim(claims: &Claims<MemoryKv>, account: &str) -> Result<ClaimOutcome, ClaimError> {
    claims.claim(&account.to_owned(), "key", DIGEST).await
}

#[tokio::test(start_paused = true)]
async fn a_second_instance_learns_who_holds_the_claim() {
    let kv = MemoryKv::new();
    let (first, second) = (entry(&kv, "a"), entry(&kv, "b"));
    let Ok(ClaimOutcome::Acquired(acquired)) = claim(&first, "acme").await else {
        panic!("not acquired");
    };
    let holder = "a".to_owned();
    assert_eq!(
        claim(&second, "acme").await,
        Ok(ClaimOutcome::Pending {
            holder: holder.clone()
        })
    );
    first.mark_unknown(acquired).await;
    assert_eq!(
        claim(&second, "acme").await,
        Ok(ClaimOutcome::Unknown { holder })
    );
}

#[tokio::test(start_paused = true)]
async fn accounts_do_not_share_keys_and_a_key_is_for_one_request() {
    let kv = MemoryKv::new();
    let claims = entry(&kv, "a");
    assert!(matches!(
        claim(&claims, "acme").await,
        Ok(ClaimOutcome::Acquired(_))
    ));
    assert!(matches!(
        claim(&claims, "bolt").await,
        Ok(ClaimOutcome::Acquired(_))
    ));
    let other_request = claims.claim(&"acme".to_owned(), "key", [2; 32]).await;
    assert_eq!(other_request, Ok(ClaimOutcome::KeyReused));
}

#[tokio::test(start_paused = true)]
async fn an_answer_is_replayed_whole_or_only_its_status() {
    let kv = MemoryKv::new();
    let claims = entry(&kv, "a");
    for (account, length) in [("short", 64 << 10), ("long", (64 << 10) + 1)] {
        let Ok(ClaimOutcome::Acquired(acquired)) = claim(&claims, account).await else {
            panic!("not acquired");
        };
        claims.complete(acquired, answer(length)).await;
    }
    let short = claim(&entry(&kv, "b"), "short").await;
    assert_eq!(short, Ok(ClaimOutcome::Done(answer(64 << 10))));
    let long = claim(&entry(&kv, "b"), "long").await;
    assert_eq!(long, Ok(ClaimOutcome::DoneWithoutBody { status: 201 }));
}

#[tokio::test(start_paused = true)]
async fn a_released_claim_can_be_won_again() {
    let kv = MemoryKv::new();
    let claims = entry(&kv, "a");
    let Ok(ClaimOutcome::Acquired(acquired)) = claim(&claims, "acme").await else {
        panic!("not acquired");
    };
    claims.release(acquired).await;
    let again = claim(&entry(&kv, "b"), "acme").await;
    assert!(matches!(again, Ok(ClaimOutcome::Acquired(_))));
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_refused_at_once_with_a_retry_delay() {
    let kv = MemoryKv::new();
    let claims = Claims::new(kv.clone(), ClaimSettings::new("a".to_owned()));
    kv.set_faults(|faults| faults.unreachable = true);
    let refused = claim(&claims, "acme").await.unwrap_err();
    assert_eq!(refused.retry_after(), Duration::from_secs(1));
    assert!(refused.to_string().contains("was not run"));
    kv.set_faults(|faults| faults.unreachable = false);
    assert!(matches!(
        claim(&claims, "acme").await,
        Ok(ClaimOutcome::Acquired(_))
    ));
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_takes_effect_late_is_released() {
    let kv = MemoryKv::new();
    let claims = Claims::new(kv.clone(), ClaimSettings::new("a".to_owned()));
    assert!(matches!(
        claim(&claims, "warm").await,
        Ok(ClaimOutcome::Acquired(_))
    ));
    kv.set_faults(|faults| {
        faults.late_call_count = 1;
        faults.late_call_delay = Duration::from_secs(20);
    });
    let refused = claim(&claims, "acme").await;
    assert!(matches!(refused, Err(ClaimError::Unconfirmed { .. })));
    tokio::time::sleep(Duration::from_secs(21)).await;
    assert_eq!(
        kv.range("/rattan/claim/acme/").await.unwrap().pairs.len(),
        1
    );
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(matches!(
        claim(&claims, "acme").await,
        Ok(ClaimOutcome::Acquired(_))
    ));
}

#[tokio::test(start_paused = true)]
async fn a_claim_whose_caller_stopped_waiting_is_released() {
    let kv = MemoryKv::new();
    let claims = Claims::new(kv.clone(), ClaimSettings::new("a".to_owned()));
    kv.set_faults(|faults| faults.call_delay = Duration::from_millis(100));
    let impatient = tokio::time::timeout(Duration::from_millis(150), claim(&claims, "acme"));
    assert!(impatient.await.is_err());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(matches!(
        claim(&claims, "acme").await,
        Ok(ClaimOutcome::Acquired(_))
    ));
}

proptest! {
    #[test]
    fn any_record_is_read_without_panic(value in any::<Vec<u8>>(), state in "[a-z_]{0,8}") {
        let known = format!(r#"{{"nonce":"n","holder":"h","request_digest":"d","state":{{"state":"{state}"}}}}"#);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        for value in [value, known.into_bytes()] {
            runtime.block_on(async {
                let kv = MemoryKv::new();
                let claims = entry(&kv, "a");
                assert!(matches!(claim(&claims, "acme").await, Ok(ClaimOutcome::Acquired(_))));
                let key = kv.range("/rattan/claim/").await.unwrap().pairs.remove(0).key;
                kv.txn(keyvalue::Txn {
                    success: vec![keyvalue::Op::Put(key, value.into(), None)],
                    ..keyvalue::Txn::default()
                }).await.unwrap();
                assert!(!matches!(claim(&claims, "acme").await, Ok(ClaimOutcome::Acquired(_))));
            });
        }
    }
}
