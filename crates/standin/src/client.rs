//! A minimal HTTP client, used by engines to call stores and the weight store, and by callers.

use {
    crate::http::Body,
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr},
    tokio::net::TcpStream,
};

/// Sends one request over a new connection.
pub(crate) async fn send(
    address: SocketAddr,
    request: Request<Body>,
) -> io::Result<Response<Incoming>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(connection);
    sender.send_request(request).await.map_err(io::Error::other)
}

/// Sends one request and reads the whole response: status, `x-checksum` header and body.
pub(crate) async fn fetch(
    address: SocketAddr,
    request: Request<Body>,
) -> io::Result<(StatusCode, Option<String>, Bytes)> {
    let response = send(address, request).await?;
    let status = response.status();
    let checksum = response
        .headers()
        .get("x-checksum")
        .and_then(|value| value.to_str().ok())
        .map(ToOwned::to_owned);
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?;
    Ok((status, checksum, body.to_bytes()))
}
