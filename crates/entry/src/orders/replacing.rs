//! One target's way to new weights.

use {
    super::Orders,
    crate::{
        Holding, OrderOutcome, Platform, RunsMeanwhile, TargetReport, VersionOrder,
        rollout::{self, Loadable},
    },
    catalog::TargetId,
    eventlog::Event,
    keyvalue::KeyValue,
    relay::{TargetState, boot_time},
    std::{sync::Arc, time::Duration},
    target::{Reuse, SendError},
    tokio::time::sleep,
};

/// Longest time until an order has arrived at its target.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(500);
/// Longest time for a target's report or its answer to an order.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// How often a target is looked at while it carries out an order.
const LOADING_PERIOD: Duration = Duration::from_millis(250);
/// How often it is looked whether a target's runs have ended.
const DRAIN_PERIOD: Duration = Duration::from_millis(250);
/// Looks after which the runs that are left go on with the new weights: a whole pool has to be
/// replaced within its bound, and the longest runs take seconds.
const DRAIN_ROUNDS_COUNT: u32 = 2;
/// Longest time that an order is waited for before the target is asked again.
const LOADING_TIME: Duration = Duration::from_secs(3);

impl<Kv, Format> Orders<Kv, Format>
where
    Kv: KeyValue,
    Format: Platform,
{
    /// Orders one target to new weights and waits until it has them. Gives its name back.
    pub(super) async fn replace(
        &self,
        held: Holding,
        target: Arc<TargetState>,
        loadable: Loadable,
        wanted: u64,
    ) -> TargetId {
        let Some(report) = self.drained(&target, &loadable.model).await else {
            sleep(LOADING_PERIOD).await;
            return target.id.clone();
        };
        let reported = report.models.iter().find(|it| it.model == loadable.model);
        if let Some(state) = reported {
            target.live.note_version(&state.model, state.version);
        }
        if reported.is_some_and(|it| it.version >= wanted) {
            return target.id.clone();
        }
        let is_ordered =
            !report.busy && self.order(held, &target, &loadable, wanted, &report).await;
        if is_ordered {
            self.wait(&target, &loadable.model, wanted).await;
        } else {
            sleep(LOADING_PERIOD).await;
        }
        target.id.clone()
    }

    /// Waits until a target that takes no calls any more has nothing to do, but not for its longest
    /// runs. Gives its last report.
    async fn drained(&self, target: &TargetState, model: &str) -> Option<TargetReport> {
        let mut report = self.report(target).await?;
        for _ in 0..DRAIN_ROUNDS_COUNT {
            if report.is_idle() || report.busy || !self.waits_for_runs(model) {
                break;
            }
            sleep(DRAIN_PERIOD).await;
            report = self.report(target).await?;
        }
        Some(report)
    }

    /// Whether the newest weights of `model` were named so lately that runs are waited for.
    fn waits_for_runs(&self, model: &str) -> bool {
        let known = self.shared.known();
        let wanted = known.wanted().get(model);
        let age = wanted.and_then(|wanted| wanted.max_age(boot_time()));
        let bound = self.shared.settings.version_bound;
        age.is_some_and(|age| rollout::waits_for_runs(age, bound))
    }

    async fn order(
        &self,
        held: Holding,
        target: &TargetState,
        loadable: &Loadable,
        wanted: u64,
        report: &TargetReport,
    ) -> bool {
        // Asked for at the last moment: this instance may have been suspended since the report.
        let tenure = self.shared.tenure();
        let fencing = tenure.and_then(|it| held.fencing(&it, boot_time(), ARRIVAL_MARGIN));
        let Some(fencing) = fencing else {
            return false;
        };
        let order = VersionOrder {
            target: target.id.clone(),
            model: loadable.model.clone(),
            version: wanted,
            runs: if report.is_idle() {
                RunsMeanwhile::Finish
            } else {
                RunsMeanwhile::GoOn
            },
            holder: self.shared.settings.instance.clone(),
            fencing,
            accepted_orders_count: report.accepted_orders_count,
        };
        let call = self.shared.format.order_call(&order);
        let sent = self
            .client
            .send(target.address, call, Reuse::Fresh, ANSWER_TIME)
            .await;
        let outcome = match sent {
            Ok(reply) => Ok(self.shared.format.order_outcome(reply.status().as_u16())),
            Err(error) => Err(error),
        };
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
        match outcome {
            Ok(OrderOutcome::Holds) => {
                target.live.note_version(&loadable.model, wanted);
                true
            }
            Ok(OrderOutcome::Accepted) | Err(SendError::Unknown { .. }) => true,
            Ok(_) | Err(_) => false,
        }
    }

    /// Asks the target until it has the wanted weights.
    async fn wait(&self, target: &TargetState, model: &str, wanted: u64) {
        let rounds = LOADING_TIME.as_millis() / LOADING_PERIOD.as_millis();
        for _ in 0..rounds {
            sleep(LOADING_PERIOD).await;
            let Some(report) = self.report(target).await else {
                return;
            };
            let state = report.models.iter().find(|state| state.model == model);
            let Some(state) = state else {
                return;
            };
            if state.version >= wanted {
                target.live.note_version(model, state.version);
                return;
            }
        }
    }

    async fn report(&self, target: &TargetState) -> Option<TargetReport> {
        let call = self.shared.format.report_call();
        let sent = self
            .client
            .send(target.address, call, Reuse::Allowed, ANSWER_TIME)
            .await;
        let body = match sent {
            Ok(mut reply) => reply.body(ANSWER_TIME).await,
            Err(error) => Err(error),
        };
        match body {
            Ok(body) => self.shared.format.report(&body),
            Err(error) => {
                log::info!("no report: {error}");
                None
            }
        }
    }
}
