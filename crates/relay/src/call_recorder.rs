//! Collects the log line and the metrics of a call.

use {
    crate::{
        AnswerCutoff, Call, LostAnswer, Stated, TurnedAway, answer_times::AnswerTimes,
        observed_answer::ObservedAnswer, picked_target::PickedTarget,
    },
    eventlog::{AttemptLine, CallLine, Event, EventLog},
    meters::Meters,
    overload::Assessment,
    parts::{Plan, PromptPart},
    quarantine::CallKey,
    std::{
        net::SocketAddr,
        time::{Duration, Instant, SystemTime},
    },
    target::{BodyEnd, WholeBody},
};

/// A stream that lasts longer is also logged once while it is in progress, as under way.
const PROGRESS_LOG_DELAY: Duration = Duration::from_secs(2);

/// Outcome of a call that was dropped before its answer was complete, because its caller
/// disconnected.
const CALLER_LEFT: &str = "caller_left";

/// Collects what happens to one call. Its log line and metrics are written when it is dropped, so
/// that a call whose caller disconnects is recorded too.
#[derive(Debug)]
pub(crate) struct CallRecorder {
    log: EventLog,
    meters: Meters,
    arrived: Instant,
    is_progress_logged: bool,
    answer_times: AnswerTimes,
    answer_cutoff: AnswerCutoff,
    /// Log line of the call.
    pub(crate) line: CallLine,
}

impl CallRecorder {
    /// Creates the recorder of a call that arrived at `arrived`.
    pub(crate) fn new(
        log: EventLog,
        meters: Meters,
        answer_times: AnswerTimes,
        answer_cutoff: AnswerCutoff,
        arrived: Instant,
    ) -> Self {
        Self {
            log,
            meters,
            arrived,
            is_progress_logged: false,
            answer_times,
            answer_cutoff,
            line: CallLine {
                outcome: CALLER_LEFT,
                ..CallLine::default()
            },
        }
    }

