//! Admission control of one pool at one instance.

use {
    crate::{
        Assessment, CallNeeds, Decision, PoolState, RefusalCause, decayed_sum::DecayedSum,
        priority_class::PriorityClass,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Smallest ratio of admitted work to the work that targets have lately started. Keeps a single high
/// prediction from refusing nearly all calls.
const MIN_ADMISSION_RATIO: f64 = 0.5;
/// Share of the admitted work that is divided among the classes in proportion to what is offered of
/// each, so that none starves.
const COMMON_SHARE: f64 = 0.2;
/// Smallest share of the calls that is served, however few have started lately, so that starts are
/// observed again after a time without any.
const MIN_SERVED_SHARE: f64 = 0.05;
/// Divisor of the time left that gives the longest wait asked of a refused caller. A call that
/// comes back by then has most of its time left.
const RETRY_TIME_DIVISOR: u32 = 3;

/// Decides which calls of a pool are refused, from the observations of this instance and the loads
/// that all instances report.
///
/// Instances need not agree on single calls: each one refuses the share of its calls that follows
/// from the pressure. `now` is always the time since a fixed origin.
#[derive(Clone, Debug, Default)]
pub struct OverloadControl {
    classes: BTreeMap<u8, PriorityClass>,
    /// Work of the calls that targets have started.
    started_tokens: DecayedSum,
}

impl OverloadControl {
    /// Records that a call with this priority and work started `delay` after it was sent to a target
    /// that had `target_tokens` tokens in flight, the call's own included.
    pub fn record_start(
        &mut self,
        priority: u8,
        tokens_count: u32,
        target_tokens: f64,
        delay: Duration,
        now: Duration,
    ) {
        self.started_tokens.add(tokens_count.into(), now);
        self.record_delay(priority, target_tokens, delay, now);
    }

    /// Records that a call was given up without a start, `delay` after it was sent.
    pub fn record_delay(
        &mut self,
        priority: u8,
        target_tokens: f64,
        delay: Duration,
        now: Duration,
    ) {
        let class = self.classes.entry(priority).or_default();
        class.pace.record(target_tokens, delay, now);
    }

    /// Mean work of a call that came lately, in tokens; 0 before the first one. It turns a number of
    /// calls in flight into tokens where these are not known.
    #[must_use]
    pub fn mean_tokens(&self, now: Duration) -> f64 {
        let classes = self.classes.values();
        let calls_count: f64 = classes.clone().map(|it| it.calls_count(now)).sum();
        let tokens: f64 = classes.map(|it| it.offered_tokens(now)).sum();
        if calls_count > 0.0 {
            tokens / calls_count
        } else {
            0.0
        }
    }

    /// Decides whether `call` runs, and counts it.
    pub fn assess(
        &mut self,
        pool: &PoolState<'_>,
        call: &CallNeeds<'_>,
        now: Duration,
    ) -> Assessment {
        let class = self.classes.entry(call.priority).or_default();
        class.record_call(call, now);
        let pace = class.pace;
        let predicted_start = pace.predict(pool.least_tokens());
        let pressure = self.pressure(pool, now);
        let served_share = self.served_share(call.priority, pressure, now);
        let class = self.classes.entry(call.priority).or_default();
        let call_share = class.call_share(call, served_share, now);
        let cause = if !pool.permits_refusal() {
            None
        } else if predicted_start >= call.time_left {
            Some(RefusalCause::CannotStart)
        } else {
            (unit_draw(call.draw) >= call_share).then_some(RefusalCause::Pressure)
        };
        let mean_start = pace.predict(pool.mean_tokens());
        let decision = cause.map_or(Decision::Run, |cause| Decision::Refuse {
            cause,
            retry_after: retry_after(call, mean_start, served_share),
        });
        if decision == Decision::Run {
            class.record_run(call, now);
        }
        Assessment {
            decision,
            pressure,
            predicted_start,
        }
    }

    /// Pressures of the classes, weighted by the number of calls admitted of each: the few calls of a
    /// class of which most are refused don't have the other classes refused.
    fn pressure(&self, pool: &PoolState<'_>, now: Duration) -> f64 {
        let classes = self.classes.values();
        let weighted = classes.map(|class| (class.admitted_count(now), class.pressure(pool)));
        let (weights, sum) = weighted.fold((0.0, 0.0), |(weights, sum), (weight, pressure)| {
            (weights + weight, sum + weight * pressure)
        });
        if weights > 0.0 { sum / weights } else { 0.0 }
    }

    /// Share of the calls with this priority that is served.
    ///
    /// The work that targets have lately started, less if the pressure is high, is divided among the
    /// classes: a part of it in proportion to what is offered, the rest to the most urgent ones first.
    fn served_share(&self, priority: u8, pressure: f64, now: Duration) -> f64 {
        if pressure < Assessment::MIN_PRESSURE {
            return 1.0;
        }
        let ratio = (Assessment::MIN_PRESSURE / pressure).max(MIN_ADMISSION_RATIO);
        let offered = self.classes.values().map(|class| class.offered_tokens(now));
        let offered_sum: f64 = offered.sum();
        let mean_share = self.started_tokens.value(now) * ratio / offered_sum;
        let mean_share = mean_share.clamp(MIN_SERVED_SHARE, 1.0);
        let common_share = mean_share * COMMON_SHARE;
        let mut rest = (mean_share - common_share) * offered_sum;
        for (_, class) in self.classes.range(..priority) {
            rest -= class.offered_tokens(now) * (1.0 - common_share);
        }
        let offered = self.classes[&priority].offered_tokens(now);
        (common_share + rest.max(0.0) / offered).min(1.0)
    }
}

/// Number from 0 to below 1 from the upper half of `draw`.
fn unit_draw(draw: u64) -> f64 {
    f64::from(u32::try_from(draw >> 32).unwrap_or(0)) / (f64::from(u32::MAX) + 1.0)
}

/// Delay until the caller should retry, at most a third of the time left.
///
/// If a call that comes back may still start within its objective, its return is spread over the time
/// that the objective leaves. Otherwise it is spread over the time in which the pool starts the calls in
/// flight and those refused meanwhile.
fn retry_after(call: &CallNeeds<'_>, mean_start: Duration, served_share: f64) -> Duration {
    let max = call.time_left / RETRY_TIME_DIVISOR;
    let spare = call.latency_objective.saturating_sub(mean_start);
    let (earliest, latest) = if spare.is_zero() {
        let drain_s = mean_start.as_secs_f64() / served_share.max(MIN_SERVED_SHARE);
        let drain = Duration::try_from_secs_f64(drain_s).unwrap_or(max);
        (mean_start, drain)
    } else {
        (spare / 4, spare)
    };
    let latest = latest.min(max);
    let earliest = earliest.min(latest / 2);
    let spread = latest.saturating_sub(earliest);
    earliest + spread.mul_f64(unit_draw(call.draw << 32))
}
