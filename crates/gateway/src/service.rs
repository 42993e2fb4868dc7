//! Calls to plain services: parses requests and formats responses.

use {
    crate::{
        Refusal, RefusalKind, ServiceJob, ServiceResponse, respond, response_body::ResponseBody,
    },
    bytes::Bytes,
    catalog::{ClientAccountId, RequestId},
    hyper::{
        Uri,
        header::{HeaderMap, HeaderValue},
    },
};

/// Path prefix of calls to plain services.
pub(crate) const PREFIX: &str = "/v1/services/";

/// Largest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Parses a request into a job for the backend. `uri` is that of the request.
pub(crate) fn parse_job(
    uri: &Uri,
    headers: &HeaderMap,
    request: RequestId,
    client_account: ClientAccountId,
    body: Bytes,
) -> Result<ServiceJob, Refusal> {
    let rest = uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (service, call) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() || call.is_empty() {
        return Err(Refusal::not_run(
            RefusalKind::Invalid,
            "the path names no call; use /v1/services/SERVICE/CALL",
        ));
    }
    let query = uri.query().map(|query| format!("?{query}"));
    Ok(ServiceJob {
        request,
        client_account,
        service: service.to_owned(),
        path: format!("/{call}{}", query.unwrap_or_default()),
        content_type: crate::request_reader::header_text(headers, "content-type")
            .unwrap_or_default(),
        body,
        idempotency_key: idempotency_key(headers)?,
    })
}

/// Returns the `Idempotency-Key` header; fails if it is present but invalid.
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

/// Converts the response of a plain service to an HTTP response.
pub(crate) fn http_response(service_response: ServiceResponse) -> respond::HttpResponse {
    let mut response = respond::with_body(
        service_response.status,
        &service_response.content_type,
        ResponseBody::full(service_response.body),
    );
    if service_response.replayed {
        let replayed = HeaderValue::from_static("true");
        response
            .headers_mut()
            .insert("idempotent-replayed", replayed);
    }
    response
}
