//! Options and commands of the command-line tool.

use {
    super::ClientError,
    std::{net::SocketAddr, str::FromStr, time::Duration},
};

/// Form of the results.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Output {
    /// For reading.
    #[default]
    Human,
    /// For programs: one JSON document.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "human" => Ok(Self::Human),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} is not an output form; use human or json")),
        }
    }
}

/// Creates and changes the configuration of rattanpost and explains its decisions.
#[derive(Debug, gumdrop::Options)]
pub struct Options {
    /// Print the help.
    #[options(help = "print this help; `rattan COMMAND --help` prints a command's")]
    pub help: bool,
    /// Addresses of entry instances.
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "address of an entry instance; repeat it for several (else RATTAN_ENTRY, comma-separated)"
    )]
    pub entry: Vec<SocketAddr>,
    /// File that holds the operator's key.
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the operator's key (else RATTAN_OPERATOR_KEY)"
    )]
    pub key_file: Option<String>,
    /// Form of the results.
    #[options(
        no_short,
        meta = "human|json",
        help = "form of the results (default: human)"
    )]
    pub output: Output,
    /// Longest wait for one entry instance.
    #[options(
        no_short,
        meta = "MS",
        help = "longest wait for one entry instance in milliseconds",
        default = "15000"
    )]
    pub timeout_ms: u64,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, gumdrop::Options)]
pub enum Command {
    /// Apply a file.
    #[options(help = "create or change the objects of a file, all or none")]
    Apply(Apply),
    /// Show objects.
    #[options(help = "show the objects of a kind, or one object")]
    Get(Get),
    /// Change labels.
    #[options(help = "set (key=value) and remove (key-) labels of an object")]
    Label(Label),
    /// Drain a target.
    #[options(help = "mark a target as leaving, so that it gets no new work")]
    Drain(Drain),
    /// Delete an object.
    #[options(help = "delete an object")]
    Delete(Delete),
    /// Show the state of the system.
    #[options(help = "show the state of the system as one entry instance sees it")]
    Status(Status),
    /// Explain a request.
    #[options(help = "tell why a request went where it did, was refused, or was recomputed")]
    Explain(Explain),
    /// Trace a call.
    #[options(help = "tell a relayed call's way from logs of instances on the platform")]
    Trace(TraceCall),
    /// Digest a key.
    #[options(help = "read a key on standard input and print its BLAKE3 digest")]
    Digest(Digest),
}

/// Creates or changes the objects of a file, all or none. Objects that the file leaves out stay.
#[derive(Debug, gumdrop::Options)]
pub struct Apply {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// File to apply.
    #[options(
        required,
        meta = "FILE",
        help = "JSON array or stream of objects; - reads standard input"
    )]
    pub file: String,
    /// Whether a large file may be applied in parts.
    #[options(
        no_short,
        help = "allow several transactions if the file is too large for one; each is applied whole"
    )]
    pub in_parts: bool,
}

/// Shows the objects of a kind, or one object.
#[derive(Debug, gumdrop::Options)]
pub struct Get {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind.
    #[options(
        free,
        required,
        help = "client_account, model_version, target or placement_rule"
    )]
    pub kind: String,
    /// Name.
    #[options(free, help = "name of one object; all if left out")]
    pub name: Option<String>,
    /// Selector.
    #[options(
        short = "l",
        meta = "KEY=VALUE,...",
        help = "only objects with these labels"
    )]
    pub selector: Option<String>,
}

/// Sets and removes labels of one object.
#[derive(Debug, gumdrop::Options)]
pub struct Label {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind.
    #[options(free, required, help = "kind of the object")]
    pub kind: String,
    /// Name.
    #[options(free, required, help = "name of the object")]
    pub name: String,
    /// Changes.
    #[options(free, help = "key=value sets a label, key- removes it")]
    pub changes: Vec<String>,
}

/// Marks a target as leaving, so that it gets no new work.
#[derive(Debug, gumdrop::Options)]
pub struct Drain {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Target.
    #[options(free, required, help = "name of the target")]
    pub target: String,
}

/// Deletes one object as it is now.
#[derive(Debug, gumdrop::Options)]
pub struct Delete {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind.
    #[options(free, required, help = "kind of the object")]
    pub kind: String,
    /// Name.
    #[options(free, required, help = "name of the object")]
    pub name: String,
}

/// Shows the state of the system as one entry instance sees it.
#[derive(Debug, gumdrop::Options)]
pub struct Status {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Tells why a request went where it did, was refused, or was recomputed.
#[derive(Debug, gumdrop::Options)]
pub struct Explain {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Request id.
    #[options(
        free,
        required,
        help = "the id that the answer's x-request-id header gave"
    )]
    pub request_id: String,
}

/// Tells a relayed call's way from logs: who took it, what was known, who was chosen, what came back.
#[derive(Debug, gumdrop::Options)]
pub struct TraceCall {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Id of the call.
    #[options(free, required, help = "id that the caller gave the call")]
    pub request: String,
    /// Logs of one or several instances.
    #[options(free, help = "logs to read (default: standard input)")]
    pub logs: Vec<String>,
}

/// Reads a key on standard input and prints its BLAKE3 digest.
#[derive(Debug, gumdrop::Options)]
pub struct Digest {
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
}

impl Options {
    /// Addresses to use, from the flags or else from the environment.
    ///
    /// # Errors
    ///
    /// There is none, or the environment holds something that is not an address.
    pub fn entries(&self) -> Result<Vec<SocketAddr>, ClientError> {
        if !self.entry.is_empty() {
            return Ok(self.entry.clone());
        }
        let text = std::env::var("RATTAN_ENTRY").unwrap_or_default();
        let entries: Result<Vec<SocketAddr>, _> = text
            .split(',')
            .map(str::trim)
            .filter(|entry| !entry.is_empty())
            .map(str::parse)
            .collect();
        match entries {
            Ok(entries) if !entries.is_empty() => Ok(entries),
            Ok(_) => Err(ClientError::usage(
                "no entry instance; give --entry IP:PORT or set RATTAN_ENTRY",
            )),
            Err(_) => Err(ClientError::usage(
                "RATTAN_ENTRY is not a list of addresses; write IP:PORT,IP:PORT",
            )),
        }
    }

    /// Longest wait for one entry instance.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}
