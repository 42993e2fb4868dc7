//! Calls of plain services. A call that is not idempotent runs under a claim.

use {
    crate::{
        PeerDirectory, RequestHandler,
        claim::{ClaimDecision, claim_expired, request_digest, task_failed},
    },
    catalog::{Catalog, ClientAccount, Target, TargetKind},
    decision::{Outcome, Step},
    gateway::{Refusal, RefusalKind, ServiceJob, ServiceResponse},
    idempotency::{Claim, StoredAnswer},
    keyvalue::KeyValue,
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    target::{SendError, ServiceAnswer, ServiceClient, ServiceRequest},
};

/// Priority of service calls within their client account. They get the highest one because they are
/// short.
const SERVICE_PRIORITY: u8 = u8::MAX;
/// When the caller may retry if no target of the service takes the call.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The result of all attempts of one call.
enum CallOutcome {
    /// The service answered.
    Answered(ServiceAnswer),
    /// The call did not run.
    NotRun(Refusal),
    /// The call may have run.
    Unknown(Refusal),
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Calls a plain service. A call that is not idempotent needs an idempotency key and runs at
    /// most once for that key and client account, even if it is sent to several instances.
    ///
    /// # Errors
    /// [`Refusal`] that says whether the call ran.
    pub async fn call_service(&self, job: ServiceJob) -> Result<ServiceResponse, Refusal> {
        let handler = self.clone();
        // A task of its own, so that the call continues and settles its claim if the caller
        // disconnects.
        tokio::spawn(async move { handler.run_service_call(job).await })
            .await
            .unwrap_or_else(|error| Err(task_failed(&error)))
    }

    async fn run_service_call(&self, job: ServiceJob) -> Result<ServiceResponse, Refusal> {
        let catalog = self.catalog();
        let account = catalog
            .client_accounts
            .get(&job.client_account)
            .ok_or_else(|| {
                Refusal::not_run(RefusalKind::Unauthenticated, "the client account is gone")
            })?;
        self.begin_record(&job.request, &job.client_account, String::new());
        let tokens = job.body.len() as u64;
        let admitted = self
            .admission()
            .admit(account, tokens, SERVICE_PRIORITY)
            .await;
        let result = match admitted {
            Ok(_pass) => self.call_admitted(&catalog, account, &job).await,
            Err(refused) => Err(Refusal::not_run(RefusalKind::Limited, refused.to_string())
                .retry_after(refused.retry_after)),
        };
        if let Err(refusal) = &result {
            self.record_service_refusal(&job, refusal);
        }
        result
    }

    /// Runs a call that was admitted, under a claim unless all its targets list it as idempotent.
    async fn call_admitted(
        &self,
        catalog: &Catalog,
        account: &ClientAccount,
        job: &ServiceJob,
    ) -> Result<ServiceResponse, Refusal> {
        let targets = service_targets(catalog, account, &job.service);
        let Some(first) = targets.first() else {
            return Err(Refusal::not_run(
                RefusalKind::NotFound,
                format!(
                    "no target serves {:?} for this client account; ask the operator",
                    job.service
                ),
            ));
        };
        let is_idempotent = targets
            .iter()
            .all(|target| is_idempotent(target, &job.path));
        if is_idempotent {
            return match self.attempt_targets(&targets, job, None).await {
                CallOutcome::Answered(answer) => Ok(fresh_reply(answer)),
                CallOutcome::NotRun(refusal) | CallOutcome::Unknown(refusal) => Err(refusal),
            };
        }
        let Some(key) = &job.idempotency_key else {
            return Err(Refusal::not_run(
                RefusalKind::Invalid,
                format!(
                    "{}{} may not be repeated; send an Idempotency-Key header with a key of its \
                     own for each order",
                    first.service, job.path
                ),
            ));
        };
        self.call_claimed(&targets, job, key).await
    }

    /// Runs a call under the claim of its idempotency key, or replays its stored answer.
    async fn call_claimed(
        &self,
        targets: &[&Target],
        job: &ServiceJob,
        key: &str,
    ) -> Result<ServiceResponse, Refusal> {
        let digest = request_digest(&[job.service.as_bytes(), job.path.as_bytes(), &job.body]);
        let claim = match self.claim(&job.client_account, key, digest).await? {
            ClaimDecision::Acquired(claim) => claim,
            ClaimDecision::Replay(answer) => return Ok(replayed_reply(answer)),
        };
        match self.attempt_targets(targets, job, Some(&claim)).await {
            CallOutcome::Answered(answer) => {
                let stored = StoredAnswer {
                    status: answer.status,
                    content_type: answer.content_type.clone(),
                    body: answer.body.clone(),
                };
                self.claims().complete(claim, stored).await;
                Ok(fresh_reply(answer))
            }
            CallOutcome::NotRun(refusal) => {
                self.claims().release(claim).await;
                Err(refusal)
            }
            CallOutcome::Unknown(refusal) => {
                self.claims().mark_unknown(claim).await;
                Err(refusal)
            }
        }
    }

