//! A completion's way from admission to its whole answer.

use {
    crate::{
        AttemptEnd, AttemptReport, Bounds, PeerDirectory, RequestHandler,
        attempt::Attempt,
        choose::Chosen,
        plan::{Plan, Scope, prompt_tokens},
    },
    catalog::TargetId,
    decision::{Outcome, Step},
    gateway::{CompletionJob, Event, Kind, Refusal, Started},
    keyvalue::KeyValue,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    target::{CompletionRequest, EngineClient, SendError},
    tokio::sync::mpsc,
};

/// Events of an answer that wait for a slow caller.
const EVENTS_BUFFER: usize = 256;
/// When to come back after targets failed.
const TARGETS_FAILED_RETRY: Duration = Duration::from_millis(500);

/// What earlier attempts at a request came to.
#[derive(Default)]
struct Tried {
    targets: BTreeSet<TargetId>,
    last: Option<SendError>,
    may_have_run: bool,
}

impl Tried {
    fn add(&mut self, target: TargetId, broken: Broken) {
        self.targets.insert(target);
        self.may_have_run |= broken.may_have_run;
        self.last = Some(broken.error);
    }

    /// The refusal that the attempts justify; none if there were none.
    fn refusal(&self) -> Option<Refusal> {
        let last = self.last.as_ref()?;
        Some(failed(last, self.may_have_run))
    }
}

/// A broken attempt.
struct Broken {
    error: SendError,
    may_have_run: bool,
}

/// How one attempt leaves its request.
enum Next {
    /// Nothing more to do.
    Done,
    /// Another target may be tried.
    Retry(Broken),
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Starts a completion; resolves once the first part of the answer is there.
    ///
    /// # Errors
    /// [`Refusal`] if it cannot be answered, known before any part of the answer was passed on.
    pub async fn complete(&self, job: CompletionJob) -> Result<Started, Refusal> {
        let scope = Scope::new(self.catalog(), &job)?;
        self.begin_record(
            &job.request,
            &job.client_account,
            scope.version.name.clone(),
        );
        let tokens = prompt_tokens(&job.prompt) + u64::from(job.max_tokens);
        let priority = scope.rule.priority;
        let pass = match self
            .admission()
            .admit(&scope.account, tokens, priority)
            .await
        {
            Ok(pass) => pass,
            Err(refused) => {
                let refusal = Refusal::not_run(Kind::Limited, refused.to_string())
                    .retry_after(refused.retry_after);
                return Err(self.refuse(&job, refusal, Vec::new()));
            }
        };
        self.retries().record_request();
        if let Some(key) = job.idempotency_key.clone() {
            return self.complete_claimed(scope, job, key, pass).await;
        }
        let (events, receiver) = mpsc::channel(EVENTS_BUFFER);
        let serving = self.clone();
        tokio::spawn(async move {
            serving.drive(scope, job, &events).await;
            drop(pass);
        });
        Started::first(receiver).await
    }

