//! Reads and discards the bodies of calls that are refused by their head.
//!
//! A connection can't be used for another call, and its caller may fail to send, if it is answered
//! before the whole body has arrived.

use {
    crate::{Declined, View},
    http_body_util::{BodyExt, Limited},
    hyper::{
        body::{Body, Incoming},
        header::{EXPECT, HeaderMap},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Maximum time for the rest of a discarded body to arrive.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Discards the body of a refused call, as far as the caller sends it soon and the configuration
/// allows its length. Returns the refusal, which closes the connection if the body has not ended.
pub(crate) async fn discard_body(
    refusal: Declined,
    view: &View,
    headers: &HeaderMap,
    body: Incoming,
) -> Declined {
    if refusal.close || body.is_end_stream() {
        return refusal;
    }
    let max_bytes = max_body_bytes(view);
    let has_ended = !awaits_continue(headers)
        && !is_longer(&body, max_bytes)
        && read_to_end(body, max_bytes).await;
    Declined {
        close: !has_ended,
        ..refusal
    }
}

/// Maximum length of a body by the configuration in force, or by default if there is none.
fn max_body_bytes(view: &View) -> usize {
    let limits = view.route_table.as_ref().map(|it| it.config().limits);
    limits.unwrap_or_default().max_body_bytes
}

/// Whether the caller sends the body only after an interim response, which reading would send.
fn awaits_continue(headers: &HeaderMap) -> bool {
    let expectation = headers.get(EXPECT);
    expectation.is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Whether the declared length of a body is above `max_bytes`.
fn is_longer(body: &Incoming, max_bytes: usize) -> bool {
    usize::try_from(body.size_hint().lower()).map_or(true, |length| length > max_bytes)
}

/// Reads a body without keeping it. Returns whether it ended within the limits.
async fn read_to_end(body: Incoming, max_bytes: usize) -> bool {
    let mut body = Limited::new(body, max_bytes);
    let reading = async {
        while let Some(frame) = body.frame().await {
            if frame.is_err() {
                return false;
            }
        }
        true
    };
    timeout(DISCARD_TIMEOUT, reading).await.unwrap_or(false)
}
