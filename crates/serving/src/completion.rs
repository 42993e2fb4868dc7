//! Handles a completion from admission to its complete answer.

use {
    crate::{
        AttemptEnd, AttemptReport, PeerDirectory, RequestHandler, Timeouts,
        attempt::Attempt,
        choose::Chosen,
        plan::{CompletionContext, Plan, prompt_tokens},
    },
    catalog::TargetId,
    decision::{Outcome, Step},
    gateway::{CompletionEvent, CompletionJob, CompletionStream, Refusal, RefusalKind},
    keyvalue::KeyValue,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    target::{CompletionRequest, EngineClient, SendError},
    tokio::sync::mpsc,
};

/// Number of events buffered for a caller that reads slowly.
const EVENTS_BUFFER: usize = 256;
/// When the caller may retry after targets have failed.
const TARGETS_FAILED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The failed attempts of a request so far.
#[derive(Default)]
struct FailedAttempts {
    targets: BTreeSet<TargetId>,
    last_error: Option<SendError>,
    may_have_run: bool,
}

impl FailedAttempts {
    fn add(&mut self, target: TargetId, failure: FailedAttempt) {
        self.targets.insert(target);
        self.may_have_run |= failure.may_have_run;
        self.last_error = Some(failure.error);
    }

    /// The refusal that follows from the failed attempts, or none if there were no attempts.
    fn refusal(&self) -> Option<Refusal> {
        let last_error = self.last_error.as_ref()?;
        Some(failure_refusal(last_error, self.may_have_run))
    }
}

/// A failed attempt.
struct FailedAttempt {
    error: SendError,
    may_have_run: bool,
}

/// What to do with a request after one attempt.
enum AfterAttempt {
    /// The request is finished.
    Done,
    /// Another target may be tried.
    Retry(FailedAttempt),
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Starts a completion and returns once the first event of its answer has arrived.
    ///
    /// # Errors
    /// [`Refusal`] if the request fails before any part of the answer was forwarded.
    pub async fn complete(&self, job: CompletionJob) -> Result<CompletionStream, Refusal> {
        let context = CompletionContext::new(self.catalog(), &job)?;
        self.begin_record(
            &job.request,
            &job.client_account,
            context.version.name.clone(),
        );
        let tokens = prompt_tokens(&job.prompt) + u64::from(job.max_tokens);
        let priority = context.rule.priority;
        let permit = match self
            .admission()
            .admit(&context.account, tokens, priority)
            .await
        {
            Ok(permit) => permit,
            Err(refused) => {
                let refusal = Refusal::not_run(RefusalKind::Limited, refused.to_string())
                    .retry_after(refused.retry_after);
                return Err(self.record_refusal(&job, refusal, Vec::new()));
            }
        };
        self.retry_budget().record_request();
        if let Some(key) = job.idempotency_key.clone() {
            return self.complete_claimed(context, job, key, permit).await;
        }
        let (events, receiver) = mpsc::channel(EVENTS_BUFFER);
        let handler = self.clone();
        tokio::spawn(async move {
            handler.run_attempts(context, job, &events).await;
            drop(permit);
        });
        CompletionStream::start(receiver).await
    }

