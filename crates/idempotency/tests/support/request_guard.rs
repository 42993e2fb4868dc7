//! What decides whether a request may run: the claims under test, and a faulty implementation that
//! the tests must catch.

use {
    idempotency::{Claim, ClaimOutcome, ClaimSettings, Claims, StoredAnswer},
    keyvalue::{KeyValue, MemoryKv, Op, Txn},
    std::future::Future,
};

const DIGEST: [u8; 32] = [3; 32];

/// What a caller's instance learned from an attempt to claim.
#[derive(Debug)]
pub enum Observation<Permit> {
    /// The request may run.
    Acquired(Permit),
    /// The request ran, with this answer.
    Done(u64),
    /// The instance with this index holds the claim.
    Pending(usize),
    /// The outcome is unknown; the request must never run again.
    Unknown,
    /// The attempt was refused; nothing ran.
    NotRun,
}

/// Decides for one instance which requests may run.
pub trait RequestGuard: Clone + Send + Sync + 'static {
    /// The right to run one request.
    type Permit: Send;

    /// Creates the guard of the instance with this index.
    fn start(kv: MemoryKv, index: usize) -> Self;
    fn claim(
        &self,
        account: &str,
        key: &str,
    ) -> impl Future<Output = Observation<Self::Permit>> + Send;
    fn may_send(&self, permit: &Self::Permit) -> bool;
    fn release(&self, permit: Self::Permit) -> impl Future<Output = ()> + Send;
    fn complete(&self, permit: Self::Permit, answer: u64) -> impl Future<Output = ()> + Send;
    fn mark_unknown(&self, permit: Self::Permit) -> impl Future<Output = ()> + Send;
    /// Waits until no write is running in the background.
    fn wait_idle(&self) -> impl Future<Output = ()> + Send;
}

/// The claims under test.
#[derive(Clone)]
pub struct RealClaims(Claims<MemoryKv>);

impl RequestGuard for RealClaims {
    type Permit = Claim;

    fn start(kv: MemoryKv, index: usize) -> Self {
        Self(Claims::new(kv, ClaimSettings::new(index.to_string())))
    }

    async fn claim(&self, account: &str, key: &str) -> Observation<Claim> {
        match self.0.claim(&account.to_owned(), key, DIGEST).await {
            Ok(ClaimOutcome::Acquired(claim)) => Observation::Acquired(claim),
            Ok(ClaimOutcome::Done(answer)) => Observation::Done(parse(&answer.body)),
            Ok(ClaimOutcome::Pending { holder }) => Observation::Pending(holder.parse().unwrap()),
            Ok(ClaimOutcome::Unknown { .. }) => Observation::Unknown,
            Ok(other) => panic!("{other:?} for a short answer to one request"),
            Err(_) => Observation::NotRun,
        }
    }

    fn may_send(&self, permit: &Claim) -> bool {
        permit.may_send()
    }

    async fn release(&self, permit: Claim) {
        self.0.release(permit).await;
    }

    async fn complete(&self, permit: Claim, answer: u64) {
        let answer = StoredAnswer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: answer.to_string().into(),
        };
        self.0.complete(permit, answer).await;
    }

    async fn mark_unknown(&self, permit: Claim) {
        self.0.mark_unknown(permit).await;
    }

    async fn wait_idle(&self) {
        self.0.wait_idle().await;
    }
}

/// Checks whether the key exists and then writes it, without a transaction, and takes later writes
/// as successful even if their answer is missing.
#[derive(Clone)]
pub struct NaiveClaims {
    kv: MemoryKv,
    index: usize,
}

impl NaiveClaims {
    async fn write(&self, key: &str, value: String) -> bool {
        let put = Txn {
            success: vec![Op::Put(key.to_owned(), value.into(), None)],
            ..Txn::default()
        };
        self.kv.txn(put).await.is_ok()
    }
}

impl RequestGuard for NaiveClaims {
    type Permit = String;

    fn start(kv: MemoryKv, index: usize) -> Self {
        Self { kv, index }
    }

    async fn claim(&self, account: &str, key: &str) -> Observation<String> {
        let key = format!("/naive/{account}/{key}");
        let Ok(range) = self.kv.range(&key).await else {
            return Observation::NotRun;
        };
        let Some(pair) = range.pairs.first() else {
            let held = format!("pending {}", self.index);
            if self.write(&key, held).await {
                return Observation::Acquired(key);
            }
            return Observation::NotRun;
        };
        let text = String::from_utf8(pair.value.to_vec()).unwrap();
        match text.split_once(' ') {
            Some(("done", answer)) => Observation::Done(answer.parse().unwrap()),
            Some((_, holder)) => Observation::Pending(holder.parse().unwrap()),
            None => Observation::Unknown,
        }
    }

    fn may_send(&self, _permit: &String) -> bool {
        true
    }

    async fn release(&self, permit: String) {
        let delete = Txn {
            success: vec![Op::Delete(permit)],
            ..Txn::default()
        };
        let _ = self.kv.txn(delete).await;
    }

    async fn complete(&self, permit: String, answer: u64) {
        self.write(&permit, format!("done {answer}")).await;
    }

    async fn mark_unknown(&self, permit: String) {
        self.write(&permit, "unknown".to_owned()).await;
    }

    async fn wait_idle(&self) {}
}

fn parse(body: &[u8]) -> u64 {
    std::str::from_utf8(body).unwrap().parse().unwrap()
}
