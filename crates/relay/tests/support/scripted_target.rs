//! A fake target whose script gives the exact bytes of each answer.

use {
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::AbortHandle,
        time::{sleep, timeout},
    },
};

/// What the target does with one call.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends these bytes; `{id}` is replaced by the call's id.
    Respond(String),
    /// Sends these bytes, and once more right before the next answer on this connection.
    RespondTwice(String),
    /// Sends the first bytes, and the second ones right before the next answer on this connection.
    RespondThenExtra(String, String),
    /// Sends these bytes, then closes the connection.
    RespondThenEnd(String),
    /// Sends these bytes, then closes the connection after 30 ms.
    RespondThenClose(String),
    /// Sends these bytes, then nothing for 6 seconds before it closes the connection.
    RespondThenStall(String),
    /// Sends these bytes, then nothing for a while, then the rest.
    RespondInTwo(String, Duration, String),
    /// Sends these bytes, then nothing for a while, then the rest, and closes the connection.
    RespondInTwoThenEnd(String, Duration, String),
    /// Sends these bytes once it is told to.
    RespondWhenTold(watch::Receiver<bool>, String),
    /// Sends nothing and waits up to 2 seconds for the caller to disconnect.
    NeverRespond,
    /// Sends these bytes; then nothing listens any more, and after 30 ms the connection is closed.
    RespondThenDie(String),
    /// Sends these bytes; after 30 ms nothing listens any more, and the connection is closed. Others are
    /// served on.
    RespondThenLeave(String),
    /// Sends these bytes and closes all connections. Its address goes on accepting, by the hand of
    /// this successor.
    RespondThenPass(String, Successor),
    /// Sends these bytes after a while and ends all connections at once, as a link does that is cut for a
    /// moment.
    RespondThenCut(Duration, String),
}

impl Step {
    /// The same step without short forms.
    fn spelled_out(self) -> Self {
        match self {
            Self::RespondTwice(text) => Self::RespondThenExtra(text.clone(), text),
            step => step,
        }
    }
}

/// Who accepts connections at the address of a target that is gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Successor {
    /// A proxy, which closes them without an answer.
    Proxy,
    /// A proxy, which keeps connections that carry no call and never answers.
    SilentProxy,
    /// A proxy, which closes new connections, and on those that carried a call still passes on what the
    /// target has written: who it is.
    LateProxy,
    /// A target with this name and start time; `None` if it does not state it.
    Target(String, Option<u64>),
    /// A target that refuses what is meant for another one, and does not name itself.
    NamelessTarget,
}

/// A call that arrived.
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

/// A fake target that answers by a script.
pub struct ScriptedTarget {
    pub name: String,
    pub address: SocketAddr,
    pub software_version: String,
    pub failure_domain: String,
    /// Start time that it states, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    state: Arc<State>,
}

/// Start time of the targets, in milliseconds since the Unix epoch.
pub const STARTED_UNIX_MS: u64 = 1_000;
/// Path at which a target says which process it is.
const IDENTITY_PATH: &str = "/identity";

#[derive(Default)]
struct State {
    /// Who answers in place of the target, once it is gone.
    successor: watch::Sender<Option<Successor>>,
    /// How often all connections were ended.
    cuts_count: watch::Sender<u32>,
    /// Name by which the target says which process it is, if that is not the one of its start.
    other_name: Mutex<Option<String>>,
    /// Whether the target does not state its start time.
    hides_start: AtomicBool,
    /// Whether the target refuses to say which process it is, since it is full.
    is_full: AtomicBool,
    /// Whether another target gets the question in its place, and refuses it.
    is_misdirected: AtomicBool,
    /// Whether the target ends connections on which it has said which process it is.
    keeps_none: AtomicBool,
    /// Time that it takes to say which process it is.
    identity_delay_ms: AtomicU64,
    identity_requests_count: AtomicU32,
    /// Time for which connections wait to be accepted.
    accept_delay_ms: AtomicU64,
    script: Mutex<VecDeque<Step>>,
    arrived: Mutex<Vec<Arrived>>,
    disconnects_count: Mutex<u32>,
    /// Task that accepts connections.
    listener: Mutex<Option<AbortHandle>>,
}

impl State {
    fn stop_listening(&self) {
        if let Some(accepting) = self.listener.lock().unwrap().take() {
            accepting.abort();
        }
    }