    /// Runs attempts until the answer is whole, the caller is gone or no target is left.
    pub(crate) async fn drive(
        &self,
        mut scope: Scope,
        job: CompletionJob,
        events: &mpsc::Sender<Event>,
    ) {
        let mut tried = Tried::default();
        for _ in 0..self.settings().max_attempts_count {
            let chosen = match self.choose(&scope, &job, &tried.targets).await {
                Ok(chosen) => chosen,
                Err(none) => {
                    let refusal = tried.refusal().unwrap_or_else(|| no_target(&none));
                    let refusal = self.refuse(&job, refusal, none.rejected);
                    let _ = events.send(Event::Failed(refusal)).await;
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
            match self.try_plan(&chosen, &job, events).await {
                Next::Done => return,
                Next::Retry(broken) => tried.add(chosen.plan.engine.name, broken),
            }
            if tried.may_have_run && job.idempotency_key.is_some() {
                break;
            }
            let now = self.directory().now();
            if !self.retries().try_retry(now) {
                break;
            }
            // The configuration may have changed meanwhile; a scope that is gone ends the attempts.
            match Scope::new(self.catalog(), &job) {
                Ok(current) => scope = current,
                Err(_) => break,
            }
        }
        let refusal = tried.refusal().unwrap_or_else(gave_up);
        let refusal = self.refuse(&job, refusal, Vec::new());
        let _ = events.send(Event::Failed(refusal)).await;
    }

    async fn try_plan(
        &self,
        chosen: &Chosen,
        job: &CompletionJob,
        events: &mpsc::Sender<Event>,
    ) -> Next {
        let Chosen { scope, plan, .. } = chosen;
        let started = Instant::now();
        let view = self.fleet().view(&plan.engine.name);
        let mut in_flight = view
            .as_ref()
            .map(|view| view.begin_request(plan.computed_tokens));
        self.import(scope, plan, &job.request).await;
        let imported = started.elapsed();
        let engine = EngineClient::new(self.client().clone(), plan.engine.address);
        let completion = completion(scope, job, plan);
        let attempt = Attempt {
            engine: &engine,
            completion: &completion,
            bounds: self.bounds(plan),
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
        self.note_attempt(scope, job, plan, &report);
        match report.end {
            AttemptEnd::Whole {
                ref finish_reason,
                ref usage,
            } => {
                drop(in_flight);
                let first_token = report.first_token.unwrap_or_default() + imported;
                self.note_answered(scope, plan, &job.request, usage, first_token);
                let end = Event::End {
                    finish_reason: finish_reason.clone(),
                    prompt_tokens: usage.prompt_tokens,
                    cached_tokens: usage.prompt_tokens_details.cached_tokens,
                    completion_tokens: usage.completion_tokens,
                };
                let _ = events.send(end).await;
                self.export_in_background(scope, plan, job);
                Next::Done
            }
            AttemptEnd::CallerGone => {
                let _ = engine.cancel(&job.request).await;
                Next::Done
            }
            AttemptEnd::Broken(ref error) => {
                self.after_break(job, &report, error, &engine, events).await
            }
        }
    }

    /// Decides what follows a broken attempt. An answer of which the caller has seen a part is
    /// never begun anew elsewhere.
    async fn after_break(
        &self,
        job: &CompletionJob,
        report: &AttemptReport,
        error: &SendError,
        engine: &EngineClient,
        events: &mpsc::Sender<Event>,
    ) -> Next {
        if report.may_have_run {
            // The run may still be going on; nobody waits for it any more.
            let _ = engine.cancel(&job.request).await;
        }
        let broken = Broken {
            error: error.clone(),
            may_have_run: report.may_have_run,
        };
        if report.passed_count == 0 {
            return Next::Retry(broken);
        }
        if !job.stream {
            let _ = events.send(Event::Restart).await;
            return Next::Retry(broken);
        }
        let _ = events.send(Event::Failed(failed(error, true))).await;
        Next::Done
    }

    fn note_attempt(
        &self,
        scope: &Scope,
        job: &CompletionJob,
        plan: &Plan,
        report: &AttemptReport,
    ) {
        let view = self.fleet().view(&plan.engine.name);
        let (outcome, error) = match &report.end {
            AttemptEnd::Whole { .. } => (Outcome::Run, String::new()),
            AttemptEnd::CallerGone => (Outcome::Unknown, "the caller went away".to_owned()),
            AttemptEnd::Broken(error) if !report.may_have_run => {
                (Outcome::NotRun, error.to_string())
            }
            AttemptEnd::Broken(error) => (Outcome::Unknown, error.to_string()),
        };
        if let (Some(view), AttemptEnd::Broken(error)) = (view, &report.end) {
            match error {
                error if error.is_leaving() => view.mark_refused_leaving(Instant::now()),
                SendError::NotSent { .. } | SendError::Unknown { .. } => view.avoid(Instant::now()),
                SendError::OtherVersion { .. } => {
                    view.mark_version_mismatch(&scope.version.digest, Instant::now());
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

    fn export_in_background(&self, scope: &Scope, plan: &Plan, job: &CompletionJob) {
        let (serving, scope, plan) = (self.clone(), scope.clone(), plan.clone());
        let request = job.request.clone();
        tokio::spawn(async move { serving.export(&scope, &plan, &request).await });
    }

    fn bounds(&self, plan: &Plan) -> Bounds {
        Bounds {
            first_byte: routing::first_token_deadline(&plan.choice.chosen),
            silence: self.settings().token_idle_timeout,
        }
    }

    /// Records a refusal and gives it back.
    fn refuse(
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

fn completion(scope: &Scope, job: &CompletionJob, plan: &Plan) -> CompletionRequest {
    CompletionRequest {
        model: job.model.clone(),
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        stream: true,
        request_id: job.request.clone(),
        priority: scope.rule.priority,
        cache_salt: scope.account.name.clone(),
        block_keys: plan.keys.iter().map(hex::encode).collect(),
        version: scope.version.digest.clone(),
    }
}

fn no_target(refusal: &routing::NoTargetAvailable) -> Refusal {
    Refusal::not_run(Kind::Unavailable, refusal.to_string()).retry_after(refusal.retry_after)
}

fn gave_up() -> Refusal {
    Refusal::not_run(
        Kind::Unavailable,
        "no attempt was allowed; check the settings",
    )
}

/// The refusal that states why a request's last attempt failed.
fn failed(error: &SendError, may_have_run: bool) -> Refusal {
    let message = format!("{error}; send the request again");
    let refusal = if may_have_run {
        Refusal::unknown(Kind::TargetFailed, message)
    } else {
        Refusal::not_run(Kind::Unavailable, message)
    };
    refusal.retry_after(TARGETS_FAILED_RETRY)
}
