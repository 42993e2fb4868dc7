//! A small HTTP client for the tests.
#![allow(dead_code, reason = "not every test file uses every helper")]

use {
    base64::{Engine as _, prelude::BASE64_STANDARD},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    serde_json::Value,
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

/// Sends a request; `None` if the connection ended without a response.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<Response<Incoming>> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    sender.send_request(request).await.ok()
}

/// Builds a request.
pub fn request<Content>(method: Method, path: &str, body: Content) -> Request<Full<Bytes>>
where
    Content: Into<Bytes>,
{
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body.into()))
        .expect("a valid request")
}

/// Sends JSON and reads JSON; `None` if there was no complete response.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Option<(StatusCode, Value)> {
    let response = send(address, request(method, path, body.to_string())).await?;
    let status = response.status();
    let text = response.into_body().collect().await.ok()?.to_bytes();
    Some((status, serde_json::from_slice(&text).unwrap_or(Value::Null)))
}

/// Sends a `POST` request and checks that the response is `200`.
pub async fn post(address: SocketAddr, path: &str, body: Value) -> Value {
    let (status, answer) = call(address, Method::POST, path, &body)
        .await
        .expect("an answer");
    assert_eq!(status, StatusCode::OK, "{path}: {answer}");
    answer
}

/// Sends a `GET` request and checks that the response is `200`.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let (status, answer) = call(address, Method::GET, path, &Value::Null)
        .await
        .expect("an answer");
    assert_eq!(status, StatusCode::OK, "{path}: {answer}");
    answer
}

/// Encodes a key or value in base64, as the key-value service expects.
pub fn base64(text: &str) -> String {
    BASE64_STANDARD.encode(text)
}
