//! Serves the readiness probe, the addresses that callers should use, and the metrics.

use {
    crate::{
        Platform,
        caller_addresses::{CallerAddress, addresses_within},
        shared::Shared,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue},
    },
    relay::boot_time,
    routes::Homes,
    std::{net::SocketAddr, time::Duration},
};

/// Time that callers may cache an address response. Short, since a draining instance must keep
/// serving callers for several times as long.
const ADDRESS_MAX_AGE: Duration = Duration::from_secs(1);

/// Time after which even callers that cache a response for three times its maximum age have seen a
/// change.
pub(crate) const CALLER_REFRESH_TIME: Duration = Duration::from_secs(3);

const METRICS_PATH: &str = "/metrics";

/// Answers one request.
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
    let age = ADDRESS_MAX_AGE.min(shared.settings.max_address_age);
    let query = request.uri().query().unwrap_or_default();
    let body = shared.format.addresses_body(&addresses(shared, query), age);
    let mut response = with_status(StatusCode::OK, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns the addresses that a caller should use now, by its `query` and the homes of the routes it
/// asks for. While every instance drains, those that were ready until at most
/// [`CALLER_REFRESH_TIME`] ago can serve callers the longest.
fn addresses<Kv, Format>(shared: &Shared<Kv, Format>, query: &str) -> Vec<SocketAddr>
where
    Format: Platform,
{
    let view = shared.relay_state.view();
    let query = shared.format.parse_address_query(query);
    let homes = view.route_table.as_ref();
    let homes = homes.map_or_else(Homes::default, |table| table.host_homes(&query.host));
    let regions = &shared.settings.regions;
    let within = |all: &[_]| addresses_within(&homes, regions, &query.region, all);
    if view
        .shutdown
        .is_some_and(|shutdown| shutdown.back_at.is_some())
    {
        let since = boot_time().saturating_sub(CALLER_REFRESH_TIME);
        let known = shared.known();
        let last = known.unready_members_after(since).into_iter();
        let last: Vec<CallerAddress> = last.map(CallerAddress::from).collect();
        drop(known);
        if !last.is_empty() {
            return within(&last);
        }
    }
    within(&shared.caller_addresses.load())
}

fn with_status(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
