//! Targets that answer a long upload before they have read it, without framing, and end the connection while it is
//! still being written.

mod support;

use {
    futures::future::join_all,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    support::{
        KEY, TestRelay,
        caller::{self, Response},
        scripted_target::{
            STARTED_UNIX_MS, ScriptedTarget, id_of, identity, is_identity_request, success,
            unframed,
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        sync::oneshot,
        task::yield_now,
        time::{sleep, timeout},
    },
};

/// More than the buffers of both sockets hold.
const UPLOAD_BYTES: usize = 12 << 20;
/// Upper limit of a target's receive buffer.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;
/// Shorter requests are read as a whole before they are answered.
const SHORT_BYTES: usize = 1_000;
/// Time between an early answer and the end of its connection.
const END_DELAY: Duration = Duration::from_millis(30);
/// Time for which a target keeps a connection whose sending side it has ended.
const HALF_CLOSED_TIME: Duration = Duration::from_secs(8);
/// Time within which a call must be answered.
const NEVER: Duration = Duration::from_secs(8);
/// Body of an early answer, which is an event too.
const PART: &str = "id: 1\ndata: a\n\n";
const PATHS: [&str; 4] = ["/once/7", "/idempotent/7", "/stream/7", "/resumable/7"];

/// How a connection ends while the upload is being written.
#[derive(Clone, Copy, Debug)]
enum End {
    /// With a reset, before anything of the upload's body is read.
    Reset,
    /// With a reset that follows the answer at once.
    ImmediateReset,
    /// With a reset, while the upload is being read.
    ResetWhileReading,
    /// The target sends no more, and never reads the upload.
    HalfClose,
    /// The target sends no more, and reads the upload only after that.
    HalfCloseThenRead,
    /// After a whole answer, which the target sends once it has read the upload.
    Regular,
}

/// All ends that come too early.
const ENDS: [End; 5] = [
    End::Reset,
    End::ImmediateReset,
    End::ResetWhileReading,
    End::HalfClose,
    End::HalfCloseThenRead,
];

/// A target that answers long uploads early.
struct EarlyTarget {
    target: ScriptedTarget,
    uploads_count: Arc<AtomicU32>,
}

impl EarlyTarget {
    fn start(end: End) -> Self {
        let listener = listen();
        let target = ScriptedTarget::at("one", listener.local_addr().unwrap());
        let uploads_count = Arc::<AtomicU32>::default();
        let shared = Arc::clone(&uploads_count);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, end, Arc::clone(&shared)));
            }
        });
        Self {
            target,
            uploads_count,
        }
    }

    fn uploads_count(&self) -> u32 {
        self.uploads_count.load(Ordering::Relaxed)
    }
}

/// Listens with a receive buffer that an upload does not fit in.
fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
    socket.listen(64).unwrap()
}

async fn serve(mut stream: TcpStream, end: End, uploads_count: Arc<AtomicU32>) {
    while let Some((head, length)) = read_head(&mut stream).await {
        let id = id_of(&head);
        if is_identity_request(&head) {
            let identity = identity("one", Some(STARTED_UNIX_MS)).replace("{id}", &id);
            stream.write_all(identity.as_bytes()).await.unwrap();
            continue;
        }
        let is_short = length < SHORT_BYTES;
        if !is_short {
            uploads_count.fetch_add(1, Ordering::Relaxed);
        }
        if is_short || matches!(end, End::Regular) {
            stream.read_exact(&mut vec![0; length]).await.unwrap();
        }
        let answer = unframed(PART).replace("{id}", &id);
        stream.write_all(answer.as_bytes()).await.unwrap();
        if !is_short {
            end_early(stream, end).await;
        }
        return;
    }
}

async fn end_early(mut stream: TcpStream, end: End) {
    match end {
        End::Regular => return,
        End::Reset => sleep(END_DELAY).await,
        End::ImmediateReset => {}
        End::ResetWhileReading => {
            let mut part = vec![0; UPLOAD_BYTES / 8];
            stream.read_exact(&mut part).await.unwrap();
        }
        End::HalfClose => {
            stream.shutdown().await.unwrap();
            sleep(HALF_CLOSED_TIME).await;
            return;
        }
        End::HalfCloseThenRead => {
            stream.shutdown().await.unwrap();
            sleep(END_DELAY).await;
            let mut part = vec![0; 64 << 10];
            while stream.read(&mut part).await.is_ok_and(|count| count > 0) {}
            return;
        }
    }
    stream.set_zero_linger().unwrap();
}

/// Reads the head of a request without its body. Returns it with the length of the body.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |it| it.parse().unwrap());
    Some((head, length))
}

/// Sends a call with a long body.
async fn send_upload(relay: SocketAddr, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(relay).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nid: c2\r\nkey: {KEY}\r\n\
         content-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).await.unwrap();
    stream
}

async fn start_relay(target: &ScriptedTarget, is_known_unframed: bool) -> TestRelay {
    let relay = TestRelay::start(&[target]).await;
    relay.limit_bodies(UPLOAD_BYTES);
    if is_known_unframed {
        let response = caller::call(relay.address, "/once/7", "").await;
        assert!(response.is_complete, "{response:?}");
    }
    relay
}

