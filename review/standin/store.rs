//! Stand-in for the platform's metadata store, after PROTOCOL.md: one revision counter, conditions on
//! revisions, leases that expire, watches, history that is kept.

use {
    crate::{
        http::{Message, Server, answer_json, has_left},
        json::{self, Json, decode_base64, encode_base64},
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::TcpStream,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and key of each change; the item as written, or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (Duration, Instant)>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// Replaces text in the values that one machine reads: its own path to a worker has another address.
pub type Path = Option<(String, String)>;

/// The link between one machine and the store.
#[derive(Default)]
pub struct Link {
    state: Mutex<LinkState>,
}

#[derive(Default)]
struct LinkState {
    is_cut: bool,
    healed_at: Option<Instant>,
}

/// What a request that is sent into a cut does: its first packet is sent again after a second.
const RESENT_AFTER: Duration = Duration::from_secs(1);

impl Link {
    /// Cuts the link silently.
    pub fn cut(&self) {
        *self.state.lock().expect("link") = LinkState {
            is_cut: true,
            ..LinkState::default()
        };
    }

    pub fn heal(&self) {
        let mut state = self.state.lock().expect("link");
        state.is_cut = false;
        state.healed_at = Some(Instant::now());
    }

    fn is_cut(&self) -> bool {
        self.state.lock().expect("link").is_cut
    }

    /// Waits until a request arrives that is sent now. Returns whether it does.
    fn arrives(&self, stream: &TcpStream) -> bool {
        let sent_at = Instant::now();
        if !self.is_cut() {
            return true;
        }
        while !has_left(stream) {
            thread::sleep(Duration::from_millis(2));
            let state = self.state.lock().expect("link");
            let healed_at = state.healed_at.filter(|_| !state.is_cut);
            let is_resent = sent_at.elapsed() >= RESENT_AFTER;
            if is_resent && healed_at.is_some_and(|at| at <= sent_at + RESENT_AFTER) {
                return true;
            }
        }
        false
    }
}

/// Leaves a request unanswered until its sender gives up.
fn leave_unanswered(stream: &TcpStream) {
    while !has_left(stream) {
        thread::sleep(Duration::from_millis(2));
    }
}

#[derive(Clone)]
pub struct Store {
    shared: Shared,
}

impl Store {
    pub fn start() -> Self {
        let shared: Shared = Arc::default();
        shared.0.lock().expect("state").revision = 1;
        let for_leases = shared.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut state = for_leases.0.lock().expect("state");
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, end))| *end <= now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in &ended {
                    state.end_lease(*lease);
                }
                if !ended.is_empty() {
                    for_leases.1.notify_all();
                }
            }
        });
        Self { shared }
    }

    /// Serves one machine.
    pub fn serve(&self, path: Path) -> Server {
        self.serve_over(path, Arc::default())
    }

    /// Serves one machine over a link that can be cut.
    pub fn serve_over(&self, path: Path, link: Arc<Link>) -> Server {
        let shared = self.shared.clone();
        Server::start(move |request, stream| {
            link.arrives(stream) && handle(&shared, &path, &link, request, stream)
        })
    }

    /// Writes a key as the operator or a worker does. Returns when the store has accepted it.
    pub fn write(&self, key: &str, value: &str) -> Instant {
        let mut state = self.shared.0.lock().expect("state");
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes a key as a worker does. Returns when the store has accepted it.
    pub fn remove(&self, key: &str) -> Instant {
        let mut state = self.shared.0.lock().expect("state");
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
        Instant::now()
    }
}

fn render(key: &str, item: &Item, path: &Path) -> String {
    let mut text = String::from_utf8_lossy(&item.value).into_owned();
    if let Some((from, to)) = path {
        text = text.replace(from, to);
    }
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        encode_base64(text.as_bytes()),
        item.revision,
        item.created,
        item.lease
    )
}

