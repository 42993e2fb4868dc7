//! Updates the weights of one target: drain, order, wait until loaded.

use {
    super::OrderIssuer,
    crate::{
        OrderLock, OrderOutcome, Platform, RunningRequests, TargetReport, VersionOrder,
        rollout::{self, AttemptOutcome, RolloutCandidate},
    },
    catalog::TargetId,
    eventlog::Event,
    keyvalue::KeyValue,
    relay::{TargetState, WantedVersions, boot_time},
    std::{sync::Arc, time::Duration},
    target::{Reuse, SendError},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Longest time that an order may take to arrive at its target. No order is sent if the lease might
/// expire sooner.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);
/// Timeout of a request for a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an order. Short, since repeating an order is harmless.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Attempts to send an order to a target that does not respond, before another target may be updated
/// in its place.
const MAX_ORDER_ATTEMPTS_COUNT: u32 = 4;
/// Delay before each poll of a target that is loading.
const LOADING_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Delay between two polls of a target that is draining.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Further polls of a target that is draining. After these (0.5 s), the order lets unfinished
/// requests continue on the new weights: the whole pool must be updated within the version bound,
/// and the longest requests take seconds.
const MAX_DRAIN_POLLS_COUNT: u32 = 2;
/// Time to wait for an order to be executed before a new attempt. It sets the number of polls, so
/// targets that are slow to report extend it.
const LOADING_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of an order and its retries.
enum OrderResult {
    /// The target is executing this order or another one, or has the wanted weights already.
    AcceptedOrLoaded,
    /// The target refused the last attempt or could not be reached. An earlier attempt may still be
    /// executed.
    Refused,
    /// The target responded to no attempt; one of them may still be executed.
    Unanswered,
    /// No further orders are sent, because this instance may not send any or a newer version is
    /// wanted. An earlier attempt may still be executed.
    Stopped,
}

impl<Kv, Format> OrderIssuer<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Orders a target to load new weights and waits until it has them, for a limited time. Returns
    /// the target's id with the outcome.
    pub(super) async fn replace_weights(
        &self,
        lock: OrderLock,
        target: Arc<TargetState>,
        candidate: RolloutCandidate,
        wanted_version: u64,
    ) -> (TargetId, AttemptOutcome) {
        let outcome = self
            .update_weights(lock, &target, &candidate, wanted_version)
            .await;
        (target.id.clone(), outcome)
    }

    async fn update_weights(
        &self,
        lock: OrderLock,
        target: &TargetState,
        candidate: &RolloutCandidate,
        wanted_version: u64,
    ) -> AttemptOutcome {
        let Some(report) = self.wait_until_drained(target, &candidate.model).await else {
            return AttemptOutcome::Failed;
        };
        let reported = report.models.iter().find(|it| it.model == candidate.model);
        if let Some(state) = reported {
            target
                .call_stats
                .record_version(&state.model, state.version);
        }
        if reported.is_some_and(|it| it.version >= wanted_version) {
            return AttemptOutcome::NotFailed;
        }
        let result = if report.busy {
            OrderResult::AcceptedOrLoaded
        } else {
            self.send_order_until_answered(lock, target, candidate, wanted_version, &report)
                .await
        };
        match result {
            OrderResult::AcceptedOrLoaded => {
                self.wait_until_loaded(target, &candidate.model, wanted_version)
                    .await
            }
            OrderResult::Refused | OrderResult::Unanswered => AttemptOutcome::Failed,
            OrderResult::Stopped => {
                sleep(LOADING_POLL_PERIOD).await;
                AttemptOutcome::NotFailed
            }
        }
    }

    /// Waits for the target's requests to end, for at most [`MAX_DRAIN_POLLS_COUNT`] polls and only
    /// while [`Self::waits_for_requests`] allows it. Returns the last report, or `None` if one is
    /// missing or malformed.
    async fn wait_until_drained(&self, target: &TargetState, model: &str) -> Option<TargetReport> {
        let mut report = self.fetch_report(target).await?;
        for _ in 0..MAX_DRAIN_POLLS_COUNT {
            if report.is_idle() || report.busy || !self.waits_for_requests(target, model) {
                break;
            }
            sleep(DRAIN_POLL_PERIOD).await;
            report = self.fetch_report(target).await?;
        }
        Some(report)
    }

    /// Whether the oldest version that `target` lacks was requested so recently that there is time
    /// to wait for the target's running requests; see [`rollout::waits_for_requests`].
    fn waits_for_requests(&self, target: &TargetState, model: &str) -> bool {
        let known = self.shared.known();
        let wanted = known.wanted().get(model);
        let version = target.version(model).unwrap_or(0);
        let bound = self.shared.settings.version_bound;
        wanted.is_some_and(|it| rollout::waits_for_requests(it, version, boot_time(), bound))
    }

    /// Sends an order up to [`MAX_ORDER_ATTEMPTS_COUNT`] times until the target responds. An order
    /// without a response may be executed at any time, or never. All of them state the same number
    /// of accepted orders, so the target executes at most one and refuses the others whenever they
    /// arrive.
    async fn send_order_until_answered(
        &self,
        lock: OrderLock,
        target: &TargetState,
        candidate: &RolloutCandidate,
        wanted_version: u64,
        report: &TargetReport,
    ) -> OrderResult {
        for attempt in 0..MAX_ORDER_ATTEMPTS_COUNT {
            let next_at = Instant::now() + ORDER_TIMEOUT;
            if self.newest_wanted(&candidate.model) != Some(wanted_version) {
                return OrderResult::Stopped;
            }
            let Some(sent) = self
                .send_order(lock, target, candidate, wanted_version, report)
                .await
            else {
                return OrderResult::Stopped;
            };
            match sent {
                Ok(OrderOutcome::Holds) => {
                    target
                        .call_stats
                        .record_version(&candidate.model, wanted_version);
                    return OrderResult::AcceptedOrLoaded;
                }
                Ok(OrderOutcome::Accepted) => return OrderResult::AcceptedOrLoaded,
                // Presumably an earlier attempt has arrived. If it was another order, the polls
                // that follow show that the weights are missing, and the target is planned again.
                Ok(OrderOutcome::Conflict) if attempt > 0 => return OrderResult::AcceptedOrLoaded,
                Err(SendError::Unknown { .. }) => sleep_until(next_at).await,
                Ok(_) | Err(_) => return OrderResult::Refused,
            }
        }
        OrderResult::Unanswered
    }

    /// Returns the newest wanted version of `model`.
    fn newest_wanted(&self, model: &str) -> Option<u64> {
        let known = self.shared.known();
        known
            .wanted()
            .get(model)
            .map(WantedVersions::newest_version)
    }

    /// Sends one order. Returns `None` if this instance may not send any now.
    async fn send_order(
        &self,
        lock: OrderLock,
        target: &TargetState,
        candidate: &RolloutCandidate,
        wanted_version: u64,
        report: &TargetReport,
    ) -> Option<Result<OrderOutcome, SendError>> {
        // Checked at the last moment, since this instance may have been suspended after reading the
        // report.
        let lease = self.shared.lease();
        let fencing = lease.and_then(|it| lock.usable_fencing(&it, boot_time(), ARRIVAL_MARGIN))?;
        if fencing < self.shared.known().fencing().highest {
            return None;
        }
        let order = VersionOrder {
            target: target.id.clone(),
            model: candidate.model.clone(),
            version: wanted_version,
            running_requests: if report.is_idle() {
                RunningRequests::Finish
            } else {
                RunningRequests::Continue
            },
            holder: self.shared.settings.instance.clone(),
            fencing,
            accepted_orders_count: report.accepted_orders_count,
        };
        let call = self.shared.format.order_request(&order);
        let sent = self
            .client
            .send(target.address, call, Reuse::Fresh, ORDER_TIMEOUT)
            .await;
        if let Ok(reply) = &sent {
            self.shared.record_report(target, reply);
        }
        let outcome = sent.map(|reply| self.shared.format.order_outcome(reply.status().as_u16()));
        self.shared.log.emit(&Event::Order {
            target: order.target,
            model: order.model,
            version: wanted_version,
            fencing,
            accepted_before: order.accepted_orders_count,
            outcome: match &outcome {
                Ok(outcome) => format!("{outcome:?}"),
                Err(error) => error.to_string(),
            },
        });
        Some(outcome)
    }

    /// Polls the target until it has the wanted weights, has stopped loading without them, or all
    /// polls of [`LOADING_TIMEOUT`] are used up. Fails if a report is missing, is malformed or lacks
    /// the model.
    async fn wait_until_loaded(
        &self,
        target: &TargetState,
        model: &str,
        wanted_version: u64,
    ) -> AttemptOutcome {
        let accepted_at = boot_time();
        let rounds = LOADING_TIMEOUT.as_millis() / LOADING_POLL_PERIOD.as_millis();
        for _ in 0..rounds {
            sleep(LOADING_POLL_PERIOD).await;
            let Some(report) = self.fetch_report(target).await else {
                return AttemptOutcome::Failed;
            };
            let state = report.models.iter().find(|state| state.model == model);
            let Some(state) = state else {
                return AttemptOutcome::Failed;
            };
            if state.version >= wanted_version {
                target.call_stats.record_version(model, state.version);
                return AttemptOutcome::NotFailed;
            }
            let age = boot_time().saturating_sub(accepted_at);
            if !rollout::is_order_in_progress(report.busy, age) {
                return AttemptOutcome::NotFailed;
            }
        }
        AttemptOutcome::NotFailed
    }

    /// Reads the report of a target, on a connection that carries no other request: a report names no
    /// request, so an earlier one could not be told from it.
    async fn fetch_report(&self, target: &TargetState) -> Option<TargetReport> {
        let call = self.shared.format.report_request();
        let sent = self
            .client
            .send(target.address, call, Reuse::Fresh, REPORT_TIMEOUT)
            .await;
        let body = match sent {
            Ok(mut reply) => {
                reply.forbid_reuse();
                self.shared.record_report(target, &reply);
                reply.delimited_body(REPORT_TIMEOUT).await
            }
            Err(error) => Err(error),
        };
        match body {
            Ok(body) => self.shared.format.parse_report(&body),
            Err(error) => {
                log::info!("failed to get a target's report: {error}");
                None
            }
        }
    }
}
