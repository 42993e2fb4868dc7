//! Callers that read their answers slowly, beside others that read them at once, at an instance with little memory.

mod support;

use {
    futures::future::join_all,
    keyvalue::MemoryKv,
    std::{net::SocketAddr, time::Duration},
    support::{Instance, path_target::read_path, put, settings, wait_until},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        time::{sleep, timeout},
    },
};

/// Memory of the instance, of which three eighths hold calls and answers.
const MEMORY_BYTES: usize = 12 << 20;
/// Length of the whole bodies. A few fill the memory.
const BODY_BYTES: usize = 256 << 10;
/// Receive buffer of a slow caller.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
const SLOW_READERS_COUNT: usize = 300;
const FAST_READERS_COUNT: usize = 20;
/// Number of events of a stream that ends.
const EVENTS_COUNT: usize = 20;
const EVENT_BYTES: usize = 16 << 10;
/// Time in which all buffers fill.
const FILLING_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a call counts as never answered.
const NEVER: Duration = Duration::from_secs(20);

fn event() -> String {
    let event = format!("data: {}\n\n", "x".repeat(EVENT_BYTES));
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Answers the first call of a connection: with a whole body, or with a stream that ends or does not.
async fn serve(mut stream: TcpStream) {
    let Some(path) = read_path(&mut stream).await else {
        return;
    };
    let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let answer = match path.as_str() {
        "/prompts/endless" => begin.to_owned(),
        "/prompts/short" => format!("{begin}{}0\r\n\r\n", event().repeat(EVENTS_COUNT)),
        _ => {
            let body = "x".repeat(BODY_BYTES);
            format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}")
        }
    };
    let mut written = stream.write_all(answer.as_bytes()).await;
    while written.is_ok() && path == "/prompts/endless" {
        written = stream.write_all(event().as_bytes()).await;
    }
    // Its end is that of the peer.
    let _ = stream.read(&mut [0]).await;
}

/// Starts an instance with little memory before one target.
async fn start() -> Instance {
    let kv = MemoryKv::new();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let target = format!("{} 1", listener.local_addr().unwrap());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    put(&kv, "operators/configuration", "1").await;
    put(&kv, "targets/t1", &target).await;
    let mut settings = settings("one");
    settings.memory_bytes = MEMORY_BYTES;
    settings.max_descriptors_count = 4_000;
    let instance = Instance::start_with(settings, kv);
    wait_until("ready", async || instance.is_ready().await).await;
    instance
}

/// Sends a call whose answer is not read.
async fn send_only(address: SocketAddr, path: &str, id: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    let call = format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nid: slow-{id}\r\n\r\n");
    stream.write_all(call.as_bytes()).await.unwrap();
    stream
}

/// Starts callers that do not read, and waits until all buffers are full.
async fn start_slow(instance: &Instance, path: &str) -> Vec<TcpStream> {
    let address = instance.settings.listen;
    let sent = (0..SLOW_READERS_COUNT).map(|id| send_only(address, path, id));
    let connections = join_all(sent).await;
    sleep(FILLING_TIME).await;
    connections
}

/// Checks that callers which read their answers get them whole.
async fn check_fast(instance: &Instance) {
    let body_bytes = |body: String| body.matches('x').count();
    for round in 0..3 {
        for (path, length) in [
            ("/whole", BODY_BYTES),
            ("/prompts/short", EVENTS_COUNT * EVENT_BYTES),
        ] {
            let calls = (0..FAST_READERS_COUNT).map(|_| timeout(NEVER, instance.answer(path)));
            for answer in join_all(calls).await {
                let case = format!("{path}, {round}");
                let answer = answer.unwrap_or_else(|_| panic!("no answer: {case}"));
                let answer = answer.unwrap_or_else(|| panic!("broken off: {case}"));
                assert_eq!(answer.status, 200, "{case}: {answer:?}");
                assert_eq!(body_bytes(answer.body), length, "{case}");
            }
        }
    }
}

/// Guards against streams of slow callers using up what the others need.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn slow_readers_of_streams_hold_up_nobody() {
    let instance = start().await;
    let _slow = start_slow(&instance, "/prompts/endless").await;
    check_fast(&instance).await;
    assert!(!instance.ended.is_finished());
}

/// Guards against whole answers that nobody reads using up what the others need.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn slow_readers_of_whole_answers_hold_up_nobody() {
    let instance = start().await;
    let _slow = start_slow(&instance, "/whole").await;
    check_fast(&instance).await;
    assert!(!instance.ended.is_finished());
}
