//! Stand-in for a worker of a plain service and of a model, after PROTOCOL.md.

use {
    crate::{
        Record,
        http::{Message, Server, answer, answer_json, has_left},
    },
    std::{
        collections::HashSet,
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time that a look-up takes.
const LOOKUP: Duration = Duration::from_millis(20);

/// Pause between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(50);

/// A request as it reached a worker.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
    pub salt: String,
    /// Parts of the prompt that the worker had kept under that salt, with the tenant that made each.
    pub kept: Vec<(String, String)>,
    /// Whether the run came to its end and was answered.
    pub ended: bool,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    work: Duration,
    record: Record,
    gone: Arc<AtomicBool>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Salt, part and tenant of what is kept.
    cache: Arc<Mutex<HashSet<(String, String, String)>>>,
}

impl Worker {
    pub fn new(id: &str, work: Duration, record: &Record) -> Self {
        Self {
            id: id.to_owned(),
            work,
            record: record.clone(),
            gone: Arc::default(),
            arrivals: Arc::default(),
            cache: Arc::default(),
        }
    }

    /// Opens one more way to this worker.
    pub fn listen(&self) -> Server {
        let worker = self.clone();
        Server::start(move |request, stream| worker.handle(request, stream))
    }

    /// Opens a way at `address` again after it was cut.
    pub fn listen_again(&self, address: SocketAddr) -> Server {
        let worker = self.clone();
        Server::start_at(address, move |request, stream| worker.handle(request, stream))
    }

    /// The process ends: what runs is lost.
    pub fn exit(&self) {
        self.gone.store(true, Ordering::Relaxed);
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        if self.gone.load(Ordering::Relaxed) {
            return false;
        }
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let expected = header("x-rattanpost-expect-instance");
        let instance = ("X-Rattanpost-Instance-Id", self.id.as_str());
        if !expected.is_empty() && expected != self.id {
            answer(stream, "421 Misdirected Request", &[instance], b"");
            return true;
        }
        match request.path() {
            "/report" => {
                let report = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"seqNo\":0,\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":49000,\"handles\":0}";
                answer_json(stream, "200 OK", report);
                return true;
            }
            "/kv-events" => {
                thread::sleep(Duration::from_millis(500));
                let events = "{\"bootEpoch\":1,\"nextToken\":1,\"lost\":false,\"events\":[]}";
                answer_json(stream, "200 OK", events);
                return true;
            }
            "/kv-list" => {
                let list = "{\"bootEpoch\":1,\"nextToken\":1,\"held\":[]}";
                answer_json(stream, "200 OK", list);
                return true;
            }
            _ => {}
        }
        let id = header("x-rattanpost-request-id");
        if id.is_empty() {
            let not_run = [("X-Rattanpost-Not-Executed", "1")];
            answer(stream, "400 Bad Request", &not_run, b"");
            return true;
        }
        self.run(request, &id, stream)
    }

    fn run(&self, request: &Message, id: &str, stream: &mut TcpStream) -> bool {
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let (tenant, salt) = (
            header("x-rattanpost-tenant-id"),
            header("x-rattanpost-cache-salt"),
        );
        let parts = header("x-rattanpost-prefix-hash");
        let parts = parts.split(',').filter_map(|part| part.split_once(':'));
        let parts: Vec<String> = parts.map(|(part, _)| part.to_owned()).collect();
        // The second number is how many tokens the prompt asks for, one an event.
        let counts = header("x-rattanpost-token-counts");
        let events_count = counts.split(',').nth(1).and_then(|it| it.parse().ok()).unwrap_or(1);
        let mut cache = self.cache.lock().expect("cache");
        let found = cache.iter().filter(|(at, part, _)| *at == salt && parts.contains(part));
        let kept: Vec<(String, String)> =
            found.map(|(_, part, maker)| (part.clone(), maker.clone())).collect();
        for part in &parts {
            if !kept.iter().any(|(known, _)| known == part) {
                cache.insert((salt.clone(), part.clone(), tenant.clone()));
            }
        }
        drop(cache);
        let index = {
            let mut arrivals = self.arrivals.lock().expect("arrivals");
            arrivals.push(Arrival {
                at: Instant::now(),
                id: id.to_owned(),
                tenant: tenant.clone(),
                salt: salt.clone(),
                kept: kept.clone(),
                ended: false,
            });
            arrivals.len() - 1
        };
        let detail = if parts.is_empty() {
            String::new()
        } else {
            format!(" tenant {tenant}, salt {salt:?}, prefix kept from {kept:?}")
        };
        self.record.line(&format!("worker {} runs {id} ({}){detail}", self.id, request.text()));
        let is_lookup = request.path().starts_with("/look/");
        let work = if is_lookup { LOOKUP } else { self.work };
        let until = Instant::now() + work;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
            if self.gone.load(Ordering::Relaxed) {
                self.record.line(&format!("worker {} has ended, the run of {id} is lost", self.id));
                return false;
            }
            if has_left(stream) {
                self.record.line(&format!("worker {} drops {id}, its connection was closed", self.id));
                return false;
            }
        }
        let stamp = format!("stamp.{id}");
        let headers = [("X-Rattanpost-Request-Id", id), ("X-Rattanpost-Server-Stamp", &stamp)];
        if parts.is_empty() {
            self.arrivals.lock().expect("arrivals")[index].ended = true;
            self.record.line(&format!("worker {} has run {id} to its end", self.id));
            answer(stream, "200 OK", &headers, b"done");
            return true;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Rattanpost-Weight-Versions: 1\r\nX-Rattanpost-Request-Id: {id}\r\nX-Rattanpost-Server-Stamp: {stamp}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut is_open = stream.write_all(head.as_bytes()).is_ok();
        for number in 1..=events_count {
            let event = format!("id: {number}\ndata: word\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok() && !has_left(stream);
            if !is_open {
                self.record.line(&format!("worker {} drops {id}, its connection was closed", self.id));
                return false;
            }
            thread::sleep(EVENT_GAP);
        }
        self.arrivals.lock().expect("arrivals")[index].ended = true;
        self.record.line(&format!("worker {} has run {id} to its end", self.id));
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}
