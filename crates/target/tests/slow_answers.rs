//! An answer whose bytes arrive slowly and without end holds nobody longer than a silent one.

use {
    std::{net::SocketAddr, time::Duration},
    target::{
        AnswerEvent, AnswerStream, Client, ClientSettings, CompletionRequest, EngineClient, Reuse,
        SendError,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::{sleep, timeout},
    },
};

/// Longest wait for an event.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two writes of the target, much shorter than the longest wait.
const WRITE_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which a wait counts as endless.
const ENDLESS: Duration = Duration::from_secs(3);
const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// An event that carries this text.
fn event(text: &str) -> String {
    let data = format!(
        r#"{{"id":"r1","system_fingerprint":"d1","choices":[{{"text":"{text}","finish_reason":null}}],"usage":null}}"#
    );
    format!("data: {data}\n\n")
}

/// Starts a target that answers with `first` and then with `repeated` again and again.
async fn start(first: String, repeated: String) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(HEAD.as_bytes()).await;
        let mut piece = first;
        loop {
            let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            piece.clone_from(&repeated);
            sleep(WRITE_INTERVAL).await;
        }
    });
    address
}

async fn answer(target: SocketAddr) -> AnswerStream {
    let engine = EngineClient::new(Client::new(ClientSettings::default()), target);
    let completion = CompletionRequest {
        request_id: "r1".to_owned(),
        version: "d1".to_owned(),
        ..CompletionRequest::default()
    };
    let answer = engine.complete(&completion, Reuse::Fresh, READ_TIMEOUT);
    answer.await.unwrap()
}

/// Guards against a wait that starts again with each chunk.
#[tokio::test]
async fn answer_without_events_times_out_however_many_bytes_arrive() {
    for repeated in [": still here\n\n".to_owned(), event(""), "d".to_owned()] {
        let target = start(event("first"), repeated.clone()).await;
        let mut answer = answer(target).await;
        let first = answer.next(READ_TIMEOUT).await;
        assert_eq!(first, Ok(AnswerEvent::Text("first".to_owned())));
        let next = timeout(ENDLESS, answer.next(READ_TIMEOUT)).await;
        assert!(
            matches!(next, Ok(Err(SendError::Unknown { .. }))),
            "{repeated:?}: {next:?}"
        );
    }
}

#[tokio::test]
async fn answer_whose_tokens_keep_arriving_is_not_given_up() {
    let target = start(event("a"), event("a")).await;
    let mut answer = answer(target).await;
    for _ in 0..30 {
        let next = answer.next(READ_TIMEOUT).await;
        assert_eq!(next, Ok(AnswerEvent::Text("a".to_owned())));
    }
}

/// Guards against a body whose timeout starts again with each chunk.
#[tokio::test]
async fn body_that_never_ends_times_out() {
    let target = start("[".to_owned(), " ".to_owned()).await;
    let engine = EngineClient::new(Client::new(ClientSettings::default()), target);
    let load = timeout(ENDLESS, engine.load()).await;
    assert!(
        matches!(load, Ok(Err(SendError::Unknown { .. }))),
        "{load:?}"
    );
}
