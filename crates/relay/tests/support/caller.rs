//! A caller that records the raw response.

use {
    super::KEY,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// A raw response, up to its end or to the end of the connection.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub text: String,
    /// Whether the response ended with its content length or end marker.
    pub is_complete: bool,
}

impl Response {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.text.lines();
        lines.find_map(|line| line.strip_prefix(&format!("{name}: ")))
    }
}

/// Sends a call and returns its connection.
pub async fn send(relay: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    send_on(&mut stream, path, headers).await;
    stream
}

/// Sends a call on a connection.
pub async fn send_on(stream: &mut TcpStream, path: &str, headers: &str) {
    send_as("c1", stream, path, headers).await;
}

/// Sends a call with this id on a connection.
async fn send_as(id: &str, stream: &mut TcpStream, path: &str, headers: &str) {
    let call = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nid: {id}\r\nkey: {KEY}\r\n{headers}\
         content-length: 4\r\n\r\nbody"
    );
    stream.write_all(call.as_bytes()).await.unwrap();
}

/// Sends a call and reads its response.
pub async fn call(relay: SocketAddr, path: &str, headers: &str) -> Response {
    read_response(send(relay, path, headers).await).await
}

/// Sends a call with this id and reads its response.
pub async fn call_as(id: &str, relay: SocketAddr, path: &str) -> Response {
    call_with(id, relay, path, "").await
}

/// Sends a call with this id and these headers, and reads its response.
pub async fn call_with(id: &str, relay: SocketAddr, path: &str, headers: &str) -> Response {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    send_as(id, &mut stream, path, headers).await;
    read_response(stream).await
}

/// Reads the only response of a connection.
pub async fn read_response(mut stream: TcpStream) -> Response {
    read_next_response(&mut stream).await
}

/// Reads the next response of a connection.
pub async fn read_next_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let is_complete = is_complete(&text);
        let count = if is_complete {
            0
        } else {
            stream.read(&mut chunk).await.unwrap_or(0)
        };
        if count == 0 {
            let status = text.get(9..12).and_then(|it| it.parse().ok());
            return Response {
                status: status.unwrap_or(0),
                text,
                is_complete,
            };
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    match length {
        Some(length) => body.len() >= length.parse().unwrap(),
        None => body.ends_with("0\r\n\r\n"),
    }
}