    /// Tries one target after the other until one answers or the attempts are used up. A claimed
    /// call is not tried again once it may have run, nor sent when its claim is about to expire.
    async fn attempt_targets(
        &self,
        targets: &[&Target],
        job: &ServiceJob,
        claim: Option<&Claim>,
    ) -> CallOutcome {
        let call = ServiceRequest {
            path: job.path.clone(),
            body: job.body.clone(),
            content_type: job.content_type.clone(),
            request_id: job.request.clone(),
            idempotency_key: job.idempotency_key.clone().unwrap_or_default(),
            client_account: job.client_account.clone(),
        };
        let mut tried = BTreeSet::new();
        let mut outcome = CallOutcome::NotRun(no_target_available(&job.service));
        for _ in 0..self.settings().max_attempts_count {
            let Some(target) = self.pick_target(targets, &tried) else {
                break;
            };
            if claim.is_some_and(|claim| !claim.may_send()) {
                return CallOutcome::NotRun(claim_expired());
            }
            tried.insert(target.name.as_str());
            match self.attempt_call(target, &call).await {
                Ok(answer) => return CallOutcome::Answered(answer),
                Err(error) if error.not_run() => {
                    if let CallOutcome::NotRun(_) = outcome {
                        outcome = CallOutcome::NotRun(target_refused(&error));
                    }
                }
                Err(error) => {
                    outcome = CallOutcome::Unknown(outcome_unknown(&error));
                    if claim.is_some() {
                        break;
                    }
                }
            }
        }
        outcome
    }

    /// Picks the target with the fewest requests in flight among those not tried yet. Targets whose
    /// connections failed recently come last.
    fn pick_target<'a>(
        &self,
        targets: &[&'a Target],
        tried: &BTreeSet<&str>,
    ) -> Option<&'a Target> {
        let now = Instant::now();
        targets
            .iter()
            .copied()
            .filter(|target| !target.leaving && !tried.contains(target.name.as_str()))
            .filter_map(|target| Some((target, self.fleet().view(&target.name)?)))
            .filter(|(_, view)| !view.is_leaving() && view.is_listing_fresh(now))
            .min_by_key(|(target, view)| {
                (
                    view.is_avoided(now),
                    view.in_flight_count(),
                    target.name.clone(),
                )
            })
            .map(|(target, _)| target)
    }

    async fn attempt_call(
        &self,
        target: &Target,
        call: &ServiceRequest,
    ) -> Result<ServiceAnswer, SendError> {
        log::info!(
            target: "decision",
            "request={} client_account={} decision=routed target={} service={}{}",
            call.request_id, call.client_account, target.name, target.service, call.path
        );
        let view = self.fleet().view(&target.name);
        let in_flight = view.as_ref().map(|view| view.begin_request(0));
        let client = ServiceClient::new(self.client().clone(), target.address);
        let result = client.call(call, self.settings().service_timeout).await;
        drop(in_flight);
        let (outcome, error) = match &result {
            Ok(_) => (Outcome::Run, String::new()),
            Err(error) if error.not_run() => (Outcome::NotRun, error.to_string()),
            Err(error) => {
                log::warn!(
                    target: "decision",
                    "request={} client_account={} decision=outcome_unknown target={} \
                     service={}{} error={error:?}",
                    call.request_id, call.client_account, target.name, target.service, call.path,
                    error = error.to_string()
                );
                (Outcome::Unknown, error.to_string())
            }
        };
        if let (Some(view), Err(SendError::NotSent { .. })) = (view, &result) {
            view.avoid(Instant::now());
        }
        self.records().add_step(
            &call.request_id,
            Step::Attempt {
                target: target.name.clone(),
                outcome,
                error,
            },
        );
        result
    }

    fn record_service_refusal(&self, job: &ServiceJob, refusal: &Refusal) {
        let retry_after = refusal.retry_after.unwrap_or_default();
        self.records().add_step(
            &job.request,
            Step::Refused {
                reason: refusal.message.clone(),
                retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
                rejected: Vec::new(),
            },
        );
    }
}

/// Targets of a service that at least one placement rule permits to the client account.
fn service_targets<'a>(
    catalog: &'a Catalog,
    account: &ClientAccount,
    service: &str,
) -> Vec<&'a Target> {
    let is_allowed = |target: &Target| {
        catalog.placement_rules.values().any(|rule| {
            rule.client_accounts.matches(&account.labels) && rule.targets.matches(&target.labels)
        })
    };
    catalog
        .targets
        .values()
        .filter(|target| target.kind == TargetKind::Service && target.service == service)
        .filter(|target| is_allowed(target))
        .collect()
}

/// Whether the target lists the call as idempotent. `path` may have a query, which makes no difference.
fn is_idempotent(target: &Target, path: &str) -> bool {
    let path = path.split_once('?').map_or(path, |(path, _)| path);
    target
        .calls
        .iter()
        .any(|call| call.path == path && call.idempotent)
}

fn fresh_reply(answer: ServiceAnswer) -> ServiceResponse {
    ServiceResponse {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
        replayed: false,
    }
}

fn replayed_reply(answer: StoredAnswer) -> ServiceResponse {
    ServiceResponse {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body,
        replayed: true,
    }
}

fn no_target_available(service: &str) -> Refusal {
    Refusal::not_run(
        RefusalKind::Unavailable,
        format!("no target of {service:?} takes work now; send the request again"),
    )
    .retry_after(NO_TARGET_RETRY_AFTER)
}

fn target_refused(error: &SendError) -> Refusal {
    Refusal::not_run(
        RefusalKind::Unavailable,
        format!("{error}; send the request again"),
    )
    .retry_after(NO_TARGET_RETRY_AFTER)
}

fn outcome_unknown(error: &SendError) -> Refusal {
    Refusal::unknown(
        RefusalKind::TargetFailed,
        format!("{error}; check with the service before ordering again under another key"),
    )
}
