//! What the head of an answer says of the end of its body and of its connection.

use {
    hyper::header::{self, HeaderMap},
    std::time::Duration,
};

/// Whether chunks mark the end of the body. With any other last coding, the end of the connection does.
pub(crate) fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .next_back();
    let last = codings.and_then(|it| it.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// How long the target keeps an idle connection, if its `keep-alive` header says so.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',');
    let seconds = parameters.find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.parse().ok()?))
}
