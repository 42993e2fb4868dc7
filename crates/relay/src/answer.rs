//! What the caller gets.

use {
    crate::Refusal,
    bytes::Bytes,
    futures::Stream,
    http_body_util::{Either, Full, StreamBody},
    hyper::{HeaderMap, Response, StatusCode, body::Frame},
    snafu::Snafu,
};

/// A stream ended before its last event. The connection to the caller is closed, so that the
/// answer can't be taken for a whole one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the target broke off; the caller may ask again for the rest"))]
pub struct TruncatedAnswer;

/// An answer to a caller; `Events` is the stream of frames of one that is not whole yet.
pub type Answer<Events> = Response<Either<Full<Bytes>, StreamBody<Events>>>;

/// An answer whose body is known.
pub(crate) fn whole<Events>(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    with_head(status, headers, Either::Left(Full::new(body)))
}

/// An answer of the system's own.
pub(crate) fn refused<Events>(refusal: &Refusal) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    whole(refusal.reason.status(), refusal.headers(), refusal.body())
}

/// An answer whose body is still being made.
pub(crate) fn streamed<Events>(
    status: StatusCode,
    headers: HeaderMap,
    events: Events,
) -> Answer<Events>
where
    Events: Stream<Item = Result<Frame<Bytes>, TruncatedAnswer>>,
{
    with_head(status, headers, Either::Right(StreamBody::new(events)))
}

fn with_head<Body>(status: StatusCode, headers: HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
