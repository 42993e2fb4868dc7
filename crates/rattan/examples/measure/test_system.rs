//! Stand-ins in this process, and entry daemons as child processes.

use {
    crate::{
        Failure,
        deployment::{Deployment, KV_BYTES_PER_TOKEN, PIECE_BYTES, PIECE_TOKENS},
        entry::EntryProcess,
    },
    bytes::Bytes,
    hyper::Method,
    serde_json::{Value, json},
    standin::{
        Caller, End, Server,
        engine::{Engine, EngineSettings},
        instances::{Instances, InstancesSettings},
        kv::{Kv, KvSettings},
        store::{Store, StoreSettings},
    },
    std::{
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::task::spawn_blocking,
};

/// The only region.
pub const REGION: &str = "region-0";
const ENTRIES_COUNT: usize = 4;
const DOMAINS_COUNT: usize = 3;
const STORES_COUNT: usize = 2;
const MAX_RUNNING_COUNT: usize = 16;
const OPERATOR_KEY: &str = "operator-key-of-the-measurement";
const PEER_KEY: &str = "peer-key-of-the-measurement-peer-key-of-it";
const DIGEST: &str = "d1d1d1d1";
/// Longest wait until every entry serves.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Age of the load reports of engines.
const LOAD_LAG: Duration = Duration::from_millis(100);

/// Stand-ins and entry daemons. Dropping it stops them all.
pub struct TestSystem {
    pub kv: Server<Kv>,
    pub engines: Vec<Server<Engine>>,
    pub stores: Vec<Server<Store>>,
    pub entries: Vec<EntryProcess>,
    instances: Server<Instances>,
    /// Blocks that stopped stores read or wrote.
    stopped_store_blocks: u64,
}

/// Bearer key of the account with this number.
pub fn account_key(account: usize) -> String {
    format!("key-of-account-{account}")
}

impl TestSystem {
    /// Starts everything and waits until every entry serves.
    pub async fn start(
        binary: &Path,
        deployment: &Deployment,
        policy: &str,
    ) -> Result<Self, Failure> {
        let mut system = Self {
            kv: Kv::start(KvSettings::default()).await?,
            instances: Instances::start(InstancesSettings::default()).await?,
            engines: Vec::new(),
            stores: Vec::new(),
            entries: Vec::new(),
            stopped_store_blocks: 0,
        };
        for _ in 0..deployment.engines_count {
            system
                .engines
                .push(Engine::start(engine(deployment)).await?);
        }
        for _ in 0..STORES_COUNT {
            let settings = StoreSettings {
                link_bytes_per_s: deployment.link_bytes_per_s,
                ..StoreSettings::default()
            };
            system.stores.push(Store::start(settings).await?);
        }
        for number in 0..ENTRIES_COUNT {
            system.start_entry(binary, number, policy).await?;
        }
        system.apply(&system.objects(deployment)).await?;
        for entry in &system.entries {
            wait_until_serving(entry.address, deployment).await?;
        }
        Ok(system)
    }

    async fn start_entry(
        &mut self,
        binary: &Path,
        number: usize,
        policy: &str,
    ) -> Result<(), Failure> {
        let flags = vec![
            ("kv-endpoints", self.kv.address.to_string()),
            ("instance-list", self.instances.address.to_string()),
            ("operator-key-digests", gateway::digest_of(OPERATOR_KEY)),
            ("peer-keys", PEER_KEY.to_owned()),
            ("routing-policy", policy.to_owned()),
            ("log-level", "error".to_owned()),
        ];
        let name = format!("entry-{number}");
        let domain = format!("fd-{}", number % DOMAINS_COUNT);
        let binary = binary.to_owned();
        let entry =
            spawn_blocking(move || EntryProcess::start(&binary, &name, &domain, &flags)).await??;
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
        self.entries.push(entry);
        Ok(())
    }

    async fn apply(&self, objects: &[Value]) -> Result<(), Failure> {
        let changes: Vec<Value> = objects.iter().map(|it| json!({"put": it})).collect();
        let body = Bytes::from(json!(changes).to_string());
        let path = "/v1/operator/apply?in_parts=true";
        let operator = Caller::new(OPERATOR_KEY);
        let entry = self.entries[0].address;
        let (status, answer) = operator.call(entry, Method::POST, path, &[], body).await?;
        if status.is_success() {
            return Ok(());
        }
        Err(format!("apply: {status} {answer:?}").into())
    }

    fn objects(&self, deployment: &Deployment) -> Vec<Value> {
        let mut objects = vec![model_version(deployment), rule(deployment)];
        objects.extend((0..deployment.accounts_count).map(account));
        for (number, engine) in self.engines.iter().enumerate() {
            let mut target = target("engine", number, engine.address, deployment);
            target["max_running_count"] = json!(MAX_RUNNING_COUNT);
            objects.push(target);
        }
        for (number, store) in self.stores.iter().enumerate() {
            let settings = StoreSettings::default();
            let mut target = target("store", number, store.address, deployment);
            target["capacity_bytes"] = json!(settings.memory_bytes + settings.disk_bytes);
            objects.push(target);
        }
        objects
    }

    /// Explanation of the routing decision for a request, from the first entry that has it.
    pub async fn explain(&self, request: &str) -> Option<String> {
        let operator = Caller::new(OPERATOR_KEY);
        let path = format!("/v1/operator/decisions/{request}");
        for entry in &self.entries {
            let call = operator.call(entry.address, Method::GET, &path, &[], Bytes::new());
            let Ok((status, body)) = call.await else {
                continue;
            };
            if status.is_success() {
                let answer: Value = serde_json::from_slice(&body).ok()?;
                return answer["explanation"].as_str().map(str::to_owned);
            }
        }
        None
    }

    /// Stops the first store permanently.
    pub async fn stop_store(&mut self) {
        let store = self.stores.remove(0);
        self.stopped_store_blocks += moved_blocks(&store);
        store.stop().await;
    }

    /// Bytes transferred over the links of all stores.
    pub fn link_bytes(&self) -> u64 {
        let moved: u64 = self.stores.iter().map(moved_blocks).sum();
        (moved + self.stopped_store_blocks) * PIECE_TOKENS * KV_BYTES_PER_TOKEN
    }

    /// Number of runs on all engines.
    pub fn runs_count(&self) -> usize {
        let runs = self.engines.iter().map(|engine| engine.role().audit());
        runs.map(|audit| audit.runs.len()).sum()
    }
}

fn moved_blocks(store: &Server<Store>) -> u64 {
    let ledger = store.role().ledger();
    ledger.read_count + ledger.commit_count
}

fn engine(deployment: &Deployment) -> EngineSettings {
    EngineSettings {
        version: DIGEST.to_owned(),
        memory_tokens: deployment.memory_tokens,
        piece_tokens: PIECE_TOKENS,
        prefill_tokens_per_s: deployment.prefill_tokens_per_s,
        token_time: deployment.token_time,
        max_running_count: MAX_RUNNING_COUNT,
        load_lag: LOAD_LAG,
        kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        link_bytes_per_s: deployment.link_bytes_per_s,
        ..EngineSettings::default()
    }
}

fn model_version(deployment: &Deployment) -> Value {
    json!({
        "kind": "model_version",
        "name": format!("{}-1", deployment.model),
        "model": deployment.model,
        "digest": DIGEST,
        "active": true,
        "piece_bytes": PIECE_BYTES,
        "piece_tokens": PIECE_TOKENS,
        "kv_bytes_per_token": KV_BYTES_PER_TOKEN,
    })
}

fn rule(deployment: &Deployment) -> Value {
    let [per_s, per_kilotoken, per_mebibyte] = deployment.objective;
    json!({
        "kind": "placement_rule",
        "name": "all",
        "objective": {
            "first_token_cost_per_s": per_s,
            "recompute_cost_per_kilotoken": per_kilotoken,
            "link_cost_per_mebibyte": per_mebibyte,
        },
    })
}

fn account(number: usize) -> Value {
    json!({
        "kind": "client_account",
        "name": format!("account-{number}"),
        "key_digests": [gateway::digest_of(&account_key(number))],
        "max_running_count": 10_000,
        "tokens_per_s": 100_000_000,
        "weight": 1,
    })
}

fn target(kind: &str, number: usize, address: SocketAddr, deployment: &Deployment) -> Value {
    json!({
        "kind": "target",
        "name": format!("{kind}-{number}"),
        "target_kind": kind,
        "address": address,
        "region": REGION,
        "failure_domain": format!("fd-{}", number % DOMAINS_COUNT),
        "max_running_count": MAX_RUNNING_COUNT,
        "link_bytes_per_s": deployment.link_bytes_per_s,
    })
}

async fn wait_until_serving(entry: SocketAddr, deployment: &Deployment) -> Result<(), Failure> {
    let deadline = Instant::now() + START_TIMEOUT;
    let caller = Caller::new(&account_key(0));
    loop {
        let visit = caller.complete(entry, deployment.model, "ready", 1).await;
        if visit.end == End::Whole {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(format!("{entry} does not serve: {visit:?}").into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
