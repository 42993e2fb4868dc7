//! Runs one stand-in until the process ends; see `standin --help` and `docs/PROTOCOLS.md`.

mod flags;

use {
    flags::{Command, Flags},
    gumdrop::Options,
    standin::{
        Role, Server, engine::Engine, instances::Instances, kv::Kv, relay::Relay, service::Service,
        store::Store, weights::Weights,
    },
    std::{
        io::{self, Write},
        net::SocketAddr,
        process::ExitCode,
    },
};

fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let Some(command) = flags.command else {
        eprintln!("no role given; run standin --help for the roles");
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime.and_then(|runtime| runtime.block_on(run(command)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot start: {error}; check --listen and the other flags");
            ExitCode::from(2)
        }
    }
}

async fn run(command: Command) -> io::Result<()> {
    match command {
        Command::Kv(flags) => serve(Kv::start(flags.settings()).await?).await,
        Command::Instances(flags) => serve(Instances::start(flags.settings()?).await?).await,
        Command::Engine(flags) => serve(Engine::start(flags.settings()).await?).await,
        Command::Store(flags) => serve(Store::start(flags.settings()).await?).await,
        Command::Weights(flags) => serve(Weights::start(flags.settings()).await?).await,
        Command::Service(flags) => serve(Service::start(flags.settings()).await?).await,
        Command::Relay(flags) => {
            let server = Relay::start(flags.settings()?).await?;
            announce(server.role().address)?;
            println!("control on {}", server.address);
            server.wait().await;
            Ok(())
        }
    }
}

async fn serve<Handler>(server: Server<Handler>) -> io::Result<()>
where
    Handler: Role,
{
    announce(server.address)?;
    server.wait().await;
    Ok(())
}

fn announce(address: SocketAddr) -> io::Result<()> {
    let mut output = io::stdout().lock();
    writeln!(output, "listening on {address}")?;
    output.flush()
}
