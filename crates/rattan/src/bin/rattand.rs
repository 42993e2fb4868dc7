//! The entry daemon.

use {
    gumdrop::Options,
    rattan::{
        Flags, Settings,
        process::{failure, stop_token, usage_error},
    },
    std::{env, process::ExitCode},
    tokio::runtime,
};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [command, rest @ ..] = arguments.as_slice()
        && command == rattan::on_platform::COMMAND
    {
        return rattan::on_platform::main(rest);
    }
    let flags = match Flags::read(&arguments, env::vars_os()) {
        Ok(flags) => flags,
        Err(error) => return usage_error("rattand", &error.to_string()),
    };
    if flags.help {
        println!(
            "Usage: rattand [OPTIONS]\n       rattand platform [OPTIONS]\n\n{}",
            Flags::usage()
        );
        return ExitCode::SUCCESS;
    }
    match Settings::try_from(flags) {
        Ok(settings) => serve(settings),
        Err(error) => usage_error("rattand", &error.to_string()),
    }
}

fn serve(settings: Settings) -> ExitCode {
    if let Err(error) = rattan::start_log(settings.log_format, settings.log_level) {
        return failure("rattand", &error.to_string());
    }
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads_count)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            return failure(
                "rattand",
                &format!("no runtime: {error}; free memory or threads"),
            );
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure("rattand", &error),
    }
}

/// Runs the daemon until SIGTERM or SIGINT, then drains it.
async fn run(settings: Settings) -> Result<(), String> {
    let stop = stop_token().map_err(|error| error.to_string())?;
    rattan::run(settings, stop)
        .await
        .map_err(|error| error.to_string())
}
