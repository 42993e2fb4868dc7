//! Calls that are refused by their head alone: the caller may still be sending the body.

mod support;

use {
    relay::View,
    std::{io, sync::Arc, time::Duration},
    support::{
        KEY, TestRelay,
        caller::{self, Response},
        scripted_target::ScriptedTarget,
    },
    tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep},
};

const BODY_BYTES: usize = 200 << 10;
const PIECE_BYTES: usize = 20 << 10;
const PIECES_COUNT: usize = BODY_BYTES / PIECE_BYTES;
/// Time between the head of a call and its body.
const BODY_DELAY: Duration = Duration::from_millis(50);
/// Time between two pieces of a body.
const PIECE_DELAY: Duration = Duration::from_millis(1);
/// Memory of a test relay for request bodies.
const BUFFERED_BYTES: usize = 32 << 20;

/// Head of a call whose body is framed by the header `framing`.
fn head(path: &str, key: &str, framing: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: a.example\r\nid: c1\r\nkey: {key}\r\n{framing}\r\n\r\n")
}

/// Head of a call with a body of a declared length.
fn head_with_length(path: &str, key: &str, length: usize) -> String {
    head(path, key, &format!("content-length: {length}"))
}

/// Sends a head and, after a delay, the pieces of a body.
async fn send_in_pieces(stream: &mut TcpStream, head: &str, pieces: &[String]) -> io::Result<()> {
    stream.write_all(head.as_bytes()).await?;
    sleep(BODY_DELAY).await;
    for piece in pieces {
        stream.write_all(piece.as_bytes()).await?;
        sleep(PIECE_DELAY).await;
    }
    Ok(())
}

/// Pieces of a body with a declared length.
fn plain_pieces() -> Vec<String> {
    vec!["x".repeat(PIECE_BYTES); PIECES_COUNT]
}

/// Pieces of a chunked body, with its end marker.
fn chunked_pieces() -> Vec<String> {
    let chunk = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
    let mut pieces = vec![chunk; PIECES_COUNT];
    pieces.push("0\r\n\r\n".to_owned());
    pieces
}

/// Sends a head alone and reads the response.
async fn call_without_body(relay: &TestRelay, head: &str) -> Response {
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    caller::read_response(stream).await
}

/// Checks that a call gets its whole refusal and that its connection can be used again.
async fn assert_refused_and_kept(relay: &TestRelay, status: u16, head: &str, pieces: &[String]) {
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let sent = send_in_pieces(&mut stream, head, pieces).await;
    let refusal = caller::read_next_response(&mut stream).await;
    assert!(sent.is_ok(), "{sent:?}, then {refusal:?}");
    assert_eq!(refusal.status, status, "{refusal:?}");
    assert!(refusal.is_complete, "{refusal:?}");
    assert_eq!(refusal.header("connection"), None);
    caller::send_on(&mut stream, "/once/7", "").await;
    let response = caller::read_next_response(&mut stream).await;
    assert_eq!(response.status, 200, "{response:?}");
}

/// Checks that a response is a refusal after which the connection is closed.
fn assert_refused_and_closed(response: &Response, status: u16) {
    assert_eq!(response.status, status, "{response:?}");
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.header("connection"), Some("close"));
}

#[tokio::test]
async fn caller_of_an_unknown_route_can_send_its_body() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let head = head_with_length("/none/", KEY, BODY_BYTES);
    assert_refused_and_kept(&relay, 404, &head, &plain_pieces()).await;
}

#[tokio::test]
async fn caller_with_an_unknown_key_can_send_its_body() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let head = head_with_length("/once/7", "unknown", BODY_BYTES);
    assert_refused_and_kept(&relay, 401, &head, &plain_pieces()).await;
}

#[tokio::test]
async fn caller_with_a_bad_head_can_send_its_body() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let head = head_with_length("/once/7", KEY, BODY_BYTES).replace("id: c1\r\n", "");
    assert_refused_and_kept(&relay, 400, &head, &plain_pieces()).await;
}

#[tokio::test]
async fn caller_can_send_a_chunked_body() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let head = head("/none/", KEY, "transfer-encoding: chunked");
    assert_refused_and_kept(&relay, 404, &head, &chunked_pieces()).await;
}

