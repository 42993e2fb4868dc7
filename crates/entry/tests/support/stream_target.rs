//! A target whose streams break off after their first event, unless they are resumed.

use {
    keyvalue::MemoryKv,
    std::sync::{Arc, Mutex},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A call that reached a target.
#[derive(Clone, Debug)]
pub struct ArrivedStream {
    /// Request id of the call.
    pub id: String,
    /// Request id that the call resumes.
    pub resumes: Option<String>,
    /// Version of the target's software.
    pub software: String,
}

/// Calls that have reached targets.
pub type ArrivedStreams = Arc<Mutex<Vec<ArrivedStream>>>;

/// Starts a target of this software and registers it.
pub async fn start(name: &str, software: &str, kv: &MemoryKv, arrived: &ArrivedStreams) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (software, arrived) = (software.to_owned(), arrived.clone());
    super::put(
        kv,
        &format!("targets/{name}"),
        &format!("{address} 1 {software}"),
    )
    .await;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, software.clone(), arrived.clone()));
        }
    });
}

/// Answers the first call of a connection, then closes it.
async fn serve(mut stream: TcpStream, software: String, arrived: ArrivedStreams) {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|it| it == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    if !head.contains(" /prompts/") {
        let refusal = "HTTP/1.1 500 Error\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        let _ = stream.write_all(refusal.as_bytes()).await;
        return;
    }
    let header = |name: &str| {
        let mut lines = head.lines();
        let value = lines.find_map(|line| line.strip_prefix(&format!("{name}: ")));
        value.map(str::to_owned)
    };
    let resumes = header("resumes");
    let id = if resumes.is_some() { 2 } else { 1 };
    let event = format!("id: {id}\ndata: {software}\n\n");
    let end = if resumes.is_some() { "0\r\n\r\n" } else { "" };
    arrived.lock().unwrap().push(ArrivedStream {
        id: header("id").unwrap_or_default(),
        resumes,
        software,
    });
    let answer = format!("{HEAD}{:x}\r\n{event}\r\n{end}", event.len());
    let _ = stream.write_all(answer.as_bytes()).await;
}
