//! Builds answers.

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

/// An answer with any body.
pub(crate) fn with_body(status: u16, content_type: &str, body: ResponseBody) -> HttpResponse {
    let mut response = Response::new(body);
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let (false, Ok(value)) = (content_type.is_empty(), HeaderValue::from_str(content_type)) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// An answer with a JSON body.
pub(crate) fn json<Body>(status: u16, body: &Body) -> HttpResponse
where
    Body: Serialize,
{
    let bytes = serde_json::to_vec(body).expect("answers have string keys only");
    with_body(
        status,
        "application/json",
        ResponseBody::full(Bytes::from(bytes)),
    )
}

/// The answer that states a refusal, with `Retry-After` in whole seconds, rounded up.
pub(crate) fn refusal(refusal: &Refusal) -> HttpResponse {
    let mut response = json(refusal.kind.status(), &refusal.json());
    if let Some(after) = refusal.retry_after {
        let after_s = after.as_millis().div_ceil(1_000).max(1).to_string();
        if let Ok(value) = HeaderValue::from_str(&after_s) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}
