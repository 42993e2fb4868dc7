//! Sends a call to one target once, and records what that shows of the call.

use {
    crate::{
        HeaderFormat, ReplyMetadata, TargetState,
        active_call::ActiveCall,
        attempt::{AttemptOutcome, AttemptParams, TargetAnswer, attempt},
        boot_time,
        call_recorder::CallRecorder,
        observed_answer::ObservedAnswer,
        picked_target::PickedTarget,
        silent_target::AttemptTimeout,
    },
    http_body_util::Full,
    hyper::Request,
    parts::Plan,
    std::{sync::OnceLock, time::Instant},
    target::{AnswersRequest, Reply, Reuse},
};

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Sends the call to one target and reads its answer, or the first event of its stream.
    ///
    /// Plans the cache transfers, which reserves time on the links of stores. Afterwards updates
    /// [`ActiveCall::may_have_run_count`] and the target's start delay. For a prompt that is not
    /// streamed, the recorded start delay spans the whole answer.
    pub(crate) async fn send(
        &mut self,
        picked: &PickedTarget,
        last_event_id: Option<u64>,
        recorder: &mut CallRecorder,
    ) -> AttemptOutcome<TargetAnswer> {
        let target = &picked.target;
        let plan = self.plan_part_transfers(picked, recorder);
        let metadata = self.outbound_metadata(picked, last_event_id, &plan);
        let sent = Instant::now();
        let start = self.observe_start(picked);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self
            .inner
            .header_format
            .target_headers(&self.head.headers, &metadata);
        self.sent_at.send_replace(None);
        let handed_over = self.holder.hand_to_target();
        let time_left = self.time_left();
        let start_timeout = AttemptTimeout { call: self };
        let observed = OnceLock::new();
        let observe =
            |reply: &Reply, metadata: &ReplyMetadata, evidence: Option<&AnswersRequest>| {
                if let Some(evidence) = evidence {
                    self.observe_answer(picked, reply.status(), metadata, evidence);
                }
                let _ = observed.set(ObservedAnswer::new(reply, metadata));
            };
        let process_check = self.process_check(target);
        let params = AttemptParams {
            target,
            pools: &self.admitted.table.config().pools,
            pool: &self.pool,
            unframed_pools: &self.inner.unframed_pools,
            id: &self.admitted.call.id,
            reuse: Reuse::Allowed,
            start_timeout: &start_timeout,
            process_check: &process_check,
            deadline: sent + time_left,
            held_bytes: &self.inner.held_bytes,
            stream: self.retry_policy().is_stream(),
            position: self.stream_position(last_event_id),
            observe,
        };
        let outcome = attempt(
            &self.inner.client,
            &self.inner.header_format,
            request,
            params,
            handed_over,
        )
        .await;
        if let Some(observed) = observed.get() {
            recorder.record_observed(observed);
        }
        let outcome = self.check_continuation(picked, outcome).await;
        if let AttemptOutcome::Unknown {
            turned_away: Some(turned_away),
            ..
        } = &outcome
        {
            recorder.count_turned_away(*turned_away);
        }
        let may_have_run = matches!(
            outcome,
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown { .. }
        );
        if may_have_run {
            self.may_have_run_count += 1;
            self.record_start_delay(target, sent);
        } else {
            self.sent_at.send_replace(None);
        }
        if let Some(start) = start {
            start.end(&outcome);
        }
        match &outcome {
            AttemptOutcome::Answered(answer) => self.record_first_event(answer, &plan, sent),
            _ => self.in_flight = None,
        }
        outcome
    }

    /// Records how long a call with a prompt took to start at `target`. An attempt without an answer
    /// shows that the start takes at least this long.
    fn record_start_delay(&self, target: &TargetState, sent: Instant) {
        if self.admitted.call.prompt.is_some() {
            let now = self.inner.origin.elapsed();
            target.call_stats.record_start_delay(sent.elapsed(), now);
        }
    }

    /// Records that the first event of an answer, or the whole answer, has arrived.
    fn record_first_event(&mut self, answer: &TargetAnswer, plan: &Plan, sent: Instant) {
        if answer.has_begun() {
            if let Some(in_flight) = &mut self.in_flight {
                in_flight.record_begun();
            }
            self.record_answered();
        }
        if self.admitted.call.prompt.is_some() {
            let mut cache_index = self.inner.state.cache_index();
            cache_index.record_first_event(plan, sent.elapsed(), boot_time());
        }
    }
}

/// Text for the log that describes the outcome of an attempt.
pub(crate) fn describe_outcome(outcome: &AttemptOutcome<TargetAnswer>) -> String {
    match outcome {
        AttemptOutcome::Answered(answer) => format!("answered {}", answer.status.as_u16()),
        AttemptOutcome::NotSent(reason, _) => format!("not sent: {reason}"),
        AttemptOutcome::NotRun(status, ..) => format!("not run: {}", status.as_u16()),
        AttemptOutcome::Unknown { reason, .. } => format!("unknown: {reason}"),
    }
}
