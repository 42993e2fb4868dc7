//! Validated settings.

use {
    super::{Flags, SettingError, parse::RawSetting},
    catalog::{FailureDomainId, InstanceId, RegionId},
    cluster::{PeerKeyError, PeerKeys},
    log::LevelFilter,
    routing::Policy,
    std::{net::SocketAddr, str::FromStr, time::Duration},
};

/// Length of a BLAKE3 digest in hex digits.
const DIGEST_HEX_DIGITS_COUNT: usize = 64;
/// Expected format of an address, for error messages.
const ADDRESS_FORMAT: &str = "an IP address with port, such as 127.0.0.1:8080";
/// Expected format of a name, for error messages.
const NAME_FORMAT: &str = "a name of lower-case letters, digits, '-' and '.', 63 at most";

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    /// Plain text lines.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(()),
        }
    }
}

/// Validated settings of the daemon.
#[derive(Clone)]
pub struct Settings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Region of this instance.
    pub region: RegionId,
    /// Failure domain of this instance.
    pub failure_domain: FailureDomainId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other entry instances.
    pub peer_listen: SocketAddr,
    /// Endpoints of the key-value service.
    pub kv_endpoints: Vec<SocketAddr>,
    /// Timeout of calls to the key-value service.
    pub kv_timeout: Duration,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// BLAKE3 digests in hex of the operators' keys.
    pub operator_key_digests: Vec<String>,
    /// Keys shared by the entry instances; the first one is used, the others are accepted.
    pub peer_keys: PeerKeys,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
    /// Threads that serve requests.
    pub traffic_threads_count: usize,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    /// Largest number of concurrent connections.
    pub max_connections_count: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Timeout for receiving the body of a request.
    pub body_timeout: Duration,
    /// Timeout of calls to plain services.
    pub service_timeout: Duration,
    /// How long callers may cache the list of entry addresses.
    pub entries_max_age: Duration,
    /// Time between two load reports of a target.
    pub load_interval: Duration,
    /// Time to live of this instance's leases on the engines that it orders.
    pub order_lease: Duration,
    /// Policy by which a target is chosen.
    pub routing_policy: Policy,
}

impl TryFrom<Flags> for Settings {
    type Error = SettingError;

    fn try_from(mut flags: Flags) -> Result<Self, SettingError> {
        let fields = flags.fields().map(|(flag, value)| (flag, value.clone()));
        let raw = |flag: &'static str| RawSetting {
            flag,
            value: fields
                .iter()
                .find(|(name, _)| *name == flag)
                .and_then(|(_, value)| value.as_deref()),
        };
        Ok(Self {
            instance: parse_name(&raw("instance"))?,
            region: parse_name(&raw("region"))?,
            failure_domain: parse_name(&raw("failure-domain"))?,
            listen: raw("listen").parse_or(loopback(8080), ADDRESS_FORMAT)?,
            peer_listen: raw("peer-listen").parse_or(loopback(8081), ADDRESS_FORMAT)?,
            kv_endpoints: raw("kv-endpoints").list(ADDRESS_FORMAT)?,
            kv_timeout: raw("kv-timeout-ms").millis(1_000, 10..=60_000)?,
            instance_list: raw("instance-list").parse(ADDRESS_FORMAT)?,
            operator_key_digests: parse_digests(&raw("operator-key-digests"))?,
            peer_keys: parse_peer_keys(&raw("peer-keys"))?,
            log_format: raw("log-format").parse_or(LogFormat::Text, "text or json")?,
            log_level: raw("log-level").parse_or(
                LevelFilter::Info,
                "one of error, warn, info, debug and trace",
            )?,
            metrics: raw("metrics")
                .value
                .map(|_| raw("metrics").parse(ADDRESS_FORMAT))
                .transpose()?,
            traffic_threads_count: raw("traffic-threads").number(2, 1..=64)?,
            max_body_bytes: raw("max-body-bytes").number(4 << 20, 1_024..=(64 << 20))?,
            max_connections_count: raw("max-connections").number(4_096, 1..=100_000)?,
            head_timeout: raw("head-timeout-ms").millis(10_000, 100..=120_000)?,
            body_timeout: raw("body-timeout-ms").millis(30_000, 100..=600_000)?,
            service_timeout: raw("service-timeout-ms").millis(10_000, 10..=600_000)?,
            entries_max_age: raw("entries-max-age-ms").millis(5_000, 100..=600_000)?,
            load_interval: raw("load-interval-ms").millis(250, 10..=60_000)?,
            order_lease: raw("order-lease-ms").millis(15_000, 8_000..=120_000)?,
            routing_policy: raw("routing-policy").parse_or(
                Policy::Cost,
                "one of cost, round_robin, least_loaded and longest_prefix",
            )?,
        })
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn parse_name(raw: &RawSetting<'_>) -> Result<String, SettingError> {
    let text = raw.required()?;
    let is_name = text.len() <= 63
        && text.bytes().all(|byte| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-.".contains(&byte)
        });
    if is_name {
        Ok(text.to_owned())
    } else {
        Err(raw.invalid(text, NAME_FORMAT))
    }
}

fn parse_digests(raw: &RawSetting<'_>) -> Result<Vec<String>, SettingError> {
    let digests: Vec<String> = raw.list("BLAKE3 digests in hex")?;
    let is_digest = |text: &String| {
        text.len() == DIGEST_HEX_DIGITS_COUNT && text.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    match digests.iter().find(|text| !is_digest(text)) {
        Some(_) => Err(raw.invalid("", "BLAKE3 digests of 64 hex digits (see `rattan digest`)")),
        None => Ok(digests.iter().map(|text| text.to_lowercase()).collect()),
    }
}

fn parse_peer_keys(raw: &RawSetting<'_>) -> Result<PeerKeys, SettingError> {
    let text = raw.required()?;
    text.parse()
        .map_err(|error: PeerKeyError| raw.invalid("", &format!("usable: {error}")))
}
