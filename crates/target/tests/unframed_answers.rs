//! Answers with neither a length nor chunks. Their connection ends in the same way whether the target is done
//! or killed, so only a format that shows its own end can be read from them.

use {
    std::{net::SocketAddr, time::Duration},
    target::{
        Client, ClientSettings, EngineClient, SendError, ServiceAnswer, ServiceClient,
        ServiceRequest,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const TIMEOUT: Duration = Duration::from_secs(2);
const LOAD: &str = r#"{"version":"d1","versions":[],"adapters":[],"role":"","running_count":0,"queued_count":0,"queued_tokens":0,"prefill_tokens_per_s":1.0,"memory_tokens":1,"memory_used_tokens":0,"leaving":false,"age_ms":0}"#;

/// Starts a target that answers each connection's request with these headers, each of which ends with a line
/// break, and this body, and closes the connection.
async fn start(headers: &str, body: &str) -> SocketAddr {
    let answer = format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}");
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Calls a plain service that answers like this.
async fn call(headers: &str, body: &str) -> Result<ServiceAnswer, SendError> {
    let service = start(headers, body).await;
    let service = ServiceClient::new(Client::new(ClientSettings::default()), service);
    let call = ServiceRequest {
        path: "/book".to_owned(),
        request_id: "r1".to_owned(),
        ..ServiceRequest::default()
    };
    service.call(&call, TIMEOUT).await
}

/// Checks that a service which answers like this may have run its call.
async fn assert_unknown(headers: &str, body: &str) -> String {
    let error = call(headers, body).await.expect_err("no whole answer");
    assert!(matches!(error, SendError::Unknown { .. }), "{error}");
    error.to_string()
}

/// Guards against half an answer that is stored with its claim and replayed as the whole one, and against a
/// failure that doesn't say what to change.
#[tokio::test]
async fn unframed_answer_of_a_service_is_unknown_and_says_the_remedy() {
    for body in ["", "half", r#"{"booked":true}"#] {
        let message = assert_unknown("", body).await;
        assert!(
            message.contains("have the target send a length or chunks"),
            "{message}"
        );
    }
}

#[tokio::test]
async fn framed_answers_of_a_service_are_whole() {
    let chunks = "transfer-encoding: chunked\r\n";
    for (headers, body) in [
        ("content-length: 6\r\n", "booked"),
        (chunks, "6\r\nbooked\r\n0\r\n\r\n"),
    ] {
        let answer = call(headers, body).await.expect("a whole answer");
        assert_eq!(answer.body, "booked");
    }
}

#[tokio::test]
async fn halves_of_framed_answers_are_unknown() {
    assert_unknown("content-length: 6\r\n", "boo").await;
    assert_unknown("transfer-encoding: chunked\r\n", "3\r\nboo\r\n").await;
}

/// Guards against half a report that is taken for a report with defaults.
#[tokio::test]
async fn unframed_json_is_read_only_if_it_is_whole() {
    let load = async |body: &str| {
        let engine = start("", body).await;
        let engine = EngineClient::new(Client::new(ClientSettings::default()), engine);
        engine.load().await
    };
    load(LOAD).await.expect("a whole report");
    for length in 0..LOAD.len() {
        let error = load(&LOAD[..length]).await.expect_err("half a report");
        assert!(!error.not_run(), "{error}");
    }
}