#[tokio::test]
async fn body_without_memory_is_thrown_away() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    relay.limit_bodies(BUFFERED_BYTES);
    let mut holder = TcpStream::connect(relay.address).await.unwrap();
    let length = BUFFERED_BYTES - BODY_BYTES / 2;
    let framing = format!("expect: 100-continue\r\ncontent-length: {length}");
    let first_head = head("/once/7", KEY, &framing);
    holder.write_all(first_head.as_bytes()).await.unwrap();
    // The relay asks for the body once it has reserved memory for it.
    holder.readable().await.unwrap();
    let head = head_with_length("/once/7", KEY, BODY_BYTES);
    assert_refused_and_kept(&relay, 503, &head, &plain_pieces()).await;
}

#[tokio::test]
async fn caller_that_stops_sending_gets_its_refusal() {
    let relay = TestRelay::start(&[]).await;
    let head = head_with_length("/none/", KEY, BODY_BYTES);
    let response = call_without_body(&relay, &head).await;
    assert_refused_and_closed(&response, 404);
}

#[tokio::test]
async fn refusal_without_a_configuration_reaches_a_caller_that_stops_sending() {
    let relay = TestRelay::start(&[]).await;
    relay.view.store(Arc::new(View::default()));
    let head = head_with_length("/once/7", KEY, BODY_BYTES);
    let response = call_without_body(&relay, &head).await;
    assert_refused_and_closed(&response, 503);
}

#[tokio::test]
async fn refusal_does_not_wait_for_the_body_once_answers_are_cut() {
    let relay = TestRelay::start(&[]).await;
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let head = head_with_length("/none/", KEY, BODY_BYTES);
    stream.write_all(head.as_bytes()).await.unwrap();
    relay.answer_cutoff.trigger();
    let response = caller::read_response(stream).await;
    assert_refused_and_closed(&response, 503);
}

#[tokio::test]
async fn call_without_a_body_keeps_its_connection() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let head = "GET /none/ HTTP/1.1\r\nhost: a.example\r\nid: c1\r\n\r\n";
    assert_refused_and_kept(&relay, 404, head, &[]).await;
}

#[tokio::test]
async fn caller_that_expects_100_continue_is_not_asked_for_its_body() {
    let relay = TestRelay::start(&[]).await;
    let framing = format!("expect: 100-continue\r\ncontent-length: {BODY_BYTES}");
    let response = call_without_body(&relay, &head("/none/", KEY, &framing)).await;
    assert_refused_and_closed(&response, 404);
}

#[tokio::test]
async fn connection_is_closed_if_the_declared_body_is_beyond_the_limit() {
    let relay = TestRelay::start(&[]).await;
    relay.limit_bodies(BODY_BYTES);
    let head = head_with_length("/none/", KEY, BODY_BYTES + 1);
    let response = call_without_body(&relay, &head).await;
    assert_refused_and_closed(&response, 404);
}

#[tokio::test]
async fn connection_is_closed_if_a_chunked_body_is_beyond_the_limit() {
    let relay = TestRelay::start(&[]).await;
    relay.limit_bodies(BODY_BYTES - 1);
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    let head = head("/none/", KEY, "transfer-encoding: chunked");
    // The write fails if the relay closes the connection before the whole body was sent.
    drop(send_in_pieces(&mut stream, &head, &chunked_pieces()).await);
    let response = caller::read_response(stream).await;
    assert_refused_and_closed(&response, 404);
}

/// Guards against running what a caller sent as the body of a refused call.
#[tokio::test]
async fn body_of_a_refused_call_is_not_read_as_a_call() {
    let target = ScriptedTarget::start("one", vec![]).await;
    let relay = TestRelay::start(&[&target]).await;
    let body = head_with_length("/once/smuggled", KEY, 0).repeat(PIECES_COUNT);
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let framed = [
        (format!("content-length: {}", body.len()), body.clone()),
        (
            "transfer-encoding: chunked".to_owned(),
            format!("{chunk}0\r\n\r\n"),
        ),
    ];
    for (framing, sent) in framed {
        let head = head("/none/", KEY, &framing);
        assert_refused_and_kept(&relay, 404, &head, std::slice::from_ref(&sent)).await;
        // The body comes after the refusal has closed the connection.
        let mut stream = TcpStream::connect(relay.address).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let response = caller::read_next_response(&mut stream).await;
        assert_refused_and_closed(&response, 404);
        let _ = stream.write_all(sent.as_bytes()).await;
        sleep(BODY_DELAY).await;
    }
    let arrived = target.arrived();
    let smuggled = arrived.iter().filter(|it| it.head.contains("smuggled"));
    assert_eq!(smuggled.count(), 0, "{arrived:?}");
}
