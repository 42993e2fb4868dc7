//! Builds HTTP requests with method, path and host.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Request, Uri,
        header::{self, HeaderValue},
    },
    serde::Serialize,
    std::net::SocketAddr,
};

/// Builds a request without a body. `path` must be a valid path, with any text in it
/// percent-encoded.
pub(crate) fn without_body(
    method: Method,
    path: &str,
    address: SocketAddr,
) -> Request<Full<Bytes>> {
    build(Full::default(), method, path, address)
}

/// Builds a POST request with a JSON body.
pub(crate) fn post_json<Body>(path: &str, body: &Body, address: SocketAddr) -> Request<Full<Bytes>>
where
    Body: Serialize,
{
    let body = serde_json::to_vec(body).expect("wire types have string keys only");
    let mut request = build(Full::new(body.into()), Method::POST, path, address);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    request
}

/// Builds a request with any body.
pub(crate) fn build(
    body: Full<Bytes>,
    method: Method,
    path: &str,
    address: SocketAddr,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path
        .parse::<Uri>()
        .unwrap_or_else(|_| Uri::from_static("/"));
    let host = HeaderValue::from_str(&address.to_string()).expect("an address is a valid header");
    request.headers_mut().insert(header::HOST, host);
    request
}
