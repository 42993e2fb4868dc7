//! Settings of an entry instance, read from its JSON settings file.

use {
    balance::{ColdAllowance, RetryBounds},
    catalog::{FailureDomainId, InstanceId, RegionId},
    routes::Regions,
    serde::Deserialize,
    snafu::{ResultExt, Snafu},
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// The settings file is unreadable or holds an invalid value.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display(
        "settings file {path} cannot be read: {source}; check its path and permissions"
    ))]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing or has the wrong type.
    #[snafu(display("settings file is malformed: {source}; check the template that generates it"))]
    Malformed {
        /// What is wrong, and where.
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[snafu(display("setting {name} is {problem}; change it in the settings file"))]
    Value {
        /// Name of the setting.
        name: &'static str,
        /// What is wrong with the value, phrased to follow "is".
        problem: &'static str,
    },
}

/// The settings file as written.
#[derive(Debug, Deserialize)]
struct RawSettings {
    instance: InstanceId,
    region: RegionId,
    failure_domain: FailureDomainId,
    #[serde(default)]
    regions: Regions,
    listen: SocketAddr,
    ready_listen: SocketAddr,
    directory_listen: SocketAddr,
    feed_listen: SocketAddr,
    peer_listen: Option<SocketAddr>,
    metrics_listen: Option<SocketAddr>,
    kv_endpoint: SocketAddr,
    memory_mb: f64,
    max_descriptors_count: usize,
    link_mbps: Option<f64>,
    grace_s: f64,
    max_address_age_s: f64,
    order_gap_ms: f64,
    version_ms: f64,
    min_lease_ms: f64,
    retries_per_call: f64,
    retry_window_s: f64,
    retry_slack_count: f64,
    cold_overage_factor: Option<f64>,
    cold_slack_count: Option<f64>,
}

/// Validated settings of an entry instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region that the instance runs in.
    pub region: RegionId,
    /// Failure domain that the instance runs in.
    pub failure_domain: FailureDomainId,
    /// Regions of all failure domains.
    pub regions: Regions,
    /// Address that serves calls.
    pub listen: SocketAddr,
    /// Address of the platform's readiness probe.
    pub ready_listen: SocketAddr,
    /// Address at which callers ask which instances to use.
    pub directory_listen: SocketAddr,
    /// Address at which other instances read this one's feed of stores and engines.
    pub feed_listen: SocketAddr,
    /// Address at which this instance answers the calls of other instances that cannot reach targets;
    /// `None` answers none.
    pub peer_listen: Option<SocketAddr>,
    /// Address that serves metrics; `None` disables it.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the key-value service.
    pub kv_endpoint: SocketAddr,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: usize,
    /// Limit on open file descriptors of the process.
    pub max_descriptors_count: usize,
    /// Rate of the instance's link in bits per second; `None` if it is not known.
    pub link_bits_per_s: Option<u64>,
    /// Time from the stop signal until the platform kills the process.
    pub grace: Duration,
    /// Longest time that callers may cache an address response.
    pub max_address_age: Duration,
    /// Minimum time between the last order of one lock holder and the first order of the next.
    pub order_gap: Duration,
    /// Time after the operators request a version from which no call may start on older weights.
    pub version_bound: Duration,
    /// Shortest lease TTL that the key-value service grants.
    pub min_lease: Duration,
    /// Retry budget, shared by all instances.
    pub retries: RetryBounds,
    /// How far one second may exceed what cold targets bear; `None` if their calls are not bounded.
    pub cold_allowance: Option<ColdAllowance>,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the file cannot be read or a value is invalid.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read(path).context(UnreadableSnafu {
            path: path.display().to_string(),
        })?;
        Self::parse(&text)
    }

    /// Parses the content of a settings file.
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the JSON is malformed or a value is invalid.
    pub fn parse(text: &[u8]) -> Result<Self, SettingsError> {
        let raw: RawSettings = serde_json::from_slice(text).context(MalformedSnafu)?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        if raw.instance.is_empty() {
            return ValueSnafu {
                name: "instance",
                problem: "empty",
            }
            .fail();
        }
        let mut regions = raw.regions;
        regions.add(raw.failure_domain.clone(), raw.region.clone());
        let memory_bytes = positive("memory_mb", raw.memory_mb)? * f64::from(1 << 20);
        let link_mbps = raw.link_mbps.map(|it| positive("link_mbps", it));
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let link_bits_per_s = link_mbps.transpose()?.map(|it| (it * 1e6) as u64);
        let cold_allowance = cold_allowance(raw.cold_overage_factor, raw.cold_slack_count)?;
        Ok(Self {
            instance: raw.instance,
            region: raw.region,
            failure_domain: raw.failure_domain,
            regions,
            listen: raw.listen,
            ready_listen: raw.ready_listen,
            directory_listen: raw.directory_listen,
            feed_listen: raw.feed_listen,
            peer_listen: raw.peer_listen,
            metrics_listen: raw.metrics_listen,
            kv_endpoint: raw.kv_endpoint,
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            memory_bytes: memory_bytes as usize,
            max_descriptors_count: raw.max_descriptors_count,
            link_bits_per_s,
            grace: seconds("grace_s", raw.grace_s)?,
            max_address_age: seconds("max_address_age_s", raw.max_address_age_s)?,
            order_gap: seconds("order_gap_ms", raw.order_gap_ms / 1e3)?,
            version_bound: seconds("version_ms", raw.version_ms / 1e3)?,
            min_lease: seconds("min_lease_ms", raw.min_lease_ms / 1e3)?,
            retries: RetryBounds {
                retries_per_call: positive("retries_per_call", raw.retries_per_call)?,
                window: seconds("retry_window_s", raw.retry_window_s)?,
                slack_count: positive("retry_slack_count", raw.retry_slack_count)?,
            },
            cold_allowance,
        })
    }
}

fn positive(name: &'static str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    let problem = "not above 0";
    ValueSnafu { name, problem }.fail()
}

fn not_negative(name: &'static str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    let problem = "negative";
    ValueSnafu { name, problem }.fail()
}

/// Takes the value that adds nothing for one that is missing, since the lower bound is the safe one.
fn cold_allowance(
    overage_factor: Option<f64>,
    slack_count: Option<f64>,
) -> Result<Option<ColdAllowance>, SettingsError> {
    if overage_factor.is_none() && slack_count.is_none() {
        return Ok(None);
    }
    Ok(Some(ColdAllowance {
        overage_factor: not_negative("cold_overage_factor", overage_factor.unwrap_or(1.0))?,
        slack_count: not_negative("cold_slack_count", slack_count.unwrap_or(0.0))?,
    }))
}

fn seconds(name: &'static str, value: f64) -> Result<Duration, SettingsError> {
    let value = positive(name, value)?;
    Duration::try_from_secs_f64(value).map_err(|_| SettingsError::Value {
        name,
        problem: "too long",
    })
}
