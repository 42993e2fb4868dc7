//! A complete system of stand-ins and entry daemons on this machine.

use {
    super::{
        entry::EntryProcess,
        http::Connection,
        objects::{self, ACCOUNT, CALLER_KEY, DIGEST, MODEL},
    },
    hyper::Method,
    serde_json::{Value, json},
    standin::{
        Server,
        engine::{Engine, EngineSettings},
        instances::{Instances, InstancesSettings},
        kv::{Kv, KvSettings},
        relay::{Relay, RelaySettings},
        service::{Service, ServiceSettings},
    },
    std::{
        io,
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::task::spawn_blocking,
};

/// The only region.
pub const REGION: &str = "region-0";
/// Number of failure domains that entries are spread over.
const DOMAINS_COUNT: usize = 3;
/// Key of the operator.
pub const OPERATOR_KEY: &str = "operator-key-of-the-test";
/// Key that the entries share.
const PEER_KEY: &str = "peer-key-of-the-test-peer-key-of-the-test";
/// Longest wait until an entry serves.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a [`TestSystem`].
#[derive(Clone, Debug)]
pub struct TestSystemSettings {
    /// Path of the daemon's binary.
    pub binary: PathBuf,
    /// Number of entry daemons.
    pub entries_count: usize,
    /// Number of engines.
    pub engines_count: usize,
    /// Settings of each engine. The version is replaced by [`DIGEST`].
    pub engine: EngineSettings,
    /// Delay of changes in the instance list.
    pub list_lag: Duration,
    /// Whether the daemons reach the key-value service, the instance list and the engines through
    /// relays, which count bytes and can go silent.
    pub relayed: bool,
    /// Additional flags of the daemons.
    pub flags: Vec<(&'static str, String)>,
}

impl TestSystemSettings {
    /// Settings for two entries and two fast engines.
    pub fn new(binary: impl Into<PathBuf>) -> Self {
        let engine = EngineSettings {
            prefill_tokens_per_s: 1_000_000,
            token_time: Duration::from_millis(5),
            max_running_count: 256,
            ..EngineSettings::default()
        };
        Self {
            binary: binary.into(),
            entries_count: 2,
            engines_count: 2,
            engine,
            list_lag: Duration::ZERO,
            relayed: false,
            flags: Vec::new(),
        }
    }
}

/// Stand-ins and entry daemons. Dropping it stops them all.
pub struct TestSystem {
    pub settings: TestSystemSettings,
    pub kv: Server<Kv>,
    pub instances: Server<Instances>,
    pub engines: Vec<Server<Engine>>,
    pub service: Server<Service>,
    pub entries: Vec<EntryProcess>,
    /// Relays in front of the key-value service, the instance list and each engine, in this order;
    /// empty unless [`TestSystemSettings::relayed`].
    pub relays: Vec<Server<Relay>>,
    started_count: usize,
}

impl TestSystem {
    /// Starts everything, applies the configuration and waits until every entry serves.
    pub async fn start(settings: TestSystemSettings) -> io::Result<Self> {
        let mut engines = Vec::new();
        for _ in 0..settings.engines_count {
            let engine = EngineSettings {
                version: DIGEST.to_owned(),
                ..settings.engine.clone()
            };
            engines.push(Engine::start(engine).await?);
        }
        let lag = settings.list_lag;
        let mut system = Self {
            kv: Kv::start(KvSettings::default()).await?,
            instances: Instances::start(InstancesSettings {
                lag,
                ..InstancesSettings::default()
            })
            .await?,
            service: Service::start(ServiceSettings::default()).await?,
            engines,
            entries: Vec::new(),
            relays: Vec::new(),
            started_count: 0,
            settings,
        };
        system.start_relays().await?;
        for _ in 0..system.settings.entries_count {
            system.add_entry().await?;
        }
        system.apply(&system.objects()).await?;
        for index in 0..system.entries.len() {
            system
                .wait_until_serving(system.entries[index].address)
                .await?;
        }
        Ok(system)
    }

    async fn start_relays(&mut self) -> io::Result<()> {
        if !self.settings.relayed {
            return Ok(());
        }
        let platform = [self.kv.address, self.instances.address];
        let engines = self.engines.iter().map(|engine| engine.address);
        for to in platform.into_iter().chain(engines) {
            self.relays.push(Relay::start(RelaySettings::to(to)).await?);
        }
        Ok(())
    }

    /// Address at which the daemons reach a stand-in: its relay at `index`, or else its own
    /// address.
    fn known_address(&self, index: usize, own: SocketAddr) -> SocketAddr {
        self.relays
            .get(index)
            .map_or(own, |relay| relay.role().address)
    }

    /// Starts another entry under a new name and adds it to the instance list.
    pub async fn add_entry(&mut self) -> io::Result<SocketAddr> {
        let name = format!("entry-{}", self.started_count);
        let failure_domain = format!("fd-{}", self.started_count % DOMAINS_COUNT);
        self.started_count += 1;
        let mut flags = vec![
            (
                "kv-endpoints",
                self.known_address(0, self.kv.address).to_string(),
            ),
            (
                "instance-list",
                self.known_address(1, self.instances.address).to_string(),
            ),
            ("operator-key-digests", gateway::digest_of(OPERATOR_KEY)),
            ("peer-keys", PEER_KEY.to_owned()),
        ];
        flags.extend(self.settings.flags.iter().cloned());
        let binary = self.settings.binary.clone();
        // Blocks another thread, since the daemon needs stand-ins on this runtime before it
        // listens.
        let entry =
            spawn_blocking(move || EntryProcess::start(&binary, &name, &failure_domain, &flags))
                .await??;
        self.list(&entry);
        let address = entry.address;
        self.entries.push(entry);
        Ok(address)
    }

    /// Adds an entry to the instance list.
    pub fn list(&self, entry: &EntryProcess) {
        let instance = json!({
            "name": entry.name,
            "role": "entry",
            "address": entry.address,
            "peer_address": entry.peer_address,
            "region": REGION,
            "failure_domain": entry.failure_domain,
            "state": "live",
        });
        self.instances.role().change(&entry.name, Some(instance));
    }

    /// The objects of the default configuration.
    pub fn objects(&self) -> Vec<Value> {
        let mut objects = vec![
            objects::account(ACCOUNT, CALLER_KEY),
            objects::model_version(),
            objects::rule(),
            objects::service("service-0", self.service.address),
        ];
        for (index, engine) in self.engines.iter().enumerate() {
            let address = self.known_address(index + 2, engine.address);
            objects.push(objects::engine(&format!("engine-{index}"), address));
        }
        objects
    }

    /// Creates objects through the first entry.
    pub async fn apply(&self, objects: &[Value]) -> io::Result<Value> {
        let changes: Vec<Value> = objects
            .iter()
            .map(|object| json!({ "put": object }))
            .collect();
        let mut operator = Connection::open(self.entries[0].address, OPERATOR_KEY).await?;
        let path = "/v1/operator/apply?in_parts=true";
        operator.json(Method::POST, path, &json!(changes)).await
    }

    /// Waits until an entry answers a completion.
    pub async fn wait_until_serving(&self, address: SocketAddr) -> io::Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let result = complete(address, 1).await;
            match result {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() >= deadline => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }
}

/// Requests a completion of `max_tokens` tokens from one entry; returns the text.
pub async fn complete(address: SocketAddr, max_tokens: u32) -> io::Result<String> {
    let mut caller = Connection::open(address, CALLER_KEY).await?;
    let body = json!({
        "model": MODEL,
        "prompt": "which fault code matches",
        "max_tokens": max_tokens,
    });
    let answer = caller.json(Method::POST, "/v1/completions", &body).await?;
    let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
    Ok(text.to_owned())
}
