//! Reads request bodies within their limits, and request headers.

use {
    crate::{GatewaySettings, Refusal, RefusalKind},
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::{body::Incoming, header::HeaderMap},
    tokio::time::timeout,
};

/// Reads the whole body of a request. Fails if it exceeds the size limit or the timeout.
pub(crate) async fn read_body(
    body: Incoming,
    settings: &GatewaySettings,
) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, settings.max_body_bytes);
    let collected = timeout(settings.body_timeout, limited.collect())
        .await
        .map_err(|_| {
            Refusal::not_run(
                RefusalKind::Timeout,
                format!(
                    "the body did not arrive within {} ms; send it faster or make it smaller",
                    settings.body_timeout.as_millis()
                ),
            )
        })?;
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::not_run(
            RefusalKind::TooLarge,
            format!(
                "the body exceeds {} bytes; make it smaller",
                settings.max_body_bytes
            ),
        )),
        Err(error) => Err(Refusal::not_run(
            RefusalKind::Invalid,
            format!("the body cannot be read: {error}; send it again"),
        )),
    }
}

/// Returns the text of a header; `None` if it is missing or not visible ASCII.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Returns the text of a header; `None` if it is missing. Fails if it is not visible ASCII, since the request
/// would mean something else without it.
pub(crate) fn readable_header(headers: &HeaderMap, name: &str) -> Result<Option<String>, Refusal> {
    let text = header_text(headers, name);
    if text.is_none() && headers.contains_key(name) {
        return Err(Refusal::not_run(
            RefusalKind::Invalid,
            format!("{name}: use visible ASCII characters"),
        ));
    }
    Ok(text)
}
