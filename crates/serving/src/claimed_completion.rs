//! Completions with an idempotency key. They run at most once; repeated requests get the stored
//! answer.

use {
    crate::{
        PeerDirectory, Permit, RequestHandler,
        claim::{ClaimDecision, answer_unreadable, claim_expired, request_digest, task_failed},
        plan::CompletionContext,
    },
    gateway::{CompletionEvent, CompletionJob, CompletionStream, Refusal},
    idempotency::{Claim, StoredAnswer},
    keyvalue::KeyValue,
    serde::{Deserialize, Serialize},
    tokio::sync::mpsc,
};

/// Content type of a stored completion.
const STORED_CONTENT_TYPE: &str = "application/json";
/// HTTP status of a stored completion.
const STORED_STATUS: u16 = 200;
/// Capacity of the event channel while the answer of a claimed completion is collected.
const EVENTS_BUFFER: usize = 256;

/// A complete answer in the form in which it is stored with its claim.
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
    /// Runs a completion under the claim of its idempotency key. The caller gets the answer once it
    /// is complete. The run continues if the caller disconnects, so that its claim gets settled.
    pub(crate) async fn complete_claimed(
        &self,
        context: CompletionContext,
        job: CompletionJob,
        key: String,
        permit: Permit,
    ) -> Result<CompletionStream, Refusal> {
        let handler = self.clone();
        let answer = tokio::spawn(async move {
            let answer = handler.run_claimed(context, job, &key).await;
            drop(permit);
            answer
        });
        let answer = answer
            .await
            .unwrap_or_else(|error| Err(task_failed(&error)))?;
        let (events, receiver) = mpsc::channel(2);
        // Neither send can fail or wait: the receiver is still alive and the channel holds two
        // events.
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

    /// Claims the idempotency key, then runs the completion or returns its stored answer.
    async fn run_claimed(
        &self,
        context: CompletionContext,
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
            ClaimDecision::Acquired(claim) => claim,
            ClaimDecision::Replay(stored) => {
                return serde_json::from_slice(&stored.body)
                    .map_err(|error| answer_unreadable(&error));
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
        let (answer, ()) = tokio::join!(collect_answer(receiver), async {
            self.run_attempts(context, job, &events).await;
            drop(events);
        });
        self.settle_claim(claim, &answer).await;
        answer
    }

    /// Stores the answer with the claim. Releases the claim if the request did not run, and marks it
    /// as unknown if it may have run.
    async fn settle_claim(&self, claim: Claim, answer: &Result<WholeAnswer, Refusal>) {
        match answer {
            Ok(answer) => {
                let body = serde_json::to_vec(answer).expect("field names are strings");
                let stored = StoredAnswer {
                    status: STORED_STATUS,
                    content_type: STORED_CONTENT_TYPE.to_owned(),
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

/// Collects the events of a completion into one answer.
async fn collect_answer(
    mut events: mpsc::Receiver<CompletionEvent>,
) -> Result<WholeAnswer, Refusal> {
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
        "the answer broke off; check whether the request ran before sending it again under another \
         key",
    ))
}
