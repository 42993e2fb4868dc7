//! Everything observed of a target, for one holder of its lock.

use {
    crate::{
        LimitObservation, NewStatement, Stated, TargetStatements,
        target_conditions::TargetConditions, target_limit::TargetLimit,
    },
    balance::{Health, StartDelay},
    catalog::ModelId,
    hyper::StatusCode,
    std::{
        collections::HashMap,
        time::{Duration, SystemTime},
    },
};

/// Everything observed of a target by calls of this instance, for one holder of its lock.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observations {
    pub(crate) health: Health,
    pub(crate) start_delay: StartDelay,
    /// Time until which calls go to other targets, if there are any.
    pub(crate) paused_until: Duration,
    /// Newest version of each model's weights that answers have shown.
    pub(crate) versions: HashMap<ModelId, u64>,
    /// When the last answer came, which stated a limit or none, by [`crate::boot_time`].
    pub(crate) answered_at: Option<Duration>,
    /// Whether an answer had a header that cannot be read.
    pub(crate) has_malformed_header: bool,
    /// What the target has stated of itself.
    pub(crate) conditions: TargetConditions,
    /// When the target last broke off a connection, by [`crate::boot_time`].
    pub(crate) disconnected_at: Option<Duration>,
}

impl Observations {
    /// Records what an answer states that is no answer to a call, such as a report. Returns what is
    /// new.
    pub(crate) fn observe_report(
        &mut self,
        status: StatusCode,
        statements: &TargetStatements,
        now: Duration,
    ) -> Vec<NewStatement> {
        let mut news = Vec::new();
        let conditions = &mut self.conditions;
        if statements.is_leaving == Some(Stated::Valid(true)) && !conditions.is_leaving {
            conditions.is_leaving = true;
            news.push(NewStatement::Leaving);
        }
        if let Some(delay) = requested_backoff(status, statements)
            && conditions.backoff.request(delay, now)
        {
            news.push(NewStatement::Backoff(delay));
        }
        if let Some(Stated::Valid(cold_left)) = statements.cold_left
            && conditions.cold.state(cold_left, now)
        {
            news.push(NewStatement::Cold(cold_left));
        }
        news
    }

    /// Records what an answer to a call states. Returns what is new.
    pub(crate) fn observe_answer(
        &mut self,
        status: StatusCode,
        statements: &TargetStatements,
        now: Duration,
    ) -> Vec<NewStatement> {
        let mut news = self.observe_report(status, statements, now);
        if requested_backoff(status, statements).is_none() {
            self.conditions.backoff.record_answer(now);
        }
        if self.record_malformed(!statements.malformed.is_empty()) {
            let malformed = statements.malformed.iter().cloned();
            news.extend(malformed.map(NewStatement::Malformed));
        }
        let max_refusals_per_s = statements.max_refusals_per_s.and_then(Stated::valid);
        let refusal_bound = &mut self.conditions.refusal_bound;
        if refusal_bound.state(max_refusals_per_s, now) {
            news.push(NewStatement::MaxRefusals(max_refusals_per_s));
        }
        if statements.limit_per_s != Some(Stated::Invalid) {
            let limit_per_s = statements.limit_per_s.and_then(Stated::valid);
            let before = self.limit_observation().and_then(|it| it.limit_per_s);
            self.record_limit(limit_per_s, now);
            if before != limit_per_s {
                news.push(NewStatement::Limit(limit_per_s));
            }
        }
        news
    }

    /// Records the limit that an answer states, in calls per second of all instances together;
    /// `None` if it states none.
    pub(crate) fn record_limit(&mut self, limit_per_s: Option<f64>, now: Duration) {
        self.answered_at = Some(now);
        match limit_per_s {
            Some(limit_per_s) => self.limit_or_new(limit_per_s, now).state(limit_per_s, now),
            None => self.conditions.limit = None,
        }
    }

    /// What the last answer to this instance said of a limit; `None` before the first answer.
    pub(crate) fn limit_observation(&self) -> Option<LimitObservation> {
        let answered_at = self.answered_at?;
        let limit = self.conditions.limit.as_ref();
        let stated = limit.filter(|limit| limit.stated_at() == Some(answered_at));
        Some(LimitObservation {
            limit_per_s: stated.map(TargetLimit::limit_per_s),
            answered_at,
        })
    }

    /// Records whether an answer has a malformed header. Returns whether it is the first such answer.
    fn record_malformed(&mut self, is_malformed: bool) -> bool {
        let was_malformed = self.has_malformed_header;
        self.has_malformed_header |= is_malformed;
        is_malformed && !was_malformed
    }

    /// Returns the limit, created with `limit_per_s` if there is none.
    pub(crate) fn limit_or_new(&mut self, limit_per_s: f64, now: Duration) -> &mut TargetLimit {
        let limit = &mut self.conditions.limit;
        limit.get_or_insert_with(|| TargetLimit::new(limit_per_s, now, rand::random()))
    }
}

/// Time for which an answer asks for no calls. Only a refusal because of the target's own state does:
/// 429 is about the rate of one caller.
fn requested_backoff(status: StatusCode, statements: &TargetStatements) -> Option<Duration> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let retry_after = statements.retry_after?.valid()?;
    Some(retry_after.delay(SystemTime::now()))
}
