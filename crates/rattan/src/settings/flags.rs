//! Unvalidated settings from flags and environment variables.

use {
    super::SettingError,
    gumdrop::Options,
    std::{collections::BTreeMap, ffi::OsString},
};

/// Prefix of environment variables; the rest is the name of the flag in upper case.
pub(super) const VARIABLE_PREFIX: &str = "RATTAN_";
/// Variables with the prefix that belong to the command-line tool `rattan`; the daemon ignores
/// them.
const CLI_VARIABLES: [&str; 2] = ["RATTAN_ENTRY", "RATTAN_OPERATOR_KEY"];

/// rattand, the entry daemon. Every setting is a flag or an environment variable `RATTAN_NAME` with
/// the flag's name in upper case and underscores; a flag goes before its variable.
#[derive(Clone, Debug, Default, Options)]
pub struct Flags {
    /// Shows this text.
    #[options(help = "show this text", short = "h")]
    pub help: bool,
    /// Name of this instance.
    #[options(no_short, help = "name of this instance; required", meta = "NAME")]
    pub instance: Option<String>,
    /// Region of this instance.
    #[options(no_short, help = "region of this instance; required", meta = "NAME")]
    pub region: Option<String>,
    /// Failure domain of this instance.
    #[options(
        no_short,
        help = "failure domain of this instance; required",
        meta = "NAME"
    )]
    pub failure_domain: Option<String>,
    /// Address for callers and operators.
    #[options(
        no_short,
        help = "address for callers and operators (127.0.0.1:8080)",
        meta = "IP:PORT"
    )]
    pub listen: Option<String>,
    /// Address for other entry instances.
    #[options(
        no_short,
        help = "address for other entry instances (127.0.0.1:8081)",
        meta = "IP:PORT"
    )]
    pub peer_listen: Option<String>,
    /// Endpoints of the key-value service.
    #[options(
        no_short,
        help = "endpoints of the key-value service, with commas; required",
        meta = "IP:PORT,..."
    )]
    pub kv_endpoints: Option<String>,
    /// Longest wait for the key-value service.
    #[options(
        no_short,
        help = "longest wait for the key-value service in ms (1000)",
        meta = "MS"
    )]
    pub kv_timeout_ms: Option<String>,
    /// Address of the instance list.
    #[options(
        no_short,
        help = "address of the instance list; required",
        meta = "IP:PORT"
    )]
    pub instance_list: Option<String>,
    /// Digests of the operators' keys.
    #[options(
        no_short,
        help = "BLAKE3 digests of the operators' keys, with commas; required",
        meta = "HEX,..."
    )]
    pub operator_key_digests: Option<String>,
    /// Keys shared by the entry instances.
    #[options(
        no_short,
        help = "keys shared by the entry instances, first one used, others accepted; better set as RATTAN_PEER_KEYS; required",
        meta = "KEY,..."
    )]
    pub peer_keys: Option<String>,
    /// Form of the log.
    #[options(no_short, help = "form of the log: text or json (text)", meta = "FORM")]
    pub log_format: Option<String>,
    /// Least level that is logged.
    #[options(
        no_short,
        help = "least level logged: error, warn, info, debug or trace (info)",
        meta = "LEVEL"
    )]
    pub log_level: Option<String>,
    /// Address that metrics are sent to.
    #[options(
        no_short,
        help = "address that metrics are sent to over UDP; none by default",
        meta = "IP:PORT"
    )]
    pub metrics: Option<String>,
    /// Threads that serve requests.
    #[options(
        no_short,
        help = "threads that serve requests, 1 to 64 (2)",
        meta = "N"
    )]
    pub traffic_threads: Option<String>,
    /// Largest body of a request.
    #[options(
        no_short,
        help = "largest body of a request in bytes (4194304)",
        meta = "BYTES"
    )]
    pub max_body_bytes: Option<String>,
    /// Connections at once.
    #[options(no_short, help = "connections at once (4096)", meta = "N")]
    pub max_connections: Option<String>,
    /// Longest time to receive a request's head.
    #[options(
        no_short,
        help = "longest time to receive a request's head in ms (10000)",
        meta = "MS"
    )]
    pub head_timeout_ms: Option<String>,
    /// Longest time to receive a request's body.
    #[options(
        no_short,
        help = "longest time to receive a request's body in ms (30000)",
        meta = "MS"
    )]
    pub body_timeout_ms: Option<String>,
    /// Longest wait for a plain service.
    #[options(
        no_short,
        help = "longest wait for a plain service in ms (10000)",
        meta = "MS"
    )]
    pub service_timeout_ms: Option<String>,
    /// How long callers may keep an answer about addresses.
    #[options(
        no_short,
        help = "how long callers may keep an answer about addresses in ms (5000)",
        meta = "MS"
    )]
    pub entries_max_age_ms: Option<String>,
    /// Time between two reports of a target.
    #[options(
        no_short,
        help = "time between two load reports of a target in ms (250)",
        meta = "MS"
    )]
    pub load_interval_ms: Option<String>,
    /// Time to live of this instance's lease on engines.
    #[options(
        no_short,
        help = "time to live of this instance's lease on engines that it orders in ms (15000)",
        meta = "MS"
    )]
    pub order_lease_ms: Option<String>,
    /// Rule by which targets are compared.
    #[options(
        no_short,
        help = "cost, or for comparison round_robin, least_loaded, longest_prefix (cost)",
        meta = "RULE"
    )]
    pub routing_policy: Option<String>,
}

