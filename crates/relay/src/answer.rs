//! HTTP responses to the caller.

use {
    crate::{
        CallSource, Eviction, Refusal,
        not_run::{NOT_RUN, UNNAMED_CALL},
    },
    bytes::Bytes,
    futures::Stream,
    http_body_util::{Either, Full, StreamBody},
    hyper::{
        HeaderMap, Response, StatusCode,
        body::Frame,
        header::{CONTENT_LENGTH, HeaderValue},
    },
    snafu::Snafu,
    tokio::task::yield_now,
};

/// An event stream ended before its last event. Returning this error makes the server close the
/// connection, so that the caller cannot take the answer for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the answer ended before its last event; the caller may request the rest"))]
pub struct TruncatedAnswer;

impl TruncatedAnswer {
    /// Lets the server send the frames that it holds, then gives the error, at which it discards them.
    pub(crate) async fn after_flush() -> Self {
        yield_now().await;
        Self
    }
}

/// An HTTP response to a caller. `Events` is the stream of body frames of a streamed answer.
pub type Answer<Events> = Response<Either<Full<Bytes>, StreamBody<Events>>>;

/// Creates an answer with a complete body.
pub(crate) fn whole<Events>(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    with_head(status, headers, Either::Left(Full::new(body)))
}

/// Creates the answer for a refusal. Another instance, which is not bound by the status alone, is told
/// explicitly if the call with `id` has not run; the id is empty if the head had none.
pub(crate) fn refused<Events>(refusal: &Refusal, source: CallSource, id: &str) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    let mut headers = refusal.headers();
    if source == CallSource::Instance && refusal.is_not_run() {
        let named = HeaderValue::from_str(id).ok().filter(|it| !it.is_empty());
        headers.insert(
            NOT_RUN,
            named.unwrap_or(HeaderValue::from_static(UNNAMED_CALL)),
        );
    }
    whole(refusal.status(), headers, refusal.body())
}

/// Creates an answer whose body is streamed. It states no length, since the rest of the stream may come
/// from another target. Its connection must be closed on `eviction`.
pub(crate) fn streamed<Events>(
    status: StatusCode,
    mut headers: HeaderMap,
    eviction: Eviction,
    events: Events,
) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    headers.remove(CONTENT_LENGTH);
    let mut answer = with_head(status, headers, Either::Right(StreamBody::new(events)));
    answer.extensions_mut().insert(eviction);
    answer
}

fn with_head<Body>(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