async fn read_response(connection: TcpStream, case: &str) -> Response {
    let response = timeout(NEVER, caller::read_response(connection)).await;
    response.unwrap_or_else(|_| panic!("no answer: {case}"))
}

/// Whether a response is a whole answer with the part that a target sent.
fn is_taken_for_whole(response: &Response) -> bool {
    response.is_complete && response.status == 200 && response.text.contains(PART)
}

/// Checks that no early answer reaches its caller as a whole one, and that its connection is not used again.
async fn check_early(end: End) {
    for is_known_unframed in [false, true] {
        for path in PATHS {
            let case = format!("{path}, {end:?}, known: {is_known_unframed}");
            let early = EarlyTarget::start(end);
            let relay = start_relay(&early.target, is_known_unframed).await;
            let connection = send_upload(relay.address, path).await;
            let response = read_response(connection, &case).await;
            assert!(!is_taken_for_whole(&response), "{case}: {response:?}");
            if path == "/once/7" {
                assert_eq!(early.uploads_count(), 1, "{case}");
            }
            if !path.contains("stream") && !path.contains("resumable") {
                assert!(!response.text.contains(PART), "{case}: {response:?}");
                assert!(response.status >= 500, "{case}: {response:?}");
            }
            let next = caller::call_as("c3", relay.address, "/once/7").await;
            assert!(is_taken_for_whole(&next), "{case}: {next:?}");
        }
    }
}

/// Guards against a part of an answer reaching its caller as a whole one, since writing the upload has met the reset
/// that reading would have met.
#[tokio::test]
async fn early_answer_is_not_whole_if_its_connection_is_reset() {
    check_early(End::Reset).await;
}

#[tokio::test]
async fn early_answer_is_not_whole_if_a_reset_follows_at_once() {
    check_early(End::ImmediateReset).await;
}

/// The same where the upload and the answer are handled by several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn early_answers_are_not_whole_beside_each_other() {
    let checks = ENDS.into_iter().map(|end| tokio::spawn(check_early(end)));
    for check in join_all(checks).await {
        check.unwrap();
    }
}

#[tokio::test]
async fn early_answer_is_not_whole_if_its_connection_is_reset_while_the_target_reads() {
    check_early(End::ResetWhileReading).await;
}

/// Guards against the end of the sending side counting as the end of an answer, though the target has not read the
/// call to which it would belong.
#[tokio::test]
async fn early_answer_is_not_whole_if_the_upload_is_never_read() {
    check_early(End::HalfClose).await;
}

#[tokio::test]
async fn early_answer_is_not_whole_if_the_upload_is_read_after_its_end() {
    check_early(End::HalfCloseThenRead).await;
}

/// Guards against sound answers being lost with the early ones.
#[tokio::test]
async fn answer_to_a_long_upload_that_was_read_is_whole() {
    for path in PATHS {
        let target = EarlyTarget::start(End::Regular);
        let relay = start_relay(&target.target, true).await;
        let connection = send_upload(relay.address, path).await;
        let response = read_response(connection, path).await;
        assert!(is_taken_for_whole(&response), "{path}: {response:?}");
    }
}

/// Guards against the loss of a call that another target can run.
#[tokio::test]
async fn upload_that_was_answered_early_is_retried_where_it_may_run_again() {
    for end in ENDS {
        let early = EarlyTarget::start(end);
        let two = ScriptedTarget::start("two", vec![]).await;
        let relay = start_relay(&early.target, true).await;
        let case = format!("{end:?}");
        let connection = send_upload(relay.address, "/idempotent/7").await;
        while early.uploads_count() == 0 {
            yield_now().await;
        }
        relay.add_target(&two);
        let response = read_response(connection, &case).await;
        assert_eq!(response.status, 200, "{case}: {response:?}");
        assert!(response.text.ends_with("ok"), "{case}: {response:?}");
    }
}

/// Guards against later calls waiting behind an upload that nobody needs any more.
#[tokio::test]
async fn connection_is_not_kept_whose_upload_was_answered_early() {
    let listener = listen();
    let target = ScriptedTarget::at("one", listener.local_addr().unwrap());
    let (tell, told) = oneshot::channel();
    let reading = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let (head, _) = read_head(&mut stream).await.unwrap();
        let answer = success("ok").replace("{id}", &id_of(&head));
        stream.write_all(answer.as_bytes()).await.unwrap();
        told.await.unwrap();
        let mut read_bytes = 0;
        let mut part = vec![0; 64 << 10];
        // The end of the connection, a reset or the silence after the whole upload.
        while let Ok(Ok(count)) = timeout(HALF_CLOSED_TIME / 4, stream.read(&mut part)).await
            && count > 0
        {
            read_bytes += count;
        }
        read_bytes
    });
    let relay = start_relay(&target, false).await;
    let connection = send_upload(relay.address, "/once/7").await;
    let response = read_response(connection, "framed").await;
    assert!(response.text.ends_with("ok"), "{response:?}");
    tell.send(()).unwrap();
    let read_bytes = reading.await.unwrap();
    assert!(read_bytes < UPLOAD_BYTES, "{read_bytes}");
}
