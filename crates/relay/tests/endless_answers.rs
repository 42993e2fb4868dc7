//! Targets that send bytes without end, in the head or the body of an answer, until the relay closes
//! the connection.

mod support;

use {
    routes::{Route, RouteTable},
    std::{sync::Arc, time::Duration},
    support::{TestRelay, caller, scripted_target::ScriptedTarget},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// Time limit of all routes.
const TIME_LIMIT: Duration = Duration::from_millis(400);
/// Time after which a call counts as never answered, or a connection as never closed.
const NEVER: Duration = Duration::from_secs(8);
/// Pause between two pieces of a slow answer.
const SLOW_PAUSE: Duration = Duration::from_millis(20);
/// Most bytes of one answer that a target may get rid of, socket buffers included.
const MAX_SENT_BYTES: usize = 32 << 20;

const OK: &str = "HTTP/1.1 200 OK\r\nid: c1\r\nstamp: s\r\n";

/// A target that sends `begin` and then `piece` again and again.
struct EndlessTarget {
    target: ScriptedTarget,
    /// Gets the number of bytes sent on each connection once it is closed.
    closed: mpsc::UnboundedReceiver<usize>,
}

impl EndlessTarget {
    async fn start(begin: String, piece: String, pause: Duration) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let target = ScriptedTarget::at("one", listener.local_addr().unwrap());
        let (sender, closed) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (begin, piece, sender) = (begin.clone(), piece.clone(), sender.clone());
                tokio::spawn(async move {
                    let sent_bytes = send_until_closed(stream, &begin, &piece, pause).await;
                    let _ = sender.send(sent_bytes);
                });
            }
        });
        Self { target, closed }
    }
}

/// Sends until the peer closes. Returns the number of bytes that were sent.
async fn send_until_closed(
    mut stream: TcpStream,
    begin: &str,
    piece: &str,
    pause: Duration,
) -> usize {
    let _ = stream.read(&mut [0; 4_096]).await;
    let mut sent_bytes = begin.len();
    let mut written = stream.write_all(begin.as_bytes()).await;
    while written.is_ok() {
        sent_bytes += piece.len();
        written = stream.write_all(piece.as_bytes()).await;
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
    sent_bytes
}

/// Starts a relay whose routes all have [`TIME_LIMIT`].
async fn start_relay(target: &ScriptedTarget) -> TestRelay {
    let relay = TestRelay::start(&[target]).await;
    let mut view = support::view(&[target]);
    let config = view.route_table.as_ref().unwrap().config().clone();
    let routes = support::routes().into_iter();
    let routes = routes.map(|route| Route {
        time_limit: TIME_LIMIT,
        ..route
    });
    let config = config.routes(routes.collect());
    view.route_table = Some(Arc::new(RouteTable::new(config)));
    relay.view.store(Arc::new(view));
    relay
}

/// Checks that calls of all kinds get an answer, whole or visibly incomplete, and that the
/// connection to the target is closed.
async fn check(begin: &str, piece: &str) {
    let flood = (piece.repeat(64 * 1_024 / piece.len()), Duration::ZERO);
    let trickle = (piece.to_owned(), SLOW_PAUSE);
    for (piece, pause) in [flood, trickle] {
        for path in ["/once/1", "/idempotent/1", "/stream/1", "/resumable/1"] {
            let case = format!("{path}, {begin:?}, pause of {pause:?}");
            let mut endless = EndlessTarget::start(begin.to_owned(), piece.clone(), pause).await;
            let relay = start_relay(&endless.target).await;
            let call = caller::call(relay.address, path, "");
            let answered = timeout(NEVER, call).await;
            assert!(answered.is_ok(), "no answer: {case}");
            let closed = timeout(NEVER, endless.closed.recv()).await;
            let sent_bytes = closed.unwrap_or_else(|_| panic!("not closed: {case}"));
            assert!(sent_bytes.unwrap() <= MAX_SENT_BYTES, "{case}");
        }
    }
}

#[tokio::test]
async fn endless_bytes_that_are_no_answer() {
    check("", "x").await;
}

#[tokio::test]
async fn endless_head() {
    check(OK, "x: y\r\n").await;
}

#[tokio::test]
async fn endless_body_without_a_length() {
    check(&format!("{OK}\r\n"), "x").await;
}

#[tokio::test]
async fn endless_chunked_body() {
    check(
        &format!("{OK}transfer-encoding: chunked\r\n\r\n"),
        "5\r\nxxxxx\r\n",
    )
    .await;
}

#[tokio::test]
async fn endless_events() {
    check(&format!("{OK}\r\n"), "data: x\n\n").await;
}

#[tokio::test]
async fn endless_body_of_a_refusal() {
    let begin = "HTTP/1.1 503 Service Unavailable\r\nid: c1\r\nnot-run: 1\r\n\r\n";
    check(begin, "x").await;
}

#[tokio::test]
async fn endless_body_of_a_failure() {
    let begin = "HTTP/1.1 500 Internal Server Error\r\nid: c1\r\nstamp: s\r\n\r\n";
    check(begin, "x").await;
}

#[tokio::test]
async fn endless_status_line() {
    check("HTTP/1.1 200 ", "x").await;
}

#[tokio::test]
async fn endless_value_of_a_header() {
    check("HTTP/1.1 200 OK\r\nid: c1\r\nx: ", "x").await;
}

#[tokio::test]
async fn endless_interim_answers() {
    check("", "HTTP/1.1 100 Continue\r\n\r\n").await;
}

#[tokio::test]
async fn endless_length_of_a_chunk() {
    check(&format!("{OK}transfer-encoding: chunked\r\n\r\n"), "0").await;
}

#[tokio::test]
async fn endless_extension_of_a_chunk() {
    check(&format!("{OK}transfer-encoding: chunked\r\n\r\n5;"), "x").await;
}

#[tokio::test]
async fn endless_trailers() {
    check(
        &format!("{OK}transfer-encoding: chunked\r\n\r\n0\r\n"),
        "x: y\r\n",
    )
    .await;
}

/// Guards against an event that is kept until its end, which never comes.
#[tokio::test]
async fn endless_event() {
    check(&format!("{OK}\r\n"), "data: x\n").await;
}

#[tokio::test]
async fn endless_bytes_that_are_no_text() {
    check(&format!("{OK}\r\n"), "\u{0}\u{1}\u{fffd}").await;
}