    /// Runs attempts until the answer is complete, the caller has disconnected or no further
    /// attempt is possible: no target is left, the attempts or the retry budget are used up, or the
    /// request has an idempotency key and may have run.
    pub(crate) async fn run_attempts(
        &self,
        mut context: CompletionContext,
        job: CompletionJob,
        events: &mpsc::Sender<CompletionEvent>,
    ) {
        let mut failures = FailedAttempts::default();
        for _ in 0..self.settings().max_attempts_count {
            let chosen = match self.choose(&context, &job, &failures.targets).await {
                Ok(chosen) => chosen,
                Err(refused) => {
                    let refusal = failures
                        .refusal()
                        .unwrap_or_else(|| no_target_refusal(&refused));
                    let refusal = self.record_refusal(&job, refusal, refused.rejected);
                    let _ = events.send(CompletionEvent::Failed(refusal)).await;
                    return;
                }
            };
            self.records().add_step(
                &job.request,
                Step::Routed {
                    choice: chosen.plan.choice.clone(),
                    missing: chosen.missing.clone(),
                },
            );
            match self.attempt_plan(&chosen, &job, events).await {
                AfterAttempt::Done => return,
                AfterAttempt::Retry(failure) => failures.add(chosen.plan.engine.name, failure),
            }
            if failures.may_have_run && job.idempotency_key.is_some() {
                break;
            }
            let now = self.directory().now();
            if !self.retry_budget().try_retry(now) {
                break;
            }
            // The configuration may have changed in the meantime. If it no longer permits the
            // request, no further attempt is made.
            match CompletionContext::new(self.catalog(), &job) {
                Ok(current) => context = current,
                Err(_) => break,
            }
        }
        let refusal = failures.refusal().unwrap_or_else(no_attempt_allowed);
        let refusal = self.record_refusal(&job, refusal, Vec::new());
        let _ = events.send(CompletionEvent::Failed(refusal)).await;
    }

    /// Runs one attempt at the plan's engine: imports blocks, forwards the answer and records the
    /// outcome.
    async fn attempt_plan(
        &self,
        chosen: &Chosen,
        job: &CompletionJob,
        events: &mpsc::Sender<CompletionEvent>,
    ) -> AfterAttempt {
        let Chosen { context, plan, .. } = chosen;
        let started = Instant::now();
        let view = self.fleet().view(&plan.engine.name);
        let mut in_flight = view
            .as_ref()
            .map(|view| view.begin_request(plan.computed_tokens));
        self.import(context, plan, &job.request).await;
        let import_time = started.elapsed();
        let engine = EngineClient::new(self.client().clone(), plan.engine.address);
        let completion = completion(context, job, plan);
        let attempt = Attempt {
            engine: &engine,
            completion: &completion,
            timeouts: self.timeouts(plan),
            may_run_twice: job.idempotency_key.is_none(),
            events,
        };
        let report = attempt
            .run(|| {
                if let Some(in_flight) = &mut in_flight {
                    in_flight.mark_first_token();
                }
            })
            .await;
        self.record_attempt(context, job, plan, &report);
        match report.end {
            AttemptEnd::Completed {
                ref finish_reason,
                ref usage,
            } => {
                drop(in_flight);
                let first_token = report.first_token.unwrap_or_default() + import_time;
                self.record_finished(context, plan, &job.request, usage, first_token);
                let end = CompletionEvent::End {
                    finish_reason: finish_reason.clone(),
                    prompt_tokens: usage.prompt_tokens,
                    cached_tokens: usage.prompt_tokens_details.cached_tokens,
                    completion_tokens: usage.completion_tokens,
                };
                let _ = events.send(end).await;
                self.export_in_background(context, plan, job);
                AfterAttempt::Done
            }
            AttemptEnd::CallerDisconnected => {
                let _ = engine.cancel(&job.request).await;
                AfterAttempt::Done
            }
            AttemptEnd::Failed(ref error) => {
                self.handle_failure(job, &report, error, &engine, events)
                    .await
            }
        }
    }

    /// Decides what follows a failed attempt. If a streaming caller has already received tokens,
    /// the request fails rather than start over at another target.
    async fn handle_failure(
        &self,
        job: &CompletionJob,
        report: &AttemptReport,
        error: &SendError,
        engine: &EngineClient,
        events: &mpsc::Sender<CompletionEvent>,
    ) -> AfterAttempt {
        if report.may_have_run {
            // The run may still be in progress, but nobody waits for its answer any more.
            let _ = engine.cancel(&job.request).await;
        }
        let failure = FailedAttempt {
            error: error.clone(),
            may_have_run: report.may_have_run,
        };
        if report.forwarded_tokens_count == 0 {
            return AfterAttempt::Retry(failure);
        }
        if !job.stream {
            let _ = events.send(CompletionEvent::Restart).await;
            return AfterAttempt::Retry(failure);
        }
        let _ = events
            .send(CompletionEvent::Failed(failure_refusal(error, true)))
            .await;
        AfterAttempt::Done
    }

