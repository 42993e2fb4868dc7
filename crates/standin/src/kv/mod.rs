//! The key-value service: the subset of etcd's v3 JSON API that the system uses.

mod lease;
mod state;
mod txn;
mod watch;
mod wire;

use {
    crate::{
        faults::FaultSwitches,
        http::{self, Answer, Cut},
        server::{Role, Server},
        sync::lock,
    },
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    state::State,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval between checks for expired leases.
const LEASE_EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of the key-value service.
#[derive(Clone, Copy, Debug)]
pub struct KvSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Interval between progress notifications of an idle watch.
    pub progress_interval: Duration,
}

impl Default for KvSettings {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            progress_interval: Duration::from_millis(500),
        }
    }
}

/// Fault switches of the key-value service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KvFaults {
    /// Number of calls that take effect but get no response.
    pub lose_answers: u64,
    /// Breaks the connections of all open watches, once.
    pub watch_gap: bool,
    /// Drops the history before the current revision, once.
    pub compact: bool,
}

/// Number of calls since the start, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KvStats {
    /// Range reads.
    pub range_count: u64,
    /// Transactions, including single puts and deletes.
    pub txn_count: u64,
    /// Lease grants, renewals and revocations.
    pub lease_count: u64,
    /// Watches opened since the start.
    pub watch_count: u64,
    /// Watches that are open now.
    pub open_watch_count: u64,
}

/// The key-value service.
#[derive(Debug)]
pub struct Kv {
    settings: KvSettings,
    switches: FaultSwitches<KvFaults>,
    state: Mutex<State>,
}

impl Kv {
    /// Starts an empty key-value service.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(settings: KvSettings) -> io::Result<Server<Self>> {
        let kv = Arc::new(Self {
            settings,
            switches: FaultSwitches::default(),
            state: Mutex::default(),
        });
        Server::start(settings.listen, kv).await
    }

    /// Number of calls since the start, by kind.
    #[must_use]
    pub fn stats(&self) -> KvStats {
        self.state().stats
    }

    /// Current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Answers a call with a single response; `None` if the path is unknown.
    fn unary(&self, path: &str, body: Value) -> Option<Result<Value, wire::RpcError>> {
        let mut state = self.state();
        let result = match path {
            "/v3/kv/range" => state.answer_range(body),
            "/v3/kv/txn" => state.answer_txn(body),
            "/v3/kv/put" => state.answer_put(body),
            "/v3/kv/deleterange" => state.answer_delete(body),
            "/v3/lease/grant" => state.answer_grant(body),
            "/v3/lease/keepalive" => state.answer_keep_alive(body),
            "/v3/lease/revoke" | "/v3/kv/lease/revoke" => state.answer_revoke(body),
            _ => return None,
        };
        Some(result)
    }

    /// Counts down the `lose_answers` switch; true if the response to this call must be lost.
    fn take_answer_loss(&self) -> bool {
        self.switches.update(|faults| {
            let lose = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lose
        })
    }
}

impl Role for Kv {
    type Faults = KvFaults;

    fn switches(&self) -> &FaultSwitches<KvFaults> {
        &self.switches
    }

    fn faults_changed(&self) {
        let faults = self.switches.get();
        if faults.watch_gap {
            self.switches.update(|faults| faults.watch_gap = false);
            self.state().cut_watches();
        }
        if faults.compact {
            self.switches.update(|faults| faults.compact = false);
            self.state().compact();
        }
    }

    async fn background(self: Arc<Self>) {
        loop {
            sleep(LEASE_EXPIRY_INTERVAL).await;
            self.state().expire_leases();
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            return match path.as_str() {
                "/health" => http::ok(&json!({"health": "true"})),
                "/stats" => http::ok(&self.stats()),
                _ => http::not_found(),
            };
        }
        let body: Value = match http::read_json(request).await? {
            Ok(body) => body,
            Err(refused) => return Ok(refused),
        };
        if path == "/v3/watch" {
            return self.answer_watch(body);
        }
        let Some(result) = self.unary(&path, body) else {
            return http::not_found();
        };
        if self.take_answer_loss() {
            return Err(Cut);
        }
        match result {
            Ok(answer) => http::ok(&answer),
            Err(refused) => http::json(StatusCode::BAD_REQUEST, &refused),
        }
    }
}
