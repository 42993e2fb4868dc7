//! Completions under an idempotency key: run at most once, and answered again from the stored
//! answer.

use {
    crate::{
        PeerDirectory, Permit, RequestHandler,
        claimed::{Entered, broken, claim_expired, request_digest},
        plan::Scope,
    },
    gateway::{CompletionEvent, CompletionJob, CompletionStream, Refusal},
    idempotency::{Claim, StoredAnswer},
    keyvalue::KeyValue,
    serde::{Deserialize, Serialize},
    tokio::sync::mpsc,
};

/// Content type under which a whole completion is stored.
const STORED_TYPE: &str = "application/json";
/// Status under which a whole completion is stored.
const STORED_STATUS: u16 = 200;
/// Events that wait while a claimed completion is gathered.
const EVENTS_BUFFER: usize = 256;

/// A whole completion as it is stored with its claim.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct WholeAnswer {
    text: String,
    finish_reason: String,
    prompt_tokens: u64,
    cached_tokens: u64,
    completion_tokens: u64,
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Runs a completion under the claim of its idempotency key. The answer is passed on once it is
    /// whole, and the run goes on when its caller goes away, so that its claim is settled.
    pub(crate) async fn complete_claimed(
        &self,
        scope: Scope,
        job: CompletionJob,
        key: String,
        pass: Permit,
    ) -> Result<CompletionStream, Refusal> {
        let serving = self.clone();
        let answer = tokio::spawn(async move {
            let answer = serving.run_claimed(scope, job, &key).await;
            drop(pass);
            answer
        });
        let answer = answer.await.unwrap_or_else(|error| Err(broken(&error)))?;
        let (events, receiver) = mpsc::channel(2);
        // Neither can fail: the receiver is here, and the channel holds both.
        let _ = events.send(CompletionEvent::Text(answer.text)).await;
        let _ = events
            .send(CompletionEvent::End {
                finish_reason: answer.finish_reason,
                prompt_tokens: answer.prompt_tokens,
                cached_tokens: answer.cached_tokens,
                completion_tokens: answer.completion_tokens,
            })
            .await;
        CompletionStream::start(receiver).await
    }

    async fn run_claimed(
        &self,
        scope: Scope,
        job: CompletionJob,
        key: &str,
    ) -> Result<WholeAnswer, Refusal> {
        let max_tokens = job.max_tokens.to_le_bytes();
        let parts = [
            b"completion",
            job.model.as_bytes(),
            job.prompt.as_bytes(),
            &max_tokens,
        ];
        let digest = request_digest(&parts);
        let claim = match self.claim(&job.client_account, key, digest).await? {
            Entered::Won(claim) => claim,
            Entered::Replay(stored) => {
                return Ok(serde_json::from_slice(&stored.body).unwrap_or_default());
            }
        };
        if !claim.may_send() {
            self.claims().release(claim).await;
            return Err(claim_expired());
        }
        let job = CompletionJob {
            stream: false,
            ..job
        };
        let (events, receiver) = mpsc::channel(EVENTS_BUFFER);
        let (answer, ()) = tokio::join!(gather(receiver), async {
            self.drive(scope, job, &events).await;
            drop(events);
        });
        self.settle(claim, &answer).await;
        answer
    }

    async fn settle(&self, claim: Claim, answer: &Result<WholeAnswer, Refusal>) {
        match answer {
            Ok(answer) => {
                let body = serde_json::to_vec(answer).expect("field names are strings");
                let stored = StoredAnswer {
                    status: STORED_STATUS,
                    content_type: STORED_TYPE.to_owned(),
                    body: body.into(),
                };
                self.claims().complete(claim, stored).await;
            }
            Err(refusal) if refusal.outcome == decision::Outcome::NotRun => {
                self.claims().release(claim).await;
            }
            Err(_) => self.claims().mark_unknown(claim).await,
        }
    }
}

/// The whole answer that events amount to.
async fn gather(mut events: mpsc::Receiver<CompletionEvent>) -> Result<WholeAnswer, Refusal> {
    let mut answer = WholeAnswer::default();
    while let Some(event) = events.recv().await {
        match event {
            CompletionEvent::Text(text) => answer.text.push_str(&text),
            CompletionEvent::Restart => answer.text.clear(),
            CompletionEvent::Failed(refusal) => return Err(refusal),
            CompletionEvent::End {
                finish_reason,
                prompt_tokens,
                cached_tokens,
                completion_tokens,
            } => {
                return Ok(WholeAnswer {
                    finish_reason,
                    prompt_tokens,
                    cached_tokens,
                    completion_tokens,
                    ..answer
                });
            }
        }
    }
    Err(Refusal::unknown(
        gateway::RefusalKind::TargetFailed,
        "the answer broke off; check before sending it under another key",
    ))
}
