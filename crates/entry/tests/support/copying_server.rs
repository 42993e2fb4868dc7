//! A target or store that sends the copy of an answer where a later one on the same connection is due.

use {
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Time from a copy to the answer before which it comes.
const ANSWER_DELAY: Duration = Duration::from_millis(200);

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Question {
    pub head: String,
    pub body: String,
}

impl Question {
    /// Its path.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(&format!("{name}: ")))
    }
}

/// A copy that is still to come.
#[derive(Clone, Copy, Debug)]
pub struct LateCopy {
    /// Path of the request whose first answer on a connection is copied.
    pub of: &'static str,
    /// Path of the request before whose answer it comes.
    pub before: &'static str,
}

/// A running server.
#[derive(Clone)]
pub struct CopyingServer {
    pub address: SocketAddr,
    late: Arc<Mutex<Option<LateCopy>>>,
}

impl CopyingServer {
    /// Starts a server that answers with the status and body that `answer` gives.
    pub async fn start<Answer>(answer: Answer) -> Self
    where
        Answer: Fn(&Question) -> (u16, String) + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            late: Arc::default(),
        };
        let late = server.late.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer.clone(), late.clone()));
            }
        });
        server
    }

    /// Has a copy come once.
    pub fn copy(&self, late: LateCopy) {
        *self.late.lock().unwrap() = Some(late);
    }

    /// Whether the copy has come.
    pub fn has_copied(&self) -> bool {
        self.late.lock().unwrap().is_none()
    }
}

async fn serve<Answer>(mut stream: TcpStream, answer: Answer, late: Arc<Mutex<Option<LateCopy>>>)
where
    Answer: Fn(&Question) -> (u16, String),
{
    let mut buffer = Vec::new();
    let mut sent: Vec<(String, String)> = Vec::new();
    while let Some(question) = read_question(&mut stream, &mut buffer).await {
        if let Some(copy) = take_copy(&question, &sent, &late) {
            let _ = stream.write_all(copy.as_bytes()).await;
            sleep(ANSWER_DELAY).await;
        }
        let (status, body) = answer(&question);
        let length = body.len();
        let text = format!("HTTP/1.1 {status} S\r\ncontent-length: {length}\r\n\r\n{body}");
        sent.push((question.path().to_owned(), text.clone()));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// The copy that comes before the answer to `question`, if it is due on this connection.
fn take_copy(
    question: &Question,
    sent: &[(String, String)],
    late: &Mutex<Option<LateCopy>>,
) -> Option<String> {
    let mut late = late.lock().unwrap();
    let wanted = late.filter(|it| it.before == question.path())?;
    let (_, copy) = sent.iter().find(|(path, _)| path == wanted.of)?;
    *late = None;
    Some(copy.clone())
}

async fn read_question(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Question> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some((head, rest)) = text.split_once("\r\n\r\n") {
            let question = Question {
                head: head.to_owned(),
                body: rest.to_owned(),
            };
            let length = question.header("content-length");
            if rest.len() >= length.map_or(0, |it| it.parse().unwrap()) {
                buffer.clear();
                return Some(question);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}
