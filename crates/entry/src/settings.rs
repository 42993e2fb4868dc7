//! Settings of an instance, as its settings file holds them.

use {
    balance::RetryBounds,
    catalog::{FailureDomainId, InstanceId, RegionId},
    serde::Deserialize,
    snafu::{ResultExt, Snafu},
    std::{fs, net::SocketAddr, path::Path, time::Duration},
};

/// Settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file can't be read.
    #[snafu(display("settings file {path} can't be read: {source}; check path and rights"))]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file's content can't be used.
    #[snafu(display("settings can't be used: {source}; check the template they are made from"))]
    Malformed {
        /// What is wrong, and where.
        source: serde_json::Error,
    },
    /// A value can't be used.
    #[snafu(display("setting {name} is {problem}; change it in the settings file"))]
    Value {
        /// Its name.
        name: &'static str,
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// The settings file.
#[derive(Debug, Deserialize)]
struct RawSettings {
    instance: InstanceId,
    region: RegionId,
    failure_domain: FailureDomainId,
    listen: SocketAddr,
    ready_listen: SocketAddr,
    directory_listen: SocketAddr,
    feed_listen: SocketAddr,
    metrics_listen: Option<SocketAddr>,
    kv_endpoint: SocketAddr,
    memory_mb: f64,
    max_descriptors_count: usize,
    grace_s: f64,
    max_address_age_s: f64,
    order_gap_ms: f64,
    version_ms: f64,
    min_lease_ms: f64,
    retries_per_call: f64,
    retry_window_s: f64,
    retry_slack_count: f64,
}

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the platform's question whether the instance takes calls.
    pub ready_listen: SocketAddr,
    /// Address for callers' question which addresses to use.
    pub directory_listen: SocketAddr,
    /// Address at which other instances read what this one learns of stores and engines.
    pub feed_listen: SocketAddr,
    /// Address for questions about counters and times, if there is one.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the key-value service.
    pub kv_endpoint: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may use.
    pub max_descriptors_count: usize,
    /// Time between the request to stop and the end by force.
    pub grace: Duration,
    /// Longest age of an address answer that callers heed.
    pub max_address_age: Duration,
    /// Least time between the last order of one holder and the first of the next.
    pub order_gap: Duration,
    /// Time after which no call may begin on weights older than the wanted ones.
    pub version_bound: Duration,
    /// Shortest lease that the key-value service grants.
    pub min_lease: Duration,
    /// Bounds on repeated arrivals, over all instances.
    pub retries: RetryBounds,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] if it can't be read or a value can't be used.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read(path).context(UnreadableSnafu {
            path: path.display().to_string(),
        })?;
        Self::parse(&text)
    }

    /// Reads the content of a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] if a value can't be used.
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
        let memory_bytes = positive("memory_mb", raw.memory_mb)? * f64::from(1 << 20);
        Ok(Self {
            instance: raw.instance,
            region: raw.region,
            failure_domain: raw.failure_domain,
            listen: raw.listen,
            ready_listen: raw.ready_listen,
            directory_listen: raw.directory_listen,
            feed_listen: raw.feed_listen,
            metrics_listen: raw.metrics_listen,
            kv_endpoint: raw.kv_endpoint,
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            memory_bytes: memory_bytes as usize,
            max_descriptors_count: raw.max_descriptors_count,
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

fn seconds(name: &'static str, value: f64) -> Result<Duration, SettingsError> {
    let value = positive(name, value)?;
    Duration::try_from_secs_f64(value).map_err(|_| SettingsError::Value {
        name,
        problem: "too long",
    })
}