    /// Adds the attempt to the decision record and updates the state of its target after a failure.
    fn record_attempt(
        &self,
        context: &CompletionContext,
        job: &CompletionJob,
        plan: &Plan,
        report: &AttemptReport,
    ) {
        let view = self.fleet().view(&plan.engine.name);
        let (outcome, error) = match &report.end {
            AttemptEnd::Completed { .. } => (Outcome::Run, String::new()),
            AttemptEnd::CallerDisconnected => (Outcome::Unknown, "the caller went away".to_owned()),
            AttemptEnd::Failed(error) if !report.may_have_run => {
                (Outcome::NotRun, error.to_string())
            }
            AttemptEnd::Failed(error) => (Outcome::Unknown, error.to_string()),
        };
        if let (Some(view), AttemptEnd::Failed(error)) = (view, &report.end) {
            match error {
                error if error.is_leaving() => view.mark_refused_leaving(Instant::now()),
                SendError::NotSent { .. } | SendError::Unknown { .. } => view.avoid(Instant::now()),
                SendError::OtherVersion { .. } => {
                    view.mark_version_mismatch(&context.version.digest, Instant::now());
                }
                SendError::Refused { .. } | SendError::Failed { .. } => {}
            }
        }
        self.records().add_step(
            &job.request,
            Step::Attempt {
                target: plan.engine.name.clone(),
                outcome,
                error,
            },
        );
    }

    fn export_in_background(&self, context: &CompletionContext, plan: &Plan, job: &CompletionJob) {
        let (handler, context, plan) = (self.clone(), context.clone(), plan.clone());
        let request = job.request.clone();
        tokio::spawn(async move { handler.export(&context, &plan, &request).await });
    }

    fn timeouts(&self, plan: &Plan) -> Timeouts {
        Timeouts {
            first_byte: routing::first_token_deadline(&plan.choice.chosen),
            idle: self.settings().token_idle_timeout,
        }
    }

    /// Adds a refusal to the decision record and returns it.
    fn record_refusal(
        &self,
        job: &CompletionJob,
        refusal: Refusal,
        rejected: Vec<routing::RejectedCandidate>,
    ) -> Refusal {
        let retry_after = refusal.retry_after.unwrap_or_default();
        self.records().add_step(
            &job.request,
            Step::Refused {
                reason: refusal.message.clone(),
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
                rejected,
            },
        );
        refusal
    }
}

fn completion(context: &CompletionContext, job: &CompletionJob, plan: &Plan) -> CompletionRequest {
    CompletionRequest {
        model: job.model.clone(),
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        stream: true,
        request_id: job.request.clone(),
        priority: context.rule.priority,
        cache_salt: context.account.name.clone(),
        block_keys: plan.keys.iter().map(hex::encode).collect(),
        version: context.version.digest.clone(),
    }
}

fn no_target_refusal(refusal: &routing::NoTargetAvailable) -> Refusal {
    Refusal::not_run(RefusalKind::Unavailable, refusal.to_string()).retry_after(refusal.retry_after)
}

fn no_attempt_allowed() -> Refusal {
    Refusal::not_run(
        RefusalKind::Unavailable,
        "no attempt was allowed; check the settings",
    )
}

/// The refusal that tells the caller why the last attempt failed.
fn failure_refusal(error: &SendError, may_have_run: bool) -> Refusal {
    let message = format!("{error}; send the request again");
    let refusal = if may_have_run {
        Refusal::unknown(RefusalKind::TargetFailed, message)
    } else {
        Refusal::not_run(RefusalKind::Unavailable, message)
    };
    refusal.retry_after(TARGETS_FAILED_RETRY_AFTER)
}
