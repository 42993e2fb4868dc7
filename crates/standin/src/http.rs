//! Bodies, answers and small helpers over `hyper`.

use {
    bytes::Bytes,
    futures::{Stream, StreamExt},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::CONTENT_TYPE,
    },
    serde::{Serialize, de::DeserializeOwned},
    serde_json::json,
    snafu::Snafu,
    std::{collections::HashMap, io, time::Duration},
    tokio::time::sleep,
};

/// Time in which the bytes before a cut are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// An answer, or the connection is closed without one.
pub type Answer = Result<Response<Body>, Cut>;

/// The connection is closed without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("connection closed by a fault switch; clear it with POST /fault"))]
pub struct Cut;

/// Error that ends a body before its end, after what came before it has been sent.
pub(crate) async fn broken_connection() -> io::Error {
    // `hyper` drops bytes that it has not flushed, and flushes when a body has to wait.
    sleep(FLUSH_DELAY).await;
    io::Error::new(io::ErrorKind::ConnectionReset, "cut by a fault switch")
}

/// Body with these bytes.
pub(crate) fn full<Content>(content: Content) -> Body
where
    Content: Into<Bytes>,
{
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body that ends with the stream, or is torn by its first error.
pub(crate) fn streamed<Chunks>(chunks: Chunks) -> Body
where
    Chunks: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    BodyExt::boxed_unsync(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// Answer with a JSON body.
// Every answer has this type, so that handlers can return it as it is.
#[allow(clippy::unnecessary_wraps)]
pub(crate) fn json<Content>(status: StatusCode, content: &Content) -> Answer
where
    Content: Serialize,
{
    let text = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    Ok(response)
}

/// `200` with a JSON body.
pub(crate) fn ok<Content>(content: &Content) -> Answer
where
    Content: Serialize,
{
    json(StatusCode::OK, content)
}

/// Answer with `{"error":{"type":kind}}`.
pub(crate) fn error(status: StatusCode, kind: &str) -> Answer {
    json(status, &json!({"error": {"type": kind}}))
}

/// Answer with a status and nothing else.
// As above.
#[allow(clippy::unnecessary_wraps)]
pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    Ok(response)
}

/// Answer to a path that the role does not have.
pub(crate) fn not_found() -> Answer {
    error(StatusCode::NOT_FOUND, "no_such_path")
}

/// Reads the whole body; a torn one counts as [`Cut`].
pub(crate) async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Cut> {
    let collected = request.into_body().collect().await.map_err(|_| Cut)?;
    Ok(collected.to_bytes())
}

/// Reads a JSON body; the inner error is the `400` to answer.
pub(crate) async fn read_json<Content>(
    request: Request<Incoming>,
) -> Result<Result<Content, Response<Body>>, Cut>
where
    Content: DeserializeOwned,
{
    let text = read_bytes(request).await?;
    match serde_json::from_slice(&text) {
        Ok(content) => Ok(Ok(content)),
        Err(error) => {
            let message = json!({"error": {"type": "bad_body", "message": error.to_string()}});
            Ok(Err(json(StatusCode::BAD_REQUEST, &message)?))
        }
    }
}

/// Query parameters by name. Values are used as they stand, without percent decoding.
pub(crate) fn query(request: &Request<Incoming>) -> HashMap<String, String> {
    request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// One header as text, empty if it is missing.
pub(crate) fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
