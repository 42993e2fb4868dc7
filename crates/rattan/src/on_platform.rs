//! `rattand platform`: runs an entry instance on the operating platform. Everything that differs
//! between instances is in its settings file.

use {
    crate::process::{failure, stop_token, usage_error},
    entry::{Settings, SettingsError},
    eventlog::{Event, EventLog},
    gumdrop::Options,
    log::LevelFilter,
    platform::{KeyValueClient, PlatformCodec},
    std::{env, ffi::OsString, io, path::PathBuf, process::ExitCode, time::Duration},
    tokio::{
        runtime,
        signal::unix::{SignalKind, signal},
    },
};

/// First command-line argument that selects this mode.
pub const COMMAND: &str = "platform";
/// Program name at the start of messages.
const PROGRAM: &str = "rattand platform";

/// Longest wait for the log to be written out before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Settings of `rattand platform`; all others stand in the settings file.
#[derive(Clone, Debug, Options)]
struct Flags {
    #[options(help = "show this text", short = "h")]
    help: bool,
    #[options(no_short, help = "settings file", meta = "PATH")]
    settings: Option<String>,
    #[options(
        no_short,
        help = "environment variable that holds the path of the settings file",
        meta = "NAME"
    )]
    settings_env: Option<String>,
    #[options(
        no_short,
        help = "least level of lines in words: error, warn, info, debug or trace",
        default = "info",
        meta = "LEVEL"
    )]
    log_level: LevelFilter,
}

impl Flags {
    /// Path of the settings file, from the flag or else from the named environment variable.
    fn settings_path(&self) -> Option<PathBuf> {
        let named = self.settings.clone().map(OsString::from);
        let variable = self.settings_env.as_ref().and_then(env::var_os);
        named.or(variable).map(PathBuf::from)
    }
}

/// Runs an entry instance until SIGTERM or SIGINT, and returns the exit code.
#[must_use]
pub fn main(arguments: &[String]) -> ExitCode {
    let flags = match Flags::parse_args_default(arguments) {
        Ok(flags) => flags,
        Err(error) => return usage_error(PROGRAM, &error.to_string()),
    };
    if flags.help {
        println!("Usage: rattand {COMMAND} [OPTIONS]\n\n{}", Flags::usage());
        return ExitCode::SUCCESS;
    }
    let Some(path) = flags.settings_path() else {
        return usage_error(
            PROGRAM,
            "no settings file; give --settings or --settings-env",
        );
    };
    match Settings::read(&path) {
        Ok(settings) => serve(settings, path, flags.log_level),
        Err(error) => usage_error(PROGRAM, &error.to_string()),
    }
}

fn serve(settings: Settings, path: PathBuf, level: LevelFilter) -> ExitCode {
    let log = EventLog::start(io::stdout());
    if let Err(error) = log.install_logger(level) {
        return failure(PROGRAM, &error.to_string());
    }
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            return failure(
                PROGRAM,
                &format!("no runtime: {error}; free memory or threads"),
            );
        }
    };
    let outcome = runtime.block_on(run(settings, path, log.clone()));
    if !log.flush(FLUSH_TIMEOUT) {
        eprintln!("{PROGRAM}: log lines were lost because standard output is too slow");
    }
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(PROGRAM, &error),
    }
}

async fn run(settings: Settings, path: PathBuf, log: EventLog) -> Result<(), String> {
    let stop = stop_token().map_err(|error| error.to_string())?;
    let mut reload = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
    let (started_with, lines) = (settings.clone(), log.clone());
    tokio::spawn(async move {
        while reload.recv().await.is_some() {
            log_reload(Settings::read(&path), &started_with, &lines);
        }
    });
    let key_value = KeyValueClient::new(settings.kv_endpoint);
    entry::run(settings, key_value, PlatformCodec, log, stop)
        .await
        .map_err(|error| error.to_string())
}

/// Logs the result of reading the settings file again after SIGHUP. Changed values take effect at
/// the next start, because addresses and limits of a running process can't change without cutting
/// calls.
fn log_reload(read: Result<Settings, SettingsError>, started_with: &Settings, log: &EventLog) {
    log.emit(&Event::Reloaded);
    match read {
        Ok(settings) if settings == *started_with => {}
        Ok(_) => log::info!("the settings file has changed; restart to apply it"),
        Err(error) => log::warn!("{error}; keeping the current settings"),
    }
}
