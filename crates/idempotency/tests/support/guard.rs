//! What decides whether a request may run: the claims under test, and a naive way to compare with.

use {
    idempotency::{Claim, ClaimOutcome, ClaimSettings, Claims, StoredAnswer},
    keyvalue::{KeyValue, MemoryKv, Op, Txn},
    std::future::Future,
};

const DIGEST: [u8; 32] = [3; 32];

/// What a caller's instance learnt.
#[derive(Debug)]
pub enum Seen<Won> {
    /// The request may run.
    Won(Won),
    /// It ran; the number is its answer.
    Done(u64),
    /// The instance with this index holds the claim.
    Pending(usize),
    /// Never to be run again.
    Unknown,
    /// Refused; nothing ran.
    NotRun,
}

/// Guards requests of one instance.
pub trait Guard: Clone + Send + Sync + 'static {
    /// The right to run.
    type Won: Send;

    /// A guard for the instance with this index.
    fn start(kv: MemoryKv, index: usize) -> Self;
    fn claim(&self, account: &str, key: &str) -> impl Future<Output = Seen<Self::Won>> + Send;
    fn may_send(&self, won: &Self::Won) -> bool;
    fn release(&self, won: Self::Won) -> impl Future<Output = ()> + Send;
    fn complete(&self, won: Self::Won, answer: u64) -> impl Future<Output = ()> + Send;
    fn mark_unknown(&self, won: Self::Won) -> impl Future<Output = ()> + Send;
    /// Waits until nothing goes on in the background.
    fn idle(&self) -> impl Future<Output = ()> + Send;
}

/// The claims under test.
#[derive(Clone)]
pub struct RealClaims(Claims<MemoryKv>);

impl Guard for RealClaims {
    type Won = Claim;

    fn start(kv: MemoryKv, index: usize) -> Self {
        Self(Claims::new(kv, ClaimSettings::new(index.to_string())))
    }

    async fn claim(&self, account: &str, key: &str) -> Seen<Claim> {
        match self.0.claim(&account.to_owned(), key, DIGEST).await {
            Ok(ClaimOutcome::Acquired(claim)) => Seen::Won(claim),
            Ok(ClaimOutcome::Done(answer)) => Seen::Done(parse(&answer.body)),
            Ok(ClaimOutcome::Pending { holder }) => Seen::Pending(holder.parse().unwrap()),
            Ok(ClaimOutcome::Unknown { .. }) => Seen::Unknown,
            Ok(other) => panic!("{other:?} for a short answer to one request"),
            Err(_) => Seen::NotRun,
        }
    }

    fn may_send(&self, won: &Claim) -> bool {
        won.may_send()
    }

    async fn release(&self, won: Claim) {
        self.0.release(won).await;
    }

    async fn complete(&self, won: Claim, answer: u64) {
        let answer = StoredAnswer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: answer.to_string().into(),
        };
        self.0.complete(won, answer).await;
    }

    async fn mark_unknown(&self, won: Claim) {
        self.0.mark_unknown(won).await;
    }

    async fn idle(&self) {
        self.0.wait_idle().await;
    }
}

/// Reads whether the key is there, then writes it; a missing answer counts as success.
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

impl Guard for NaiveClaims {
    type Won = String;

    fn start(kv: MemoryKv, index: usize) -> Self {
        Self { kv, index }
    }

    async fn claim(&self, account: &str, key: &str) -> Seen<String> {
        let key = format!("/naive/{account}/{key}");
        let Ok(range) = self.kv.range(&key).await else {
            return Seen::NotRun;
        };
        let Some(pair) = range.pairs.first() else {
            let held = format!("pending {}", self.index);
            if self.write(&key, held).await {
                return Seen::Won(key);
            }
            return Seen::NotRun;
        };
        let text = String::from_utf8(pair.value.to_vec()).unwrap();
        match text.split_once(' ') {
            Some(("done", answer)) => Seen::Done(answer.parse().unwrap()),
            Some((_, holder)) => Seen::Pending(holder.parse().unwrap()),
            None => Seen::Unknown,
        }
    }

    fn may_send(&self, _won: &String) -> bool {
        true
    }

    async fn release(&self, won: String) {
        let delete = Txn {
            success: vec![Op::Delete(won)],
            ..Txn::default()
        };
        let _ = self.kv.txn(delete).await;
    }

    async fn complete(&self, won: String, answer: u64) {
        self.write(&won, format!("done {answer}")).await;
    }

    async fn mark_unknown(&self, won: String) {
        self.write(&won, "unknown".to_owned()).await;
    }

    async fn idle(&self) {}
}

fn parse(body: &[u8]) -> u64 {
    std::str::from_utf8(body).unwrap().parse().unwrap()
}
