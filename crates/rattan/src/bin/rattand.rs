//! The entry daemon.

use {
    gumdrop::Options,
    rattan::{Flags, Settings},
    std::{env, process::ExitCode},
    tokio::{
        runtime,
        signal::unix::{SignalKind, signal},
    },
    tokio_util::sync::CancellationToken,
};

/// Exit code for settings that cannot be used.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [command, rest @ ..] = arguments.as_slice()
        && command == rattan::on_platform::COMMAND
    {
        return rattan::on_platform::main(rest);
    }
    let flags = match Flags::read(&arguments, env::vars_os()) {
        Ok(flags) => flags,
        Err(error) => return usage(&error.to_string()),
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
        Err(error) => usage(&error.to_string()),
    }
}

fn serve(settings: Settings) -> ExitCode {
    if let Err(error) = rattan::start_log(settings.log_format, settings.log_level) {
        return failure(&error.to_string());
    }
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads_count)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return failure(&format!("no runtime: {error}; free memory or threads")),
    };
    match runtime.block_on(run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failure(&error),
    }
}

/// Runs the daemon until SIGTERM or SIGINT, then drains it.
async fn run(settings: Settings) -> Result<(), String> {
    let stop = CancellationToken::new();
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signal = signal(kind).map_err(|error| error.to_string())?;
        let stop = stop.clone();
        tokio::spawn(async move {
            signal.recv().await;
            stop.cancel();
        });
    }
    rattan::run(settings, stop)
        .await
        .map_err(|error| error.to_string())
}

fn usage(message: &str) -> ExitCode {
    eprintln!("rattand: {message}");
    ExitCode::from(EXIT_USAGE)
}

fn failure(message: &str) -> ExitCode {
    eprintln!("rattand: {message}");
    ExitCode::FAILURE
}
