//! How the end of a body is marked.

use hyper::{
    Response,
    body::{Body, Incoming},
    header::{self, HeaderMap},
};

/// Whether a length or chunks mark the end of the body, rather than the end of its connection.
pub(crate) fn has_framing(response: &Response<Incoming>) -> bool {
    response.body().size_hint().exact().is_some() || is_chunked(response.headers())
}

/// Whether chunks mark the end of the body. With any other last coding, the end of the connection does.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let last = codings.and_then(|it| it.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
