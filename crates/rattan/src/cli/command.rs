//! Parses the command line and runs the command.

use {
    super::{
        Client, ClientError, Command, Exit, Options, apply, edit, key,
        output::{print, print_error, print_note},
        show, trace,
    },
    gumdrop::Options as _,
    std::process::ExitCode,
};

/// Help text about exit codes, printed after the list of commands.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused or failed, nothing was changed
  2  the command line, the key or a file is not as it should be
  3  conflict: somebody else changed the object, nothing was changed
  4  no such object or decision
  5  no answer or unavailable; the message says whether a change may have been applied";

/// Parses the command line of this process and runs the command.
#[must_use]
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match Options::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            print_note(&format!("error: {error}; see `rattan --help`"));
            return Exit::Usage.into();
        }
    };
    if options.help_requested() {
        print(&help(&options));
        return Exit::Ok.into();
    }
    match run(&options) {
        Ok(exit) => exit.into(),
        Err(error) => {
            print_error(&error, options.output);
            Exit::from(&error).into()
        }
    }
}

fn run(options: &Options) -> Result<Exit, ClientError> {
    let Some(command) = &options.command else {
        return Err(ClientError::usage("no command; see `rattan --help`"));
    };
    if let Command::Digest(_) = command {
        print(&key::digest(std::io::stdin())?);
        return Ok(Exit::Ok);
    }
    if let Command::Trace(options) = command {
        return trace::run(options);
    }
    let key = key::operator_key(options.key_file.as_deref())?;
    let client = Client::new(options.entries()?, key, options.timeout());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| ClientError::usage(&format!("no runtime: {error}; check the limits")))?;
    runtime.block_on(run_remote(&client, command, options))
}

async fn run_remote(
    client: &Client,
    command: &Command,
    options: &Options,
) -> Result<Exit, ClientError> {
    let format = options.output;
    match command {
        Command::Apply(options) => apply::run(client, options, format).await,
        Command::Get(options) => show::get(client, options, format).await,
        Command::Label(options) => edit::label(client, options, format).await,
        Command::Drain(options) => edit::drain(client, options, format).await,
        Command::Delete(options) => edit::delete(client, options, format).await,
        Command::Status(_) => show::status(client, format).await,
        Command::Explain(options) => show::explain(client, options, format).await,
        Command::Digest(_) | Command::Trace(_) => Ok(Exit::Ok),
    }
}

fn help(options: &Options) -> String {
    let Some(command) = options.command.as_ref() else {
        let commands = Options::command_list().unwrap_or_default();
        return format!(
            "Usage: rattan [OPTIONS] COMMAND ...\n\n{}\n\nCommands:\n{commands}\n\n{EXIT_CODES}",
            Options::usage()
        );
    };
    let name = options.command_name().unwrap_or_default();
    format!(
        "Usage: rattan [OPTIONS] {name} ...\n\n{}",
        command.self_usage()
    )
}
