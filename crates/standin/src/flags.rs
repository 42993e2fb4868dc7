//! Command-line flags of the binary, with one command per role.

use {
    gumdrop::Options,
    standin::{
        engine::EngineSettings, instances::InstancesSettings, kv::KvSettings, relay::RelaySettings,
        service::ServiceSettings, store::StoreSettings, weights::WeightsSettings,
    },
    std::{fs, io, net::SocketAddr, path::PathBuf, time::Duration},
};

#[derive(Debug, Options)]
pub(crate) struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "key-value service")]
    Kv(KvFlags),
    #[options(help = "instance list")]
    Instances(InstancesFlags),
    #[options(help = "model engine")]
    Engine(EngineFlags),
    #[options(help = "store instance")]
    Store(StoreFlags),
    #[options(help = "weight store")]
    Weights(WeightsFlags),
    #[options(help = "plain service")]
    Service(ServiceFlags),
    #[options(help = "TCP relay")]
    Relay(RelayFlags),
}

#[derive(Debug, Options)]
pub(crate) struct KvFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "time between progress notifications", default = "500")]
    progress_ms: u64,
}

impl KvFlags {
    pub(crate) fn settings(&self) -> KvSettings {
        KvSettings {
            listen: self.listen,
            progress_interval: Duration::from_millis(self.progress_ms.max(1)),
        }
    }
}

#[derive(Debug, Options)]
pub(crate) struct InstancesFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "time until a change shows", default = "0")]
    lag_ms: u64,
    #[options(help = "JSON list of the entries at the start", meta = "FILE")]
    file: Option<PathBuf>,
}

impl InstancesFlags {
    pub(crate) fn settings(&self) -> io::Result<InstancesSettings> {
        let entries = match &self.file {
            Some(path) => serde_json::from_slice(&fs::read(path)?)?,
            None => Vec::new(),
        };
        Ok(InstancesSettings {
            listen: self.listen,
            lag: Duration::from_millis(self.lag_ms),
            entries,
        })
    }
}

#[derive(Debug, Options)]
pub(crate) struct EngineFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "digest of the weights loaded at the start", default = "v1")]
    version: String,
    #[options(help = "prompt tokens that memory holds", default = "200000")]
    memory_tokens: u64,
    #[options(help = "prompt tokens in one piece", default = "2000")]
    piece_tokens: u64,
    #[options(help = "prompt tokens computed a second", default = "20000")]
    prefill_tokens_per_s: u64,
    #[options(help = "time between two answer tokens", default = "20")]
    token_ms: f64,
    #[options(help = "runs computed at once", default = "16")]
    max_running: usize,
    #[options(help = "runs that wait before 503", default = "256")]
    max_queued: usize,
    #[options(
        help = "time to load a version without a weight store",
        default = "400"
    )]
    load_ms: u64,
    #[options(help = "age of the load report", default = "0")]
    load_lag_ms: u64,
    #[options(help = "age at which cache events show", default = "0")]
    events_delay_ms: u64,
    #[options(help = "refuse orders with an old fencing number")]
    checks_fencing: bool,
    #[options(help = "size of one token's KV cache in bytes", default = "16")]
    kv_bytes_per_token: u64,
    #[options(help = "rate of the link, 0 for no limit", default = "0")]
    link_bytes_per_s: u64,
    #[options(help = "weight store to read versions from", meta = "IP:PORT")]
    weights: Option<SocketAddr>,
    #[options(help = "factor on every simulated delay", default = "1.0")]
    time_scale: f64,
}

impl EngineFlags {
    pub(crate) fn settings(&self) -> EngineSettings {
        EngineSettings {
            listen: self.listen,
            version: self.version.clone(),
            memory_tokens: self.memory_tokens,
            piece_tokens: self.piece_tokens.max(1),
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            token_time: Duration::from_secs_f64(self.token_ms.max(0.0) / 1_000.0),
            max_running_count: self.max_running,
            max_queued_count: self.max_queued,
            load_time: Duration::from_millis(self.load_ms),
            load_lag: Duration::from_millis(self.load_lag_ms),
            events_delay_ms: self.events_delay_ms,
            checks_fencing: self.checks_fencing,
            kv_bytes_per_token: self.kv_bytes_per_token,
            link_bytes_per_s: self.link_bytes_per_s,
            weights: self.weights,
            time_scale: self.time_scale.max(0.0),
        }
    }
}

#[derive(Debug, Options)]
pub(crate) struct StoreFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "capacity of memory", default = "67108864")]
    memory_bytes: u64,
    #[options(help = "capacity of the disk", default = "268435456")]
    disk_bytes: u64,
    #[options(help = "rate of the link, 0 for no limit", default = "0")]
    link_bytes_per_s: u64,
    #[options(help = "factor on every simulated delay", default = "1.0")]
    time_scale: f64,
    #[options(help = "answer reads with whatever bytes there are, to show that tests notice")]
    unsafe_reads: bool,
}

impl StoreFlags {
    pub(crate) fn settings(&self) -> StoreSettings {
        StoreSettings {
            listen: self.listen,
            memory_bytes: self.memory_bytes,
            disk_bytes: self.disk_bytes,
            link_bytes_per_s: self.link_bytes_per_s,
            time_scale: self.time_scale.max(0.0),
            unsafe_reads: self.unsafe_reads,
        }
    }
}

#[derive(Debug, Options)]
pub(crate) struct WeightsFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "size of the weights as sent", default = "65536")]
    size_bytes: usize,
    #[options(help = "time of one read at full rate", default = "400")]
    load_ms: u64,
    #[options(help = "reads at full rate side by side", default = "3")]
    full_rate_count: u32,
    #[options(help = "factor on every simulated delay", default = "1.0")]
    time_scale: f64,
}

impl WeightsFlags {
    pub(crate) fn settings(&self) -> WeightsSettings {
        WeightsSettings {
            listen: self.listen,
            size_bytes: self.size_bytes,
            load_time: Duration::from_millis(self.load_ms),
            full_rate_count: self.full_rate_count,
            time_scale: self.time_scale.max(0.0),
        }
    }
}

#[derive(Debug, Options)]
pub(crate) struct ServiceFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to listen on",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "time that one call takes", default = "0")]
    run_ms: u64,
}

impl ServiceFlags {
    pub(crate) fn settings(&self) -> ServiceSettings {
        ServiceSettings {
            listen: self.listen,
            run_time: Duration::from_millis(self.run_ms),
        }
    }
}

#[derive(Debug, Options)]
pub(crate) struct RelayFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "address to relay from",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    listen: SocketAddr,
    #[options(help = "address to relay to", required, meta = "IP:PORT")]
    to: Option<SocketAddr>,
    #[options(
        help = "address of the switches",
        default = "127.0.0.1:0",
        meta = "IP:PORT"
    )]
    control: SocketAddr,
}

impl RelayFlags {
    pub(crate) fn settings(&self) -> io::Result<RelaySettings> {
        let to = self.to.ok_or_else(|| io::Error::other("--to is missing"))?;
        Ok(RelaySettings {
            listen: self.listen,
            to,
            control: self.control,
        })
    }
}
