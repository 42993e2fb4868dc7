//! Calls of plain services.

use {
    crate::{
        Refusal, RefusalKind, ServiceJob, ServiceResponse, respond, response_body::ResponseBody,
    },
    bytes::Bytes,
    catalog::{ClientAccountId, RequestId},
    hyper::header::{HeaderMap, HeaderValue},
};

/// Path prefix of calls.
pub(crate) const PREFIX: &str = "/v1/services/";

/// Bytes of an idempotency key at most.
const MAX_KEY_BYTES: usize = 255;

/// The job that a call asks for. `path` is the request's path.
pub(crate) fn job(
    path: &str,
    headers: &HeaderMap,
    request: RequestId,
    client_account: ClientAccountId,
    body: Bytes,
) -> Result<ServiceJob, Refusal> {
    let rest = path.strip_prefix(PREFIX).unwrap_or_default();
    let (service, call) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() || call.is_empty() {
        return Err(Refusal::not_run(
            RefusalKind::Invalid,
            "the path names no call; use /v1/services/SERVICE/CALL",
        ));
    }
    Ok(ServiceJob {
        request,
        client_account,
        service: service.to_owned(),
        path: format!("/{call}"),
        content_type: crate::request_reader::header_text(headers, "content-type")
            .unwrap_or_default(),
        body,
        idempotency_key: idempotency_key(headers)?,
    })
}

/// The `Idempotency-Key` header, checked.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get("idempotency-key") else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.to_owned())),
        _ => Err(Refusal::not_run(
            RefusalKind::Invalid,
            format!("Idempotency-Key: use 1 to {MAX_KEY_BYTES} printable ASCII characters"),
        )),
    }
}

/// The answer as the caller gets it.
pub(crate) fn answer(reply: ServiceResponse) -> respond::HttpResponse {
    let mut answer = respond::with_body(
        reply.status,
        &reply.content_type,
        ResponseBody::full(reply.body),
    );
    if reply.replayed {
        let replayed = HeaderValue::from_static("true");
        answer.headers_mut().insert("idempotent-replayed", replayed);
    }
    answer
}
