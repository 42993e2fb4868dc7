//! A target whose answer depends on the path of the call.

use {
    keyvalue::MemoryKv,
    std::{future::pending, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

const STREAM: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Time after which a broken stream breaks off.
const BREAK_DELAY: Duration = Duration::from_millis(50);

/// Number of events of a long stream.
pub const LONG_EVENTS_COUNT: usize = 3_000;
/// Length of each of these events' data in bytes.
const LONG_EVENT_BYTES: usize = 4_096;
/// Length of a large whole body in bytes.
pub const LARGE_BODY_BYTES: usize = 12 << 20;

/// Starts a target and registers it. `/prompts/whole` is a stream of one event, `/prompts/broken` breaks off
/// after it, `/prompts/endless` sends no more after it, `/prompts/long` has many events, `/prompts/torn` breaks
/// off after as many, and `/large` is a whole body.
pub async fn start(kv: &MemoryKv) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    super::put(kv, "targets/t1", &format!("{address} 1")).await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
}

/// Answers the first call of a connection, then closes it.
async fn serve(mut stream: TcpStream) {
    let Some(path) = read_path(&mut stream).await else {
        return;
    };
    let _ = stream.write_all(answer(&path).as_bytes()).await;
    match path.as_str() {
        "/prompts/endless" => pending().await,
        _ => sleep(BREAK_DELAY).await,
    }
}

fn answer(path: &str) -> String {
    let begin = format!("{STREAM}{}", event(1, "first"));
    let long = || {
        let data = "x".repeat(LONG_EVENT_BYTES);
        let events: String = (1..=LONG_EVENTS_COUNT).map(|id| event(id, &data)).collect();
        format!("{STREAM}{events}")
    };
    match path {
        "/prompts/whole" => begin + LAST_CHUNK,
        "/prompts/broken" | "/prompts/endless" => begin,
        "/prompts/long" => long() + LAST_CHUNK,
        "/prompts/torn" => long(),
        "/large" => {
            let body = "x".repeat(LARGE_BODY_BYTES);
            format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n{body}")
        }
        _ => "HTTP/1.1 500 Error\r\ncontent-length: 0\r\nconnection: close\r\n\r\n".to_owned(),
    }
}

fn event(id: usize, data: &str) -> String {
    let event = format!("id: {id}\ndata: {data}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Reads the head of a call. Returns its path; `None` if the connection ends before.
pub async fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|it| it == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&bytes);
    Some(head.split(' ').nth(1).unwrap_or_default().to_owned())
}