    /// Waits up to this time for the caller of a call to disconnect, and counts it. Returns whether it did.
    async fn sees_disconnect(&self, stream: &mut TcpStream, duration: Duration) -> bool {
        let read = timeout(duration, stream.read(&mut [0])).await;
        let is_gone = matches!(read, Ok(Ok(0) | Err(_)));
        if is_gone {
            *self.disconnects_count.lock().unwrap() += 1;
        }
        is_gone
    }

    /// Answers the question which process this is.
    async fn say_identity(&self, stream: &mut TcpStream, name: &str, id: &str) {
        self.identity_requests_count.fetch_add(1, Ordering::Relaxed);
        let delay_ms = self.identity_delay_ms.load(Ordering::Relaxed);
        sleep(Duration::from_millis(delay_ms)).await;
        let other_name = self.other_name.lock().unwrap().clone();
        let name = other_name.as_deref().unwrap_or(name);
        let is_hidden = self.hides_start.load(Ordering::Relaxed);
        let answer = if self.is_misdirected.load(Ordering::Relaxed) {
            answer("421 Misdirected Request", "not-run: 1\r\n", "")
        } else if self.is_full.load(Ordering::Relaxed) {
            answer("503 Service Unavailable", "not-run: 1\r\n", "")
        } else {
            identity(name, (!is_hidden).then_some(STARTED_UNIX_MS))
        };
        let _ = send(stream, &answer, id).await;
    }
}

