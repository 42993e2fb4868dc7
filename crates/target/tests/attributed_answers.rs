//! A refusal counts only for the request that it is known to answer.

use {
    std::{net::SocketAddr, time::Duration},
    target::{
        Client, ClientSettings, CompletionRequest, EngineClient, Reuse, SendError, ServiceClient,
        ServiceRequest,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const TIMEOUT: Duration = Duration::from_secs(2);
const LOAD: &str = r#"{"version":"d1","versions":[],"adapters":[],"role":"","running_count":0,"queued_count":0,"queued_tokens":0,"prefill_tokens_per_s":1.0,"memory_tokens":1,"memory_used_tokens":0,"leaving":false,"age_ms":0}"#;
const FULL: &str = r#"{"error":{"type":"full"}}"#;

/// An answer with `headers`, each of which ends with a line break.
fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// Starts a target that gives these answers on each connection, one to each request.
async fn start(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for answer in &answers {
                let _ = stream.read(&mut [0; 4096]).await;
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        }
    });
    address
}

/// Asks an engine for its load, then for a completion on the same connection, which it refuses like this.
async fn refusal_on_a_used_connection(full: String) -> SendError {
    let engine = start(vec![answer("200 OK", "", LOAD), full]).await;
    let engine = EngineClient::new(Client::new(ClientSettings::default()), engine);
    engine.load().await.unwrap();
    complete(&engine, Reuse::Allowed).await
}

async fn complete(engine: &EngineClient, reuse: Reuse) -> SendError {
    let completion = CompletionRequest {
        request_id: "r1".to_owned(),
        ..CompletionRequest::default()
    };
    let answered = engine.complete(&completion, reuse, TIMEOUT).await;
    answered.err().expect("the engine refuses")
}

/// Guards against taking a late refusal for that of the next request.
#[tokio::test]
async fn refusal_without_an_id_on_a_used_connection_shows_nothing() {
    let error = refusal_on_a_used_connection(answer("503 Full", "", FULL)).await;
    assert!(matches!(error, SendError::Unknown { .. }), "{error}");
}

#[tokio::test]
async fn refusal_on_a_connection_of_its_own_counts() {
    let engine = start(vec![answer("503 Full", "", FULL)]).await;
    let engine = EngineClient::new(Client::new(ClientSettings::default()), engine);
    let error = complete(&engine, Reuse::Fresh).await;
    assert!(matches!(error, SendError::Refused { .. }), "{error}");
}

#[tokio::test]
async fn refusal_that_names_the_request_counts_on_a_used_connection() {
    let full = answer("503 Full", "x-request-id: r1\r\n", FULL);
    let error = refusal_on_a_used_connection(full).await;
    assert!(matches!(error, SendError::Refused { .. }), "{error}");
}

/// Guards against believing a plain service's refusal of another call.
#[tokio::test]
async fn refusal_that_names_another_request_shows_nothing() {
    let headers = "x-outcome: not_run\r\nx-request-id: r0\r\n";
    let service = start(vec![answer("503 Busy", headers, "")]).await;
    let service = ServiceClient::new(Client::new(ClientSettings::default()), service);
    let call = ServiceRequest {
        path: "/book".to_owned(),
        request_id: "r1".to_owned(),
        ..ServiceRequest::default()
    };
    let error = service.call(&call, TIMEOUT).await.unwrap_err();
    assert!(matches!(error, SendError::Unknown { .. }), "{error}");
}
