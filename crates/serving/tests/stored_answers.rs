//! A completion that is sent again gets its stored answer or an error, never another answer.

mod support;

use {
    catalog::{Catalog, Labels, ModelVersion},
    decision::Outcome,
    gateway::{CompletionEvent, CompletionJob, CompletionStream, Refusal},
    idempotency::{ClaimOutcome, ClaimSettings, Claims, StoredAnswer},
    keyvalue::MemoryKv,
    support::ACCOUNT,
};

const KEY: &str = "review-81";
const WHOLE: &[u8] = br#"{"text":"fresh","finish_reason":"stop","prompt_tokens":2,"cached_tokens":0,"completion_tokens":1}"#;

fn catalog() -> Catalog {
    let mut catalog = support::catalog();
    let version = ModelVersion {
        name: "v1".to_owned(),
        model: "m".to_owned(),
        labels: Labels::new(),
        digest: "d1".to_owned(),
        active: true,
        piece_bytes: 1,
        piece_tokens: 1,
        kv_bytes_per_token: 1,
    };
    catalog.model_versions.insert("v1".to_owned(), version);
    catalog
}

fn job() -> CompletionJob {
    CompletionJob {
        request: "r1".to_owned(),
        client_account: ACCOUNT.to_owned(),
        model: "m".to_owned(),
        prompt: "taste the bread".to_owned(),
        max_tokens: 8,
        stream: false,
        idempotency_key: Some(KEY.to_owned()),
    }
}

/// Digest of the job, which an instance stores with its claim.
fn digest(job: &CompletionJob) -> [u8; 32] {
    let max_tokens = job.max_tokens.to_le_bytes();
    let mut hasher = blake3::Hasher::new();
    let parts: [&[u8]; 4] = [
        b"completion",
        job.model.as_bytes(),
        job.prompt.as_bytes(),
        &max_tokens,
    ];
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Sends the job to an instance after another one has stored `body` as its answer.
async fn repeat(body: &'static [u8]) -> Result<CompletionStream, Refusal> {
    let kv = MemoryKv::new();
    let other = Claims::new(kv.peer(), ClaimSettings::new("a".to_owned()));
    let claimed = other.claim(&ACCOUNT.to_owned(), KEY, digest(&job())).await;
    let Ok(ClaimOutcome::Acquired(claim)) = claimed else {
        panic!("not acquired: {claimed:?}");
    };
    let answer = StoredAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: body.into(),
    };
    other.complete(claim, answer).await;
    let handler = support::handler(catalog(), kv.peer());
    handler.complete(job()).await
}

#[tokio::test]
async fn stored_answer_is_replayed() {
    let mut answer = repeat(WHOLE).await.expect("a stored answer");
    let first = answer.next().await;
    assert_eq!(first, Some(CompletionEvent::Text("fresh".to_owned())));
}

/// Guards against an answer that cannot be read and is replayed as a complete, empty one.
#[tokio::test]
async fn unreadable_stored_answer_is_refused_as_run() {
    for body in [&WHOLE[..20], b"", br#"{"text":"fresh"}"#] {
        let refusal = repeat(body).await.expect_err("no answer to replay");
        assert_eq!(refusal.outcome, Outcome::Run, "{refusal}");
    }
}
