//! Request and response helpers on top of `hyper`.

use {
    bytes::Bytes,
    futures::{Stream, StreamExt},
    http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::CONTENT_TYPE,
    },
    percent_encoding::percent_decode_str,
    serde::{Serialize, de::DeserializeOwned},
    serde_json::json,
    snafu::Snafu,
    std::{collections::HashMap, io, time::Duration},
    tokio::time::sleep,
};

/// Time to let `hyper` send the bytes before a connection breaks.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Body of a request or response.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The response to a request, or an error that closes the connection without one.
pub type Answer = Result<Response<Body>, Cut>;

/// The connection is closed without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("connection closed by a fault switch; clear it with POST /fault"))]
pub struct Cut;

/// Error that ends a body early and breaks the connection. Waits first, so that the bytes before it
/// are sent.
pub(crate) async fn broken_connection() -> io::Error {
    // On an error, `hyper` drops bytes that are not flushed. It flushes while a body is pending.
    sleep(FLUSH_DELAY).await;
    io::Error::new(
        io::ErrorKind::ConnectionReset,
        "connection broken by a fault switch; clear it with POST /fault",
    )
}

/// Body with all of `content`.
pub(crate) fn full<Content>(content: Content) -> Body
where
    Content: Into<Bytes>,
{
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Body that streams chunks. An error of the stream breaks the connection.
pub(crate) fn streamed<Chunks>(chunks: Chunks) -> Body
where
    Chunks: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    BodyExt::boxed_unsync(StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))))
}

/// Response with a JSON body.
// Returns an `Answer` so that handlers can return the result directly.
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

/// Response `200` with a JSON body.
pub(crate) fn ok<Content>(content: &Content) -> Answer
where
    Content: Serialize,
{
    json(StatusCode::OK, content)
}

/// Response with the body `{"error":{"type":kind}}`.
pub(crate) fn error(status: StatusCode, kind: &str) -> Answer {
    json(status, &json!({"error": {"type": kind}}))
}

/// Response with an empty body.
// Returns an `Answer` so that handlers can return the result directly.
#[allow(clippy::unnecessary_wraps)]
pub(crate) fn empty(status: StatusCode) -> Answer {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    Ok(response)
}

/// Response to a request for an unknown path.
pub(crate) fn not_found() -> Answer {
    error(StatusCode::NOT_FOUND, "no_such_path")
}

/// Reads the whole body; a body that breaks off closes the connection with [`Cut`].
pub(crate) async fn read_bytes(request: Request<Incoming>) -> Result<Bytes, Cut> {
    let collected = request.into_body().collect().await.map_err(|_| Cut)?;
    Ok(collected.to_bytes())
}

/// Reads a JSON body. The inner error is the `400` response to a body that is not valid.
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

/// Query parameters by name, decoded as a form.
pub(crate) fn query(request: &Request<Incoming>) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    form_urlencoded::parse(query.as_bytes())
        .into_owned()
        .collect()
}

/// The rest of a path after `prefix`, decoded; `None` if the path does not begin with it.
pub(crate) fn path_rest(request: &Request<Incoming>, prefix: &str) -> Option<String> {
    let rest = request.uri().path().strip_prefix(prefix)?;
    Some(percent_decode_str(rest).decode_utf8_lossy().into_owned())
}

/// Value of a header, or an empty string if it is missing or not text.
pub(crate) fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
