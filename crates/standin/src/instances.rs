//! The platform's list of live and leaving instances, which may lag behind.

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer},
        server::{Role, Server},
        sync::lock,
    },
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        collections::BTreeMap,
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Settings of the instance list.
#[derive(Clone, Debug)]
pub struct InstancesSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Time until a change becomes visible.
    pub lag: Duration,
    /// Initial entries, visible at once.
    pub entries: Vec<Value>,
}

impl Default for InstancesSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            lag: Duration::ZERO,
            entries: Vec::new(),
        }
    }
}

/// Fault switches of the instance list: it has none of its own.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstancesFaults {}

/// A change of one entry; an `entry` of `None` deletes it.
#[derive(Clone, Debug)]
struct Change {
    at: Instant,
    name: String,
    entry: Option<Value>,
}

/// The instance list. Entries are stored as the JSON that was put.
#[derive(Debug)]
pub struct Instances {
    lag: Duration,
    switches: FaultSwitches<InstancesFaults>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    shown: BTreeMap<String, Value>,
    pending: Vec<Change>,
}

impl Instances {
    /// Starts the instance list.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: InstancesSettings) -> io::Result<Server<Self>> {
        let shown = settings.entries.into_iter();
        let shown = shown.map(|entry| (entry["name"].as_str().unwrap_or_default().into(), entry));
        let instances = Arc::new(Self {
            lag: settings.lag,
            switches: FaultSwitches::default(),
            state: Mutex::new(State {
                shown: shown.collect(),
                pending: Vec::new(),
            }),
        });
        Server::start(settings.listen, instances).await
    }

    /// Puts an entry, or deletes it if `entry` is `None`. The change becomes visible after the lag.
    pub fn change(&self, name: &str, entry: Option<Value>) {
        let mut state = lock(&self.state);
        state.pending.push(Change {
            at: Instant::now(),
            name: name.to_owned(),
            entry,
        });
    }

    /// Entries that are visible now, in order of their names.
    #[must_use]
    pub fn shown(&self) -> Vec<Value> {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let due = state
            .pending
            .partition_point(|change| change.at + self.lag <= now);
        let due: Vec<Change> = state.pending.drain(..due).collect();
        for change in due {
            match change.entry {
                Some(entry) => state.shown.insert(change.name, entry),
                None => state.shown.remove(&change.name),
            };
        }
        state.shown.values().cloned().collect()
    }
}

impl Role for Instances {
    type Faults = InstancesFaults;

    fn switches(&self) -> &FaultSwitches<InstancesFaults> {
        &self.switches
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        if path == "/instances" {
            return http::ok(&self.shown());
        }
        let Some(name) = http::path_rest(&request, "/instances/") else {
            return http::not_found();
        };
        match method {
            Method::PUT => {
                let entry: Value = match http::read_json(request).await? {
                    Ok(entry) => entry,
                    Err(refused) => return Ok(refused),
                };
                self.change(&name, Some(entry));
            }
            Method::DELETE => self.change(&name, None),
            _ => return http::not_found(),
        }
        http::empty(StatusCode::OK)
    }
}