fn handle(
    shared: &Shared,
    path: &Path,
    link: &Link,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let body = json::parse(&request.text());
    match (request.method(), request.path()) {
        ("GET", "/kv-watch") => return watch(shared, path, link, request, stream),
        ("GET", "/kv-range") => {
            let prefix = request.query("pathPrefix").unwrap_or_default();
            let after = request.query("after").unwrap_or_default();
            let state = shared.0.lock().expect("state");
            let items = state.items.iter();
            let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<String> = items.map(|(key, item)| render(key, item, path)).collect();
            let body = format!(
                "{{\"items\":[{}],\"truncated\":false,\"asOf\":{}}}",
                items.join(","),
                state.revision
            );
            drop(state);
            answer_json(stream, "200 OK", &body);
        }
        ("GET", "/kv-key") => {
            let key = request.query("key").unwrap_or_default();
            let state = shared.0.lock().expect("state");
            let found = state.items.get(&key).map(|item| render(&key, item, path));
            drop(state);
            match found {
                Some(item) => answer_json(stream, "200 OK", &item),
                None => answer_json(stream, "404 Not Found", "{}"),
            }
        }
        ("POST", "/kv-txn") => transact(shared, &body, stream),
        ("POST", "/kv-lease") => {
            let ttl = Duration::from_millis(body.get("ttlMs").number().max(1_000));
            let mut state = shared.0.lock().expect("state");
            state.revision += 1;
            let lease = state.revision + 70_000;
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            drop(state);
            let body = format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis());
            answer_json(stream, "200 OK", &body);
        }
        (method, target) => {
            let lease = target.rsplit('/').next().and_then(|it| it.parse().ok());
            let lease: u64 = lease.unwrap_or(0);
            let mut state = shared.0.lock().expect("state");
            let renewed = state.leases.get_mut(&lease).map(|(ttl, end)| {
                *end = Instant::now() + *ttl;
                ttl.as_millis()
            });
            if method == "DELETE" {
                state.end_lease(lease);
                shared.1.notify_all();
            }
            drop(state);
            match renewed {
                Some(ttl) => answer_json(stream, "200 OK", &format!("{{\"ttlMs\":{ttl}}}")),
                None => answer_json(stream, "404 Not Found", "{}"),
            }
        }
    }
    true
}

fn transact(shared: &Shared, body: &Json, stream: &mut TcpStream) {
    let mut state = shared.0.lock().expect("state");
    let conditions = body.get("precondition").list();
    let holds = conditions.iter().all(|row| {
        let found = state.items.get(row.get("key").text());
        found.map_or(0, |item| item.revision) == row.get("revision").number()
    });
    if !holds {
        let rows = conditions.iter().map(|row| {
            let key = row.get("key").text();
            let found = state.items.get(key);
            found.map_or("null".to_owned(), |item| render(key, item, &None))
        });
        let rows: Vec<String> = rows.collect();
        drop(state);
        let body = format!("{{\"items\":[{}]}}", rows.join(","));
        return answer_json(stream, "412 Precondition Failed", &body);
    }
    let writes = body.get("writes").list();
    let leases = writes.iter().map(|row| row.get("lease").number());
    let has_leases = leases
        .filter(|lease| *lease > 0)
        .all(|lease| state.leases.contains_key(&lease));
    if !has_leases {
        drop(state);
        return answer_json(stream, "404 Not Found", "{}");
    }
    state.revision += 1;
    for row in writes {
        let value = decode_base64(row.get("value").text());
        state.put(row.get("key").text(), value, row.get("lease").number());
    }
    for key in body.get("remove").list() {
        state.remove(key.text());
    }
    let revision = state.revision;
    drop(state);
    shared.1.notify_all();
    answer_json(stream, "200 OK", &format!("{{\"revision\":{revision}}}"));
}

fn watch(
    shared: &Shared,
    path: &Path,
    link: &Link,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
    let prefix = request.query("pathPrefix").unwrap_or_default();
    let after = number("after").unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
    let mut state = shared.0.lock().expect("state");
    loop {
        if link.is_cut() {
            drop(state);
            leave_unanswered(stream);
            return false;
        }
        let changes = state.history.iter();
        let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
        let events: Vec<String> = changes
            .map(|(at, key, item)| match item {
                Some(item) => render(key, item, path),
                None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"tombstone\":true}}"),
            })
            .collect();
        let now = Instant::now();
        if !events.is_empty() || now >= until {
            let body = format!(
                "{{\"events\":[{}],\"asOf\":{}}}",
                events.join(","),
                state.revision
            );
            drop(state);
            answer_json(stream, "200 OK", &body);
            return true;
        }
        state = shared.1.wait_timeout(state, until - now).expect("state").0;
    }
}
