//! One target's way to new weights.

use {
    super::Orders,
    crate::{
        Holding, OrderOutcome, Platform, RunningRequests, TargetReport, VersionOrder,
        rollout::{self, Loadable, Try},
    },
    catalog::TargetId,
    eventlog::Event,
    keyvalue::KeyValue,
    relay::{TargetState, WantedVersions, boot_time},
    std::{sync::Arc, time::Duration},
    target::{Reuse, SendError},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Longest time until an order has arrived at its target.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);
/// Longest time for a target's report.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Longest time for the answer to an order; a repeated order does no harm.
const ORDER_ANSWER_TIME: Duration = Duration::from_millis(300);
/// Orders to a target that does not answer them, before others get its place.
const ORDERS_IN_A_ROW_COUNT: u32 = 4;
/// How often a target is looked at while it carries out an order.
const LOADING_PERIOD: Duration = Duration::from_millis(250);
/// How often it is looked whether a target's runs have ended.
const DRAIN_PERIOD: Duration = Duration::from_millis(250);
/// Looks after which the runs that are left go on with the new weights: a whole pool has to be
/// replaced within its bound, and the longest runs take seconds.
const DRAIN_ROUNDS_COUNT: u32 = 2;
/// Longest time that an order is waited for before the target is asked again.
const LOADING_TIME: Duration = Duration::from_secs(3);

/// What came of an order and its repetitions.
enum Answered {
    /// An order is being carried out, this one or an earlier one.
    CarriedOut,
    /// The target refused it or can't be reached.
    Refused,
    /// The target answered none; one may still be carried out.
    Silent,
    /// This instance may give no order, or not this one any more.
    NotAsked,
}

impl<Kv, Format> Orders<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Orders one target to new weights and waits until it has them. Gives its name back, and what
    /// came of it.
    pub(super) async fn replace(
        &self,
        held: Holding,
        target: Arc<TargetState>,
        loadable: Loadable,
        wanted: u64,
    ) -> (TargetId, Try) {
        let outcome = self.bring(held, &target, &loadable, wanted).await;
        (target.id.clone(), outcome)
    }

    async fn bring(
        &self,
        held: Holding,
        target: &TargetState,
        loadable: &Loadable,
        wanted: u64,
    ) -> Try {
        let Some(report) = self.drained(target, &loadable.model).await else {
            return Try::Fruitless;
        };
        let reported = report.models.iter().find(|it| it.model == loadable.model);
        if let Some(state) = reported {
            target
                .call_stats
                .record_version(&state.model, state.version);
        }
        if reported.is_some_and(|it| it.version >= wanted) {
            return Try::Over;
        }
        let answered = if report.busy {
            Answered::CarriedOut
        } else {
            self.order_until_answered(held, target, loadable, wanted, &report)
                .await
        };
        match answered {
            Answered::CarriedOut => self.wait(target, &loadable.model, wanted).await,
            Answered::Refused | Answered::Silent => Try::Fruitless,
            Answered::NotAsked => {
                sleep(LOADING_PERIOD).await;
                Try::Over
            }
        }
    }

    /// Waits until a target that takes no calls any more has nothing to do, but not for its longest
    /// runs. Gives its last report.
    async fn drained(&self, target: &TargetState, model: &str) -> Option<TargetReport> {
        let mut report = self.report(target).await?;
        for _ in 0..DRAIN_ROUNDS_COUNT {
            if report.is_idle() || report.busy || !self.waits_for_runs(target, model) {
                break;
            }
            sleep(DRAIN_PERIOD).await;
            report = self.report(target).await?;
        }
        Some(report)
    }

    /// Whether the weights that `target` lacks were named so lately that its runs are waited for.
    fn waits_for_runs(&self, target: &TargetState, model: &str) -> bool {
        let known = self.shared.known();
        let wanted = known.wanted().get(model);
        let version = target.version(model).unwrap_or(0);
        let bound = self.shared.settings.version_bound;
        wanted.is_some_and(|it| rollout::waits_for_runs(it, version, boot_time(), bound))
    }

    /// Repeats an order until it is answered, but not for long. An order without an answer may be
    /// carried out at any time, or never. All of them state the same number of accepted orders, so
    /// the target carries out one at most, and refuses the others whenever they come.
    async fn order_until_answered(
        &self,
        held: Holding,
        target: &TargetState,
        loadable: &Loadable,
        wanted: u64,
        report: &TargetReport,
    ) -> Answered {
        for before_count in 0..ORDERS_IN_A_ROW_COUNT {
            let next_at = Instant::now() + ORDER_ANSWER_TIME;
            if self.newest(&loadable.model) != Some(wanted) {
                return Answered::NotAsked;
            }
            let Some(sent) = self.order(held, target, loadable, wanted, report).await else {
                return Answered::NotAsked;
            };
            match sent {
                Ok(OrderOutcome::Holds) => {
                    target.call_stats.record_version(&loadable.model, wanted);
                    return Answered::CarriedOut;
                }
                Ok(OrderOutcome::Accepted) => return Answered::CarriedOut,
                // One of those before has arrived.
                Ok(OrderOutcome::Conflict) if before_count > 0 => return Answered::CarriedOut,
                Err(SendError::Unknown { .. }) => sleep_until(next_at).await,
                Ok(_) | Err(_) => return Answered::Refused,
            }
        }
        Answered::Silent
    }

    /// The newest version that is wanted of `model`.
    fn newest(&self, model: &str) -> Option<u64> {
        let known = self.shared.known();
        known
            .wanted()
            .get(model)
            .map(WantedVersions::newest_version)
    }

    /// Gives one order; none if this instance may not.
    async fn order(
        &self,
        held: Holding,
        target: &TargetState,
        loadable: &Loadable,
        wanted: u64,
        report: &TargetReport,
    ) -> Option<Result<OrderOutcome, SendError>> {
        // Asked for at the last moment: this instance may have been suspended since the report.
        let tenure = self.shared.tenure();
        let fencing = tenure.and_then(|it| held.fencing(&it, boot_time(), ARRIVAL_MARGIN))?;
        let order = VersionOrder {
            target: target.id.clone(),
            model: loadable.model.clone(),
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
            .send(target.address, call, Reuse::Fresh, ORDER_ANSWER_TIME)
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
    async fn wait(&self, target: &TargetState, model: &str, wanted: u64) -> Try {
        let accepted_at = boot_time();
        let rounds = LOADING_TIME.as_millis() / LOADING_PERIOD.as_millis();
        for _ in 0..rounds {
            sleep(LOADING_PERIOD).await;
            let Some(report) = self.report(target).await else {
                return Try::Fruitless;
            };
            let state = report.models.iter().find(|state| state.model == model);
            let Some(state) = state else {
                return Try::Fruitless;
            };
            if state.version >= wanted {
                target.call_stats.record_version(model, state.version);
                return Try::Over;
            }
            let age = boot_time().saturating_sub(accepted_at);
            if !rollout::is_under_way(report.busy, age) {
                return Try::Over;
            }
        }
        Try::Over
    }

    async fn report(&self, target: &TargetState) -> Option<TargetReport> {
        let call = self.shared.format.report_request();
        let sent = self
            .client
            .send(target.address, call, Reuse::Allowed, ANSWER_TIME)
            .await;
        let body = match sent {
            Ok(mut reply) => reply.body(ANSWER_TIME).await,
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
