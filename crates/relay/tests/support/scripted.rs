//! A target that answers each call as its script says, byte by byte.

use {
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// One answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// These bytes; `{id}` becomes the call's id.
    Say(String),
    /// These bytes, then the connection is reset or closed.
    Break(String),
    /// These bytes, then nothing for some seconds.
    Hold(String),
    /// Nothing, until the caller leaves.
    Silence,
}

/// A call as it arrived.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub head: String,
}

impl Arrived {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(&format!("{name}: ")))
    }
}

/// A target with a script.
pub struct Scripted {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    script: Mutex<VecDeque<Step>>,
    arrived: Mutex<Vec<Arrived>>,
    left: Mutex<u32>,
}

impl Scripted {
    /// Listens and plays `script`, then answers every further call with success.
    pub async fn start(name: &str, script: Vec<Step>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            script: Mutex::new(script.into()),
            ..State::default()
        });
        let shared = state.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, shared.clone()));
            }
        });
        Self {
            name: name.to_owned(),
            address,
            state,
        }
    }

    /// Calls that have arrived, in order.
    pub fn arrived(&self) -> Vec<Arrived> {
        self.state.arrived.lock().unwrap().clone()
    }

    /// Waits until a caller has left a call that was met with silence.
    pub async fn caller_left(&self) -> bool {
        for _ in 0..200 {
            if *self.state.left.lock().unwrap() > 0 {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

/// A whole answer with `body`.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nid: {{id}}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// A success with `body`.
pub fn success(body: &str) -> String {
    answer("200 OK", "stamp: s\r\n", body)
}

/// The head of a stream, and its first chunks.
pub fn stream(chunks: &[&str]) -> String {
    let head = "HTTP/1.1 200 OK\r\nid: {id}\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = chunks
        .iter()
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    format!("{head}{}", chunks.collect::<String>())
}

async fn serve(mut stream: TcpStream, state: Arc<State>) {
    let mut buffer = Vec::new();
    while let Some(head) = read_call(&mut stream, &mut buffer).await {
        let arrived = Arrived { head };
        let id = arrived.header("id").unwrap_or_default().to_owned();
        state.arrived.lock().unwrap().push(arrived);
        let step = state.script.lock().unwrap().pop_front();
        match step.unwrap_or_else(|| Step::Say(success("ok"))) {
            Step::Say(text) => {
                if stream
                    .write_all(text.replace("{id}", &id).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Step::Break(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                sleep(Duration::from_millis(30)).await;
                return;
            }
            Step::Hold(text) => {
                let _ = stream.write_all(text.replace("{id}", &id).as_bytes()).await;
                sleep(Duration::from_secs(6)).await;
                return;
            }
            Step::Silence => {
                let mut byte = [0];
                let ended = timeout(Duration::from_secs(2), stream.read(&mut byte)).await;
                if matches!(ended, Ok(Ok(0) | Err(_))) {
                    *state.left.lock().unwrap() += 1;
                }
                return;
            }
        }
    }
}

/// Reads one call with its body; gives its head.
async fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let whole = end + 4 + length.map_or(0, |it| it.parse::<usize>().unwrap());
            if buffer.len() >= whole {
                buffer.drain(..whole);
                return Some(head);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}
