//! Builds HTTP responses.

use {
    crate::{Refusal, response_body::ResponseBody},
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{self, HeaderValue},
    },
    serde::Serialize,
};

pub(crate) type HttpResponse = Response<ResponseBody>;

/// Creates a response with any body. An empty `content_type` sets no header.
pub(crate) fn with_body(status: u16, content_type: &str, body: ResponseBody) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let (false, Ok(value)) = (content_type.is_empty(), HeaderValue::from_str(content_type)) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Creates a response with a JSON body.
pub(crate) fn json<Body>(status: u16, body: &Body) -> HttpResponse
where
    Body: Serialize,
{
    let bytes = serde_json::to_vec(body)
        .expect("response bodies serialize: their maps have string keys only");
    with_body(
        status,
        "application/json",
        ResponseBody::full(Bytes::from(bytes)),
    )
}

/// Creates the response for a refusal. `Retry-After` is in whole seconds, rounded up, at least 1.
pub(crate) fn refusal(refusal: &Refusal) -> HttpResponse {
    let mut response = json(refusal.kind.status(), &refusal.json());
    if let Some(delay) = refusal.retry_after {
        let delay_s = delay.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = HeaderValue::from_str(&delay_s) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
