//! Guards against a request running twice when concurrent attempts claim it through several
//! instances under faults. What the attempts observe must be linearizable.

mod support;

use {
    idempotency::{ClaimOutcome, ClaimSettings, Claims},
    keyvalue::MemoryKv,
    std::time::Duration,
    support::{NaiveClaims, RealClaims, RequestGuard, RunReport, Simulation},
};

const SEEDS: std::ops::Range<u64> = 0..300;

fn run<Claims>(seeds: std::ops::Range<u64>) -> RunReport
where
    Claims: RequestGuard,
{
    let mut total = RunReport::default();
    for seed in seeds {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        total.add(runtime.block_on(Simulation::<Claims>::run(seed)));
    }
    println!("{total:?}");
    total
}

#[test]
fn no_request_runs_twice() {
    let total = run::<RealClaims>(SEEDS);
    assert!(total.ran_count > 100, "the faults left too little to check");
    assert_eq!(total.failed_seeds, Vec::<u64>::new(), "{total:?}");
}

#[test]
fn simulation_catches_check_then_write() {
    let total = run::<NaiveClaims>(SEEDS);
    assert!(total.repeated_count > 0);
    assert!(total.not_linearizable_count > 0);
}

/// Returns how often one request runs if an instance freezes for `frozen` after its claim, possibly
/// for longer than the retention, while another instance retries the request.
async fn runs_around_a_freeze(frozen: Duration, asks_clock: bool) -> usize {
    let kv = MemoryKv::new();
    let entry = |name: &str| {
        let settings = ClaimSettings::new(name.to_owned()).retention(Duration::from_mins(1));
        Claims::new(kv.peer(), settings)
    };
    let (account, digest) = ("acme".to_owned(), [0; 32]);
    let Ok(ClaimOutcome::Acquired(frozen_claim)) = entry("a").claim(&account, "key", digest).await
    else {
        panic!("not acquired");
    };
    tokio::time::sleep(frozen).await;
    let retried = entry("b").claim(&account, "key", digest).await;
    let retry_runs = matches!(retried, Ok(ClaimOutcome::Acquired(_)));
    let thawed_runs = !asks_clock || frozen_claim.may_send();
    usize::from(retry_runs) + usize::from(thawed_runs)
}

#[tokio::test(start_paused = true)]
async fn a_holder_frozen_past_the_retention_does_not_run() {
    for frozen_s in [0, 5, 9, 11, 59, 3700, 90_000] {
        let frozen = Duration::from_secs(frozen_s);
        assert!(runs_around_a_freeze(frozen, true).await <= 1);
    }
    let day = Duration::from_hours(25);
    assert_eq!(runs_around_a_freeze(day, false).await, 2);
}
