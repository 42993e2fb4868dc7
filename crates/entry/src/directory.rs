//! Answers whether this instance takes calls, which addresses callers should use, and what it has
//! counted.

use {
    crate::{Platform, shared::Shared},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
    },
    relay::boot_time,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Age that callers may let an answer reach. Short, since a leaving instance has to serve callers
/// for several times as long.
const ADDRESS_AGE: Duration = Duration::from_secs(1);

/// Time after which callers that keep an answer for three times its age know of a change.
pub(crate) const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Path of counters and times.
const METRICS_PATH: &str = "/metrics";

/// Answers one question.
pub(crate) fn answer<Kv, Format>(
    shared: &Shared<Kv, Format>,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>>
where
    Format: Platform,
{
    let path = request.uri().path();
    if shared.format.is_readiness_path(path) {
        let status = if shared.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        return with_status(status, Bytes::new());
    }
    if path == METRICS_PATH {
        return with_status(StatusCode::OK, shared.meters.prometheus_text().into());
    }
    if !shared.format.is_addresses_path(path) {
        return with_status(StatusCode::NOT_FOUND, Bytes::new());
    }
    let age = ADDRESS_AGE.min(shared.settings.max_address_age);
    let body = shared.format.addresses_body(&addresses(shared), age);
    let mut response = with_status(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Addresses that callers should use now. While no instance takes callers for good, those that began to leave
/// last have the most time left.
fn addresses<Kv, Format>(shared: &Shared<Kv, Format>) -> Arc<Vec<SocketAddr>> {
    let leaving = shared.followed.view().shutdown;
    if leaving.is_some_and(|leaving| leaving.back_at.is_some()) {
        let since = boot_time().saturating_sub(LEARNING_TIME);
        let last = shared.known().left_since(since);
        if !last.is_empty() {
            return Arc::new(last);
        }
    }
    shared.addresses.load_full()
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
