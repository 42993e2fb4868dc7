//! One target's way to new weights.

use {
    super::OrderIssuer,
    crate::{
        OrderLock, OrderOutcome, Platform, RunningRequests, TargetReport, VersionOrder,
        rollout::{self, AttemptOutcome, RolloutCandidate},
    },
    catalog::TargetId,
    eventlog::Event,
    keyvalue::KeyValue,
    relay::{TargetState, Wanted, boot_time},
    std::{sync::Arc, time::Duration},
    target::{Reuse, SendError},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Longest time until an order has arrived at its target.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);
/// Longest time for a target's report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for the answer to an order; a repeated order does no harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Orders to a target that does not answer them, before others get its place.
const MAX_ORDER_ATTEMPTS_COUNT: u32 = 4;
/// How often a target is looked at while it carries out an order.
const LOADING_POLL_PERIOD: Duration = Duration::from_millis(250);
/// How often it is looked whether a target's runs have ended.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(250);
/// Looks after which the runs that are left go on with the new weights: a whole pool has to be
/// replaced within its bound, and the longest runs take seconds.
const MAX_DRAIN_POLLS_COUNT: u32 = 2;
/// Longest time that an order is waited for before the target is asked again.
const LOADING_TIMEOUT: Duration = Duration::from_secs(3);

/// What came of an order and its repetitions.
enum OrderResult {
    /// An order is being carried out, this one or an earlier one.
    InProgress,
    /// The target refused it or can't be reached.
    Refused,
    /// The target answered none; one may still be carried out.
    Unanswered,
    /// This instance may give no order, or not this one any more.
    NotSent,
}

impl<Kv, Format> OrderIssuer<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Orders one target to new weights and waits until it has them. Gives its name back, and what
    /// came of it.
    pub(super) async fn replace(
        &self,
        lock: OrderLock,
        target: Arc<TargetState>,
        candidate: RolloutCandidate,
        wanted: u64,
    ) -> (TargetId, AttemptOutcome) {
        let outcome = self.update_weights(lock, &target, &candidate, wanted).await;
        (target.id.clone(), outcome)
    }

    async fn update_weights(
        &self,
        lock: OrderLock,
        target: &TargetState,
        candidate: &RolloutCandidate,
        wanted: u64,
    ) -> AttemptOutcome {
        let Some(report) = self.wait_until_drained(target, &candidate.model).await else {
            return AttemptOutcome::Failed;
        };
        let reported = report.models.iter().find(|it| it.model == candidate.model);
        if let Some(state) = reported {
            target.live.note_version(&state.model, state.version);
        }
        if reported.is_some_and(|it| it.version >= wanted) {
            return AttemptOutcome::Done;
        }
        let result = if report.busy {
            OrderResult::InProgress
        } else {
            self.send_order_until_answered(lock, target, candidate, wanted, &report)
                .await
        };
        match result {
            OrderResult::InProgress => {
                self.wait_until_loaded(target, &candidate.model, wanted)
                    .await
            }
            OrderResult::Refused | OrderResult::Unanswered => AttemptOutcome::Failed,
            OrderResult::NotSent => {
                sleep(LOADING_POLL_PERIOD).await;
                AttemptOutcome::Done
            }
        }
    }

    /// Waits until a target that takes no calls any more has nothing to do, but not for its longest
    /// runs. Gives its last report.
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

    /// Whether the weights that `target` lacks were named so lately that its runs are waited for.
    fn waits_for_requests(&self, target: &TargetState, model: &str) -> bool {
        let known = self.shared.known();
        let wanted = known.wanted().get(model);
        let version = target.version(model).unwrap_or(0);
        let bound = self.shared.settings.version_bound;
        wanted.is_some_and(|it| rollout::waits_for_requests(it, version, boot_time(), bound))
    }

    /// Repeats an order until it is answered, but not for long. An order without an answer may be
    /// carried out at any time, or never. All of them state the same number of accepted orders, so
    /// the target carries out one at most, and refuses the others whenever they come.
    async fn send_order_until_answered(
        &self,
        lock: OrderLock,
        target: &TargetState,
        candidate: &RolloutCandidate,
        wanted: u64,
        report: &TargetReport,
    ) -> OrderResult {
        for attempts_count in 0..MAX_ORDER_ATTEMPTS_COUNT {
            let next_at = Instant::now() + ORDER_TIMEOUT;
            if self.newest_wanted(&candidate.model) != Some(wanted) {
                return OrderResult::NotSent;
            }
            let Some(sent) = self
                .send_order(lock, target, candidate, wanted, report)
                .await
            else {
                return OrderResult::NotSent;
            };
            match sent {
                Ok(OrderOutcome::Holds) => {
                    target.live.note_version(&candidate.model, wanted);
                    return OrderResult::InProgress;
                }
                Ok(OrderOutcome::Accepted) => return OrderResult::InProgress,
                // One of those before has arrived.
                Ok(OrderOutcome::Conflict) if attempts_count > 0 => return OrderResult::InProgress,
                Err(SendError::Unknown { .. }) => sleep_until(next_at).await,
                Ok(_) | Err(_) => return OrderResult::Refused,
            }
        }
        OrderResult::Unanswered
    }

    /// The newest version that is wanted of `model`.
    fn newest_wanted(&self, model: &str) -> Option<u64> {
        let known = self.shared.known();
        known.wanted().get(model).map(Wanted::version)
    }

    /// Gives one order; none if this instance may not.
    async fn send_order(
        &self,
        lock: OrderLock,
        target: &TargetState,
        candidate: &RolloutCandidate,
        wanted: u64,
        report: &TargetReport,
    ) -> Option<Result<OrderOutcome, SendError>> {
        // Asked for at the last moment: this instance may have been suspended since the report.
        let lease = self.shared.lease();
        let fencing = lease.and_then(|it| lock.usable_fencing(&it, boot_time(), ARRIVAL_MARGIN))?;
        let order = VersionOrder {
            target: target.id.clone(),
            model: candidate.model.clone(),
            version: wanted,
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
        let outcome = sent.map(|reply| self.shared.format.order_outcome(reply.status().as_u16()));
        self.shared.log.emit(&Event::Order {
            target: order.target,
            model: order.model,
            version: wanted,
            fencing,
            accepted_before: order.accepted_orders_count,
            outcome: match &outcome {
                Ok(outcome) => format!("{outcome:?}"),
                Err(error) => error.to_string(),
            },
        });
        Some(outcome)
    }

    /// Asks the target until it has the wanted weights, or has ended what it was at without them.
    async fn wait_until_loaded(
        &self,
        target: &TargetState,
        model: &str,
        wanted: u64,
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
            if state.version >= wanted {
                target.live.note_version(model, state.version);
                return AttemptOutcome::Done;
            }
            let age = boot_time().saturating_sub(accepted_at);
            if !rollout::is_order_in_progress(report.busy, age) {
                return AttemptOutcome::Done;
            }
        }
        AttemptOutcome::Done
    }

    async fn fetch_report(&self, target: &TargetState) -> Option<TargetReport> {
        let call = self.shared.format.report_request();
        let sent = self
            .client
            .send(target.address, call, Reuse::Allowed, REPORT_TIMEOUT)
            .await;
        let body = match sent {
            Ok(mut reply) => reply.body(REPORT_TIMEOUT).await,
            Err(error) => Err(error),
        };
        match body {
            Ok(body) => self.shared.format.parse_report(&body),
            Err(error) => {
                log::info!("no report: {error}");
                None
            }
        }
    }
}
