//! Acceptance of a call: its head is parsed and admitted, and its body is read.

use {
    crate::{
        CallSource, Declined, HeaderFormat, NotSent, Reason, Refusal, Relay, View,
        active_call::ActiveCall,
        admit::{Admitted, admit},
        call_recorder::{CallRecorder, millis},
        discard_body::discard_body,
        held_bytes::HeldPermit,
        peer_caller::CONFIGURATION,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::{
        Request,
        body::{Body, Incoming},
        header::HeaderValue,
        http::request,
    },
    std::time::{Duration, Instant},
    tokio::time::timeout,
};

/// A call that was admitted and read whole.
pub(crate) struct AcceptedCall {
    /// Metadata of the call, with its route and client account.
    pub(crate) admitted: Admitted,
    /// Head as the caller sent it.
    pub(crate) head: request::Parts,
    /// Whole body.
    pub(crate) body: Bytes,
    /// Memory reserved for the body.
    pub(crate) body_permit: HeldPermit,
}

impl<Format> Relay<Format>
where
    Format: HeaderFormat,
{
    /// Accepts a call that has just arrived from `source`, or refuses it before it was sent to
    /// anybody.
    pub(crate) async fn accept(
        &self,
        recorder: &mut CallRecorder,
        arrived: Instant,
        request: Request<Incoming>,
        source: CallSource,
    ) -> Result<ActiveCall<Format>, Refusal> {
        let (mut head, body, not_sent) = NotSent::receive(request);
        let admitted_by = match source {
            CallSource::Instance => head.headers.remove(CONFIGURATION),
            CallSource::Caller => None,
        };
        let accepted = tokio::select! {
            biased;
            accepted = self.read_call(recorder, head, body, admitted_by) => accepted,
            () = self.inner.state.answer_cutoff.triggered() => Err(Reason::ShuttingDown.into()),
        };
        match accepted {
            Ok(accepted) => {
                let call = ActiveCall::new(self.inner.clone(), accepted, not_sent, arrived);
                recorder.line.time_limit_ms = millis(call.time_limit());
                Ok(call)
            }
            Err(declined) => Err(Refusal::not_run(declined, not_sent.into())),
        }
    }

    /// Admits a call by its head, then reads its body into memory, or discards it if the call is
    /// declined. `admitted_by` is the version of the configuration by which another instance has
    /// admitted the call.
    async fn read_call(
        &self,
        recorder: &mut CallRecorder,
        head: request::Parts,
        body: Incoming,
        admitted_by: Option<HeaderValue>,
    ) -> Result<AcceptedCall, Declined> {
        let view = self.view();
        if is_newer(admitted_by.as_ref(), &view) {
            let declined = Declined::new(Reason::NotReady);
            return Err(discard_body(declined, &view, &head.headers, body).await);
        }
        recorder.line.configuration = view.configuration_version();
        recorder.line.view_age_ms = millis(view.age());
        recorder.line.instances_count = view.instances_count;
        let (admitted, mut body_permit) = match self.accept_head(recorder, &view, &head, &body) {
            Ok(accepted) => accepted,
            Err(declined) => return Err(discard_body(declined, &view, &head.headers, body).await),
        };
        let body = read_body(&admitted, body).await?;
        if !body_permit.resize(body.len()) {
            return Err(no_body_memory());
        }
        Ok(AcceptedCall {
            admitted,
            head,
            body,
            body_permit,
        })
    }

    /// Reserves memory for the body of a call, according to its declared length or, if it declares
    /// none, an assumed one.
    fn reserve_body_memory(
        &self,
        admitted: &Admitted,
        body: &Incoming,
    ) -> Result<HeldPermit, Declined> {
        let max_bytes = admitted.table.config().limits.max_body_bytes;
        let declared_length = body.size_hint().exact();
        let declared_length =
            declared_length.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if declared_length.is_some_and(|length| length > max_bytes) {
            return Err(Reason::BodyTooLong.into());
        }
        let length = declared_length.unwrap_or(ASSUMED_BODY_BYTES.min(max_bytes));
        self.inner
            .held_bytes
            .reserve_request(length)
            .ok_or_else(no_body_memory)
    }

    /// Parses and admits a call by its head, and reserves memory for its body. Enters in the call's
    /// log line what is known by then.
    fn accept_head(
        &self,
        recorder: &mut CallRecorder,
        view: &View,
        head: &request::Parts,
        body: &Incoming,
    ) -> Result<(Admitted, HeldPermit), Declined> {
        let call = self.inner.header_format.parse_call(head).map_err(|error| {
            log::info!("call refused: {error}");
            Declined::new(Reason::BadHead)
        })?;
        recorder.line.request_id.clone_from(&call.id);
        recorder.line.resumes = call.resumes.clone().unwrap_or_default();
        let admitted = admit(view, head, call)?;
        recorder.line.route.clone_from(&admitted.route.name);
        if let Some(account) = &admitted.account {
            recorder.line.account.clone_from(&account.name);
        }
        if admitted.homes().are_nowhere() {
            return Err(Reason::NoHome.into());
        }
        let body_permit = self.reserve_body_memory(&admitted, body)?;
        Ok((admitted, body_permit))
    }
}

/// Whether another instance admitted a call by a newer configuration than that of `view`. A version that
/// cannot be read is of a build that does not state it.
fn is_newer(admitted_by: Option<&HeaderValue>, view: &View) -> bool {
    let version = admitted_by.and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    version.is_some_and(|version| version > view.configuration_version())
}

/// Assumed length of a body without a declared length, in bytes.
const ASSUMED_BODY_BYTES: usize = 256 << 10;
/// Retry delay for callers while too many bodies are buffered.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Declined for a call whose body does not fit into memory now.
fn no_body_memory() -> Declined {
    Declined::new(Reason::Overloaded).retry_after(BODY_MEMORY_RETRY_AFTER)
}

/// Reads the body of a call within the configured size limit and the time limit of the call.
async fn read_body(admitted: &Admitted, body: Incoming) -> Result<Bytes, Declined> {
    let limits = admitted.table.config().limits;
    let time_limit = admitted.time_limit();
    let reading = Limited::new(body, limits.max_body_bytes).collect();
    match timeout(time_limit, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLong.into()),
        Ok(Err(_)) | Err(_) => Err(Reason::BodyIncomplete.into()),
    }
}
