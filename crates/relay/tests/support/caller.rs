//! A caller that keeps what it gets as it came.

use {
    super::KEY,
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// What a caller got until the connection ended or the answer was whole.
#[derive(Clone, Debug)]
pub struct Got {
    pub status: u16,
    pub text: String,
    /// Whether the answer's end was marked.
    pub whole: bool,
}

impl Got {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.text.lines();
        lines.find_map(|line| line.strip_prefix(&format!("{name}: ")))
    }
}

/// Sends a call and gives its connection.
pub async fn send(relay: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    let call = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nid: c1\r\nkey: {KEY}\r\n{headers}\
         content-length: 4\r\n\r\nbody"
    );
    stream.write_all(call.as_bytes()).await.unwrap();
    stream
}

/// Sends a call and reads its answer.
pub async fn call(relay: SocketAddr, path: &str, headers: &str) -> Got {
    read(send(relay, path, headers).await).await
}

/// Reads an answer.
pub async fn read(mut stream: TcpStream) -> Got {
    let mut bytes = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let whole = is_whole(&text);
        let count = if whole {
            0
        } else {
            stream.read(&mut chunk).await.unwrap_or(0)
        };
        if count == 0 {
            let status = text.get(9..12).and_then(|it| it.parse().ok());
            return Got {
                status: status.unwrap_or(0),
                text,
                whole,
            };
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn is_whole(text: &str) -> bool {
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