impl ScriptedTarget {
    /// Starts a target that follows `script`, then answers every further call with success.
    pub async fn start(name: &str, script: Vec<Step>) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        Self::start_on(listener, name, script)
    }

    /// Starts such a target behind a listener.
    pub fn start_on(listener: TcpListener, name: &str, script: Vec<Step>) -> Self {
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            script: Mutex::new(script.into()),
            ..State::default()
        });
        let shared = state.clone();
        let name_of_task = name.to_owned();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_until_gone(
                    stream,
                    shared.clone(),
                    name_of_task.clone(),
                ));
                let delay_ms = shared.accept_delay_ms.load(Ordering::Relaxed);
                if delay_ms > 0 {
                    sleep(Duration::from_millis(delay_ms)).await;
                }
            }
        });
        *state.listener.lock().unwrap() = Some(accepting.abort_handle());
        Self {
            name: name.to_owned(),
            address,
            software_version: String::new(),
            failure_domain: "here".to_owned(),
            started_unix_ms: STARTED_UNIX_MS,
            state,
        }
    }

    /// Has the target name itself without its start time.
    pub fn without_start(self) -> Self {
        self.state.hides_start.store(true, Ordering::Relaxed);
        self
    }

    /// Has the target refuse, without its name, to say which process it is.
    pub fn full(self) -> Self {
        self.state.is_full.store(true, Ordering::Relaxed);
        self
    }

    /// Has another target get the question which process this is, and refuse it without its name.
    pub fn misdirected(self) -> Self {
        self.state.is_misdirected.store(true, Ordering::Relaxed);
        self
    }

    /// Has the target end connections on which it has said which process it is.
    pub fn without_kept_connections(self) -> Self {
        self.state.keeps_none.store(true, Ordering::Relaxed);
        self
    }

    /// Has the process at the target's address be known under this name from now on.
    pub fn rename(&self, name: &str) -> Self {
        *self.state.other_name.lock().unwrap() = Some(name.to_owned());
        Self::at(name, self.address)
    }

    /// Has the target take this time to say which process it is.
    pub fn slow(self, delay_ms: u64) -> Self {
        self.slow_down(delay_ms);
        self
    }

    /// Has the target take this time from now on to say which process it is.
    pub fn slow_down(&self, delay_ms: u64) {
        let delay = &self.state.identity_delay_ms;
        delay.store(delay_ms, Ordering::Relaxed);
    }

    /// Has connections wait for this time until they are accepted, one after another.
    pub async fn accept_late(&self, delay_ms: u64) {
        let delay = &self.state.accept_delay_ms;
        delay.store(delay_ms, Ordering::Relaxed);
        // The present wait for a connection has begun before.
        let filler = TcpStream::connect(self.address).await;
        drop(filler.unwrap());
    }

    /// Has this successor accept connections from now on, in place of the present one.
    pub fn pass_to(&self, successor: Successor) {
        self.state.successor.send_replace(Some(successor));
    }

    /// How often the target was asked which process it is.
    pub fn identity_requests_count(&self) -> u32 {
        self.state.identity_requests_count.load(Ordering::Relaxed)
    }

    /// Sets the version of the target's software.
    pub fn software(mut self, version: &str) -> Self {
        version.clone_into(&mut self.software_version);
        self
    }

    /// Sets the failure domain that the target is in.
    pub fn in_domain(mut self, failure_domain: &str) -> Self {
        failure_domain.clone_into(&mut self.failure_domain);
        self
    }

    /// A target at an address that the test serves itself.
    pub fn at(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            address,
            software_version: String::new(),
            failure_domain: "here".to_owned(),
            started_unix_ms: STARTED_UNIX_MS,
            state: Arc::default(),
        }
    }

    /// Calls that have arrived so far, in order.
    pub fn arrived(&self) -> Vec<Arrived> {
        self.state.arrived.lock().unwrap().clone()
    }

    /// Waits up to 2 seconds until a caller disconnects from a call that got no whole answer. Returns
    /// whether one did.
    pub async fn saw_caller_disconnect(&self) -> bool {
        for _ in 0..200 {
            if *self.state.disconnects_count.lock().unwrap() > 0 {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        false
    }
}

/// A complete answer with `body`.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nid: {{id}}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// A complete successful answer with `body`.
pub fn success(body: &str) -> String {
    answer("200 OK", "stamp: s\r\n", body)
}

/// The head of a chunked stream and its `chunks`, without the end marker.
pub fn stream(chunks: &[&str]) -> String {
    let head = "HTTP/1.1 200 OK\r\nid: {id}\r\nstamp: s\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = chunks
        .iter()
        .map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    format!("{head}{}", chunks.collect::<String>())
}

/// A successful answer that ends with its connection, with neither a length nor chunks.
pub fn unframed(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nid: {{id}}\r\nstamp: s\r\n\r\n{body}")
}

/// Serves a connection until the target is gone, then as its successor does.
async fn serve_until_gone(mut stream: TcpStream, state: Arc<State>, name: String) {
    let mut successor = state.successor.subscribe();
    let mut cuts = state.cuts_count.subscribe();
    let was_opened_before = successor.borrow_and_update().is_none();
    let calls_count = AtomicU32::new(0);
    if was_opened_before {
        let is_gone = async { successor.wait_for(Option::is_some).await.map(|_| ()) };
        tokio::select! {
            biased;
            _ = is_gone => {}
            _ = cuts.changed() => return,
            () = serve(&mut stream, &state, &name, &calls_count) => return,
        }
    }
    let present = successor.borrow().clone();
    match present {
        None | Some(Successor::Proxy) => {}
        Some(Successor::LateProxy) => {
            if calls_count.load(Ordering::Relaxed) > 0 {
                state_identity(&mut stream, &name, Some(STARTED_UNIX_MS)).await;
            }
        }
        Some(Successor::Target(..) | Successor::NamelessTarget) if was_opened_before => {}
        Some(Successor::SilentProxy) => sleep(Duration::from_mins(1)).await,
        Some(Successor::Target(name, started_unix_ms)) => {
            state_identity(&mut stream, &name, started_unix_ms).await;
        }
        Some(Successor::NamelessTarget) => {
            let mut buffer = Vec::new();
            while let Some(head) = read_call(&mut stream, &mut buffer).await {
                let refusal = answer("421 Misdirected Request", "not-run: 1\r\n", "");
                let _ = send(&mut stream, &refusal, &id_of(&head)).await;
            }
        }
    }
}

/// Answers all that comes with which process this is.
async fn state_identity(stream: &mut TcpStream, name: &str, started_unix_ms: Option<u64>) {
    let mut buffer = Vec::new();
    while let Some(head) = read_call(stream, &mut buffer).await {
        let answer = identity(name, started_unix_ms);
        let _ = send(stream, &answer, &id_of(&head)).await;
    }
}

/// Whether a head asks a target which process it is.
pub fn is_identity_request(head: &str) -> bool {
    head.contains(IDENTITY_PATH)
}

/// Answer that says which process a target is.
pub fn identity(name: &str, started_unix_ms: Option<u64>) -> String {
    let started = started_unix_ms.map(|it| format!("started: {it}\r\n"));
    let headers = format!("target: {name}\r\n{}", started.unwrap_or_default());
    answer("200 OK", &headers, "")
}

/// The id that a head carries; empty if it has none.
pub fn id_of(head: &str) -> String {
    let id = head.lines().find_map(|line| line.strip_prefix("id: "));
    id.unwrap_or_default().to_owned()
}

/// Sends `text` as the answer, or a part of it, to the call with `id`.
async fn send(stream: &mut TcpStream, text: &str, id: &str) -> std::io::Result<()> {
    stream.write_all(text.replace("{id}", id).as_bytes()).await
}

/// Sends `text` as the answer, or a part of it, to the call with `id`, then waits.
async fn send_then_wait(stream: &mut TcpStream, text: &str, id: &str, pause: Duration) {
    let _ = send(stream, text, id).await;
    sleep(pause).await;
}

async fn serve(stream: &mut TcpStream, state: &State, name: &str, calls_count: &AtomicU32) {
    let mut buffer = Vec::new();
    let mut late_copy = String::new();
    while let Some(head) = read_call(stream, &mut buffer).await {
        if is_identity_request(&head) {
            state.say_identity(stream, name, &id_of(&head)).await;
            if state.keeps_none.load(Ordering::Relaxed) {
                return;
            }
            continue;
        }
        let copy = std::mem::take(&mut late_copy);
        if stream.write_all(copy.as_bytes()).await.is_err() {
            return;
        }
        calls_count.fetch_add(1, Ordering::Relaxed);
        let arrived = Arrived { head };
        let id = arrived.header("id").unwrap_or_default().to_owned();
        state.arrived.lock().unwrap().push(arrived);
        let step = state.script.lock().unwrap().pop_front();
        match step
            .unwrap_or_else(|| Step::Respond(success("ok")))
            .spelled_out()
        {
            Step::Respond(text) => {
                if send(stream, &text, &id).await.is_err() {
                    return;
                }
            }
            Step::RespondTwice(_) => unreachable!("it is spelled out"),
            Step::RespondThenExtra(text, extra) => {
                late_copy = extra.replace("{id}", &id);
                if send(stream, &text, &id).await.is_err() {
                    return;
                }
            }
            Step::RespondInTwoThenEnd(begin, pause, rest) => {
                let _ = send(stream, &begin, &id).await;
                sleep(pause).await;
                let _ = send(stream, &rest, &id).await;
                return;
            }
            Step::RespondThenEnd(text) => {
                let _ = send(stream, &text, &id).await;
                return;
            }
            Step::RespondThenClose(text) => {
                send_then_wait(stream, &text, &id, Duration::from_millis(30)).await;
                return;
            }
            Step::RespondThenDie(text) => {
                let _ = send(stream, &text, &id).await;
                state.stop_listening();
                sleep(Duration::from_millis(30)).await;
                return;
            }
            Step::RespondThenLeave(text) => {
                send_then_wait(stream, &text, &id, Duration::from_millis(30)).await;
                state.stop_listening();
                return;
            }
            Step::RespondThenPass(text, successor) => {
                send_then_wait(stream, &text, &id, Duration::from_millis(30)).await;
                state.successor.send_replace(Some(successor));
                return;
            }
            Step::RespondThenCut(pause, text) => {
                sleep(pause).await;
                let _ = send(stream, &text, &id).await;
                state.cuts_count.send_modify(|count| *count += 1);
                return;
            }
            Step::RespondThenStall(text) => {
                send_then_wait(stream, &text, &id, Duration::from_secs(6)).await;
                return;
            }
            Step::RespondInTwo(begin, pause, rest) => {
                let _ = send(stream, &begin, &id).await;
                if state.sees_disconnect(stream, pause).await
                    || send(stream, &rest, &id).await.is_err()
                {
                    return;
                }
            }
            Step::RespondWhenTold(mut told, text) => {
                if told.wait_for(|is_told| *is_told).await.is_err()
                    || send(stream, &text, &id).await.is_err()
                {
                    return;
                }
            }
            Step::NeverRespond => {
                state.sees_disconnect(stream, Duration::from_secs(2)).await;
                return;
            }
        }
    }
}

/// Reads one call with its body and returns its head; `None` at the end of the connection.
async fn read_call(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        let end = buffer.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let call_end = end + 4 + length.map_or(0, |it| it.parse::<usize>().unwrap());
            if buffer.len() >= call_end {
                buffer.drain(..call_end);
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
