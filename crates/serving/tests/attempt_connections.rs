//! An attempt sends its request only over connections whose answers it reads.

use {
    serving::{Attempt, AttemptEnd, Timeouts},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    target::{Client, ClientSettings, CompletionRequest, EngineClient, SendError},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::sleep,
    },
};

/// Longest wait for an answer.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of connections of an attempt.
const CONNECTIONS_COUNT: u32 = 3;
const UNKNOWN_RUN: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// Starts an engine that answers no completion and knows no run. Returns how many completions arrived.
async fn start_silent_engine() -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let completions_count = Arc::<AtomicU32>::default();
    let count = completions_count.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, count.clone()));
        }
    });
    (address, completions_count)
}

async fn serve(mut stream: TcpStream, completions_count: Arc<AtomicU32>) {
    let mut head = [0; 4096];
    let length = stream.read(&mut head).await.unwrap();
    if head[..length].starts_with(b"POST /v1/completions ") {
        completions_count.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_secs(10)).await;
        return;
    }
    stream.write_all(UNKNOWN_RUN.as_bytes()).await.unwrap();
    let _ = stream.read(&mut head).await;
}

/// Guards against a run whose answer nobody reads.
#[tokio::test]
async fn repeatable_request_is_not_sent_again_after_the_last_connection() {
    let (address, completions_count) = start_silent_engine().await;
    let engine = EngineClient::new(Client::new(ClientSettings::default()), address);
    let completion = CompletionRequest::default();
    let (events, _receiver) = mpsc::channel(1);
    let attempt = Attempt {
        engine: &engine,
        completion: &completion,
        timeouts: Timeouts {
            first_byte: FIRST_BYTE_TIMEOUT,
            idle: FIRST_BYTE_TIMEOUT,
        },
        may_run_twice: true,
        events: &events,
    };
    let report = attempt.run(|| {}).await;
    assert!(matches!(
        report.end,
        AttemptEnd::Failed(SendError::Unknown { .. })
    ));
    assert!(report.may_have_run);
    assert_eq!(completions_count.load(Ordering::Relaxed), CONNECTIONS_COUNT);
    assert_eq!(report.reconnects_count, CONNECTIONS_COUNT - 1);
}