    /// Time since the call arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.arrived.elapsed()
    }

    /// Records that an attempt at `picked` begins; [`CallRecorder::end_attempt`] adds its outcome.
    pub(crate) fn begin_attempt(&mut self, picked: &PickedTarget) {
        let at_ms = millis(self.elapsed());
        let weights = &picked.weights;
        self.line.attempts.push(AttemptLine {
            target: picked.target.id.clone(),
            at_ms,
            in_flight_count: picked.in_flight_count,
            own_in_flight_count: picked.own_in_flight_count,
            max_refusals_per_s: picked.refusal_bound.map(|it| it.max_refusals_per_s),
            places_count: picked.refusal_bound.map(|it| it.places_count),
            is_cold: picked.is_cold,
            candidates_count: picked.candidates_count,
            software_version: picked.target.software_version.clone(),
            started_unix_ms: picked.target.started_unix_ms,
            version: weights.version,
            wanted_version: weights.wanted_version,
            wanted_age_ms: weights.wanted_age.map(millis),
            start_delay_ms: millis(weights.start_delay),
            outcome: "under way".to_owned(),
            ..AttemptLine::default()
        });
    }

    /// Adds the tokens of the shared `parts` to the current attempt's counters: a part counts as
    /// fetched if the plan fetches it, else as saved if the plan saves it, and else as read.
    pub(crate) fn record_parts(&mut self, parts: &[PromptPart], plan: &Plan) {
        let Some(attempt) = self.line.attempts.last_mut() else {
            return;
        };
        for (index, part) in parts.iter().enumerate() {
            let has =
                |places: &[Option<SocketAddr>]| places.get(index).is_some_and(Option::is_some);
            let tokens = match (has(&plan.fetch), has(&plan.save)) {
                (true, _) => &mut attempt.fetch_tokens,
                (false, true) => &mut attempt.save_tokens,
                (false, false) => &mut attempt.read_tokens,
            };
            *tokens += u64::from(part.tokens);
        }
    }

    /// Records the outcome of the current attempt.
    pub(crate) fn end_attempt(&mut self, outcome: String) {
        self.set_outcome(self.last_attempt_index(), outcome);
    }

    /// Records the outcome of an attempt, which may not be the last one.
    pub(crate) fn set_outcome(&mut self, attempt_index: usize, outcome: String) {
        if let Some(attempt) = self.line.attempts.get_mut(attempt_index) {
            attempt.outcome = outcome;
        }
    }

    /// Index of the current attempt; 0 before the first one.
    pub(crate) fn last_attempt_index(&self) -> usize {
        self.line.attempts.len().saturating_sub(1)
    }

    /// Enters in the line of the current attempt whose answer came, and what its target states of
    /// itself.
    pub(crate) fn record_observed(&mut self, observed: &ObservedAnswer) {
        let Some(attempt) = self.line.attempts.last_mut() else {
            return;
        };
        attempt.answer_id.clone_from(&observed.id);
        attempt.answered_by.clone_from(&observed.target);
        attempt.connection_age_ms = Some(millis(observed.connection_age));
        attempt.earlier_calls_count = Some(observed.earlier_requests_count);
        attempt.is_unframed = observed.is_unframed;
        let statements = &observed.statements;
        attempt.is_leaving = statements.is_leaving == Some(Stated::Valid(true));
        let retry_after = statements.retry_after.and_then(Stated::valid);
        attempt.retry_after_ms = retry_after.map(|it| millis(it.delay(SystemTime::now())));
        attempt.limit_per_s = statements.limit_per_s.and_then(Stated::valid);
    }

    /// Counts an answer that is not used.
    pub(crate) fn count_turned_away(&self, turned_away: TurnedAway) {
        self.meters
            .count("turned_away_answers", turned_away.label());
    }

    /// Enters the state of the call's pool in its log line.
    pub(crate) fn record_assessment(&mut self, assessment: &Assessment) {
        self.line.pressure = Some(assessment.pressure);
        self.line.predicted_start_ms = Some(millis(assessment.predicted_start));
    }

    /// Counts a refusal under overload, by reason and by the call's priority.
    pub(crate) fn count_overload_refusal(&self, reason: &'static str, priority: u8) {
        self.meters.count("overload_refusals", reason);
        let priority = priority.to_string();
        self.meters
            .count("overload_refusals_by_priority", &priority);
    }

    /// Counts a refusal because of the call's homes.
    pub(crate) fn count_homes_refusal(&self, kind: &'static str) {
        self.meters.count("homes_refusals", kind);
    }

    /// Enters in the call's log line what identifies it if it comes again, since an attempt had no
    /// complete answer.
    pub(crate) fn record_identity(&mut self, call: &Call, call_key: CallKey) {
        if self.line.call_key.is_empty() {
            let parts = call.prompt.iter().flat_map(|prompt| &prompt.parts);
            self.line.prompt_parts = parts.map(|part| part.id.clone()).collect();
            self.line.call_key = format!("{call_key:016x}");
        }
    }

    /// Records how the call ended. The line is written when the recorder is dropped.
    pub(crate) fn end(&mut self, outcome: &'static str, status: u16, reason: &str) {
        self.line.outcome = outcome;
        self.line.status = status;
        reason.clone_into(&mut self.line.reason);
    }

    /// Records that the whole stream was forwarded, which `whole` shows.
    pub(crate) fn end_stream(&mut self, whole: WholeBody) {
        let end = match whole.end() {
            BodyEnd::Framing => "framing",
            BodyEnd::Connection => "connection",
        };
        self.meters.count("whole_streams", end);
        self.end_whole(whole, self.line.status);
    }

    /// Records that the whole answer was forwarded, which `whole` shows.
    pub(crate) fn end_whole(&mut self, whole: WholeBody, status: u16) {
        self.line.end_evidence = whole.evidence().label();
        self.end("answered", status, "");
    }

    /// Records that the shutdown ended the answer before it was complete.
    pub(crate) fn cut(&mut self) {
        let status = self.line.status;
        self.end("cut", status, LostAnswer::Cut.message());
    }

    /// Adds the call to the answer times of its route: a complete 2xx answer in full, and any other
    /// call of which events were forwarded as abandoned. A call whose answer never began is
    /// skipped, since it shows only that its target was silent.
    fn record_answer_time(&self) {
        let line = &self.line;
        if line.attempts.is_empty() || line.first_byte_ms == 0 {
            return;
        }
        let is_whole = line.outcome == "answered" && (200..300).contains(&line.status);
        if is_whole {
            let took = Duration::from_millis(line.took_ms);
            self.answer_times.record(&line.route, took);
        } else if line.events_count > 0 {
            let took = Duration::from_millis(line.last_event_ms);
            self.answer_times.record_abandoned(&line.route, took);
        }
    }

    /// Records that this number of events is forwarded now.
    pub(crate) fn record_events(&mut self, count: u64) {
        self.line.events_count += count;
        let elapsed = self.elapsed();
        self.line.last_event_ms = millis(elapsed);
        if elapsed >= PROGRESS_LOG_DELAY && !self.is_progress_logged {
            self.is_progress_logged = true;
            self.line.took_ms = millis(elapsed);
            self.log.emit(&Event::UnderWay(self.line.clone()));
        }
    }

    /// Records that the first byte of the answer is sent now.
    pub(crate) fn record_first_byte(&mut self) {
        self.line.first_byte_ms = millis(self.elapsed());
    }
}

impl Drop for CallRecorder {
    fn drop(&mut self) {
        let took = self.elapsed();
        self.line.took_ms = millis(took);
        if self.line.outcome == CALLER_LEFT && self.answer_cutoff.is_triggered() {
            self.cut();
        }
        if self.line.outcome == "cut" {
            self.answer_cutoff.record_cut();
        }
        self.record_answer_time();
        self.meters.count("calls", self.line.outcome);
        if self.line.is_forwarded {
            self.meters.count("forwarded_calls", "received");
        }
        if !self.line.forwarded_to.is_empty() {
            self.meters.count("forwarded_calls", "sent");
        }
        if !self.line.resumes.is_empty() {
            self.meters.count("resumed_streams", self.line.outcome);
        }
        self.meters.time("call", took);
        if self.line.first_byte_ms > 0 {
            let first_byte = Duration::from_millis(self.line.first_byte_ms);
            self.meters.time("first_byte", first_byte);
        }
        for _ in self.line.attempts.iter().skip(1) {
            self.meters.count("attempts", "repeated");
        }
        self.log.emit(&Event::Call(std::mem::take(&mut self.line)));
    }
}

/// Whole milliseconds of `duration`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
