//! What a call whose stream may be resumed has to do with where that stream began.

use {
    crate::{
        Declined, HeaderFormat,
        active_call::ActiveCall,
        attempt::{AttemptOutcome, Content, TargetAnswer},
        call_origin::{Began, OriginSource},
        call_recorder::CallRecorder,
        picked_target::PickedTarget,
        registered_process::{ANSWER_TIME, StreamProcess},
        turned_away::TurnedAway,
    },
    origins::{StreamKey, stream_key},
    routes::RetryPolicy,
    std::time::Duration,
};

/// Longest time for which an origin is kept after its stream began.
const MAX_LIFETIME: Duration = Duration::from_mins(10);
/// Time for which an origin is kept beyond the time that the caller waits.
const LIFETIME_MARGIN: Duration = Duration::from_secs(5);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Binds a call that resumes a stream to the pool and software version that began it.
    pub(crate) async fn find_origin(
        &mut self,
        recorder: &mut CallRecorder,
    ) -> Result<(), Declined> {
        let Some(key) = self.resumed_stream() else {
            return Ok(());
        };
        let found = self.origin.find(key, &self.admitted, &self.inner.state);
        self.pool = found.await?;
        let origin_version = self.origin.software_version().unwrap_or_default();
        origin_version.clone_into(&mut recorder.line.origin_version);
        recorder.line.origin_source = self.origin.source().map_or("", OriginSource::label);
        Ok(())
    }

    /// Key of the stream that the call resumes; `None` if it resumes none. Callers that do not name the attempt that
    /// began it send the same call again.
    fn resumed_stream(&self) -> Option<StreamKey> {
        let (call, policy) = (&self.admitted.call, self.retry_policy());
        match &call.resumes {
            Some(request_id) if policy.is_stream() => Some(self.attempt_key(request_id)),
            None if policy == RetryPolicy::ResumableStream => {
                call.last_event_id.map(|_| self.call_key())
            }
            _ => None,
        }
    }

    /// Key of the stream that the attempt `request_id` of this call's client account began.
    fn attempt_key(&self, request_id: &str) -> StreamKey {
        let account = self.admitted.account.as_ref();
        stream_key(account.map_or("", |it| it.name.as_str()), request_id)
    }

    /// Records where the stream of the call began, if an event of it has arrived.
    pub(crate) fn record_origin(&mut self, picked: &PickedTarget, answer: &TargetAnswer) {
        let has_begun = matches!(answer.content, Content::Events(_)) && answer.has_begun();
        let is_recorded = self.stream_process.is_some();
        if !has_begun || is_recorded {
            return;
        }
        let call = &self.admitted.call;
        let request_id = call.resumes.as_ref().unwrap_or(&call.id);
        let keys = [self.attempt_key(request_id), self.call_key()];
        let lifetime = self.admitted.caller_time_limit().min(MAX_LIFETIME) + LIFETIME_MARGIN;
        let check = self.process_check(&picked.target);
        let process = StreamProcess::new(check, answer.connection_opened_at);
        let is_new = self.origin.software_version().is_none();
        let began = Began {
            pool: &self.pool,
            software_version: &picked.target.software_version,
            is_registered: !is_new || process.is_registered(),
        };
        self.origin
            .record(&keys, began, &self.admitted.route, lifetime);
        self.stream_process = is_new.then_some(process);
    }

    /// Whether it is known which software began the stream: the registered process of its target did, if it began with
    /// this call.
    pub(crate) async fn is_origin_confirmed(&self) -> bool {
        match &self.stream_process {
            Some(process) => process.confirm(ANSWER_TIME).await,
            None => true,
        }
    }

    /// Turns the answer of a target away with which a stream would go on, unless it is by the registered process.
    pub(crate) async fn check_continuation(
        &self,
        picked: &PickedTarget,
        outcome: AttemptOutcome<TargetAnswer>,
    ) -> AttemptOutcome<TargetAnswer> {
        let AttemptOutcome::Answered(answer) = &outcome else {
            return outcome;
        };
        let goes_on = self.origin.software_version().is_some()
            && matches!(answer.content, Content::Events(_));
        if !goes_on {
            return outcome;
        }
        let check = self.process_check(&picked.target);
        if check
            .confirm(answer.connection_opened_at, ANSWER_TIME)
            .await
        {
            return outcome;
        }
        TurnedAway::OtherProcess.into()
    }
}