impl Flags {
    /// Parses the command line, without the program name, and takes settings that it leaves out
    /// from environment variables.
    ///
    /// # Errors
    /// [`SettingError`] for an unknown flag or an unknown variable with the prefix.
    pub fn read<Variables>(arguments: &[String], variables: Variables) -> Result<Self, SettingError>
    where
        Variables: IntoIterator<Item = (OsString, OsString)>,
    {
        let mut flags =
            Self::parse_args_default(arguments).map_err(|error| SettingError::CommandLine {
                reason: error.to_string(),
            })?;
        let mut variables_left: BTreeMap<String, String> = variables
            .into_iter()
            .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
            .filter(|(name, _)| name.starts_with(VARIABLE_PREFIX))
            .filter(|(name, _)| !CLI_VARIABLES.contains(&name.as_str()))
            .collect();
        for (name, field) in flags.fields() {
            let value = variables_left.remove(&variable_name(name));
            if field.is_none() {
                *field = value;
            }
        }
        match variables_left.into_keys().next() {
            Some(variable) => Err(SettingError::UnknownVariable { variable }),
            None => Ok(flags),
        }
    }

    /// All settings with the names of their flags.
    pub(super) fn fields(&mut self) -> [(&'static str, &mut Option<String>); 23] {
        [
            ("instance", &mut self.instance),
            ("region", &mut self.region),
            ("failure-domain", &mut self.failure_domain),
            ("listen", &mut self.listen),
            ("peer-listen", &mut self.peer_listen),
            ("kv-endpoints", &mut self.kv_endpoints),
            ("kv-timeout-ms", &mut self.kv_timeout_ms),
            ("instance-list", &mut self.instance_list),
            ("operator-key-digests", &mut self.operator_key_digests),
            ("peer-keys", &mut self.peer_keys),
            ("log-format", &mut self.log_format),
            ("log-level", &mut self.log_level),
            ("metrics", &mut self.metrics),
            ("traffic-threads", &mut self.traffic_threads),
            ("max-body-bytes", &mut self.max_body_bytes),
            ("max-connections", &mut self.max_connections),
            ("head-timeout-ms", &mut self.head_timeout_ms),
            ("body-timeout-ms", &mut self.body_timeout_ms),
            ("service-timeout-ms", &mut self.service_timeout_ms),
            ("entries-max-age-ms", &mut self.entries_max_age_ms),
            ("load-interval-ms", &mut self.load_interval_ms),
            ("order-lease-ms", &mut self.order_lease_ms),
            ("routing-policy", &mut self.routing_policy),
        ]
    }
}

/// Name of the environment variable of a flag.
pub(super) fn variable_name(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}
