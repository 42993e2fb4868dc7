//! A relay between a test's caller and scripted targets.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod caller;
pub mod scripted;
pub mod wire;

use {
    arc_swap::ArcSwap,
    balance::{RetryBounds, rendezvous},
    eventlog::EventLog,
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    meters::Meters,
    parts::PartDirectory,
    relay::{
        Closing, Followed, Leaving, Live, ModelState, Relay, RelaySettings, TargetState, View,
        boot_time,
    },
    routes::{Accepted, Account, Repeat, Route, RouteTable},
    scripted::Scripted,
    std::{
        convert::Infallible,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    target::{Client, ClientSettings},
    tokio::net::TcpListener,
    wire::TestWire,
};

/// Key of the only client account.
pub const KEY: &str = "key-of-chain";

/// A relay that listens, and what it is steered by.
pub struct World {
    pub address: SocketAddr,
    pub view: Arc<ArcSwap<View>>,
    pub keeping: Arc<Mutex<PartDirectory>>,
    pub closing: Closing,
}

/// Routes `/idempotent/`, `/once/`, `/stream/`, `/resumable/` and `/gapped/` to one pool.
pub fn routes() -> Vec<Route> {
    let route = |name: &str, repeat| {
        Route::new(name, "a.example", format!("/{name}/"))
            .repeat(repeat)
            .pool("pool")
            .max_attempts(2)
            .time_limit(Duration::from_secs(3))
    };
    vec![
        route("idempotent", Repeat::Idempotent),
        route("once", Repeat::Never),
        route("stream", Repeat::Stream),
        route("resumable", Repeat::ResumableStream),
        Route {
            max_event_gap: Some(Duration::from_millis(250)),
            ..route("gapped", Repeat::ResumableStream)
        },
    ]
}

pub fn view(targets: &[&Scripted]) -> View {
    let account = Account {
        name: "chain".to_owned(),
        keys: vec![KEY.to_owned()],
        ..Account::default()
    };
    let accepted = Accepted::default()
        .version(7)
        .routes(routes())
        .accounts(vec![account]);
    let states = targets.iter().map(|target| {
        Arc::new(TargetState {
            id: target.name.clone(),
            seed: rendezvous::member_seed(&target.name),
            address: target.address,
            failure_domain: "here".to_owned(),
            slots_count: 8,
            leaving: false,
            models: vec![ModelState {
                model: "m".to_owned(),
                version: 1,
            }],
            live: Arc::new(Live::default()),
        })
    });
    let mut view = View {
        table: Some(Arc::new(RouteTable::new(accepted))),
        confirmed: boot_time(),
        ..View::default()
    };
    view.pools.insert("pool".to_owned(), states.collect());
    view
}

impl World {
    /// Starts a relay before `targets`.
    pub async fn start(targets: &[&Scripted]) -> Self {
        let view = Arc::new(ArcSwap::from_pointee(view(targets)));
        let keeping = Arc::new(Mutex::new(PartDirectory::default()));
        let closing = Closing::default();
        let settings = RelaySettings {
            failure_domain: "here".to_owned(),
            retries: RetryBounds {
                // Enough from the first millisecond on.
                slack_count: 1e7,
                ..RetryBounds::default()
            },
            ..RelaySettings::default()
        };
        let relay = Relay::new(
            settings,
            TestWire,
            Client::new(ClientSettings::default()),
            Followed {
                view: view.clone(),
                keeping: keeping.clone(),
                closing: closing.clone(),
                ..Followed::default()
            },
            EventLog::start(std::io::sink()),
            Meters::new(),
        );
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = relay.clone();
                let service = service_fn(move |request: Request<Incoming>| {
                    let relay = relay.clone();
                    async move { Ok::<_, Infallible>(relay.serve(request).await) }
                });
                let stream = TokioIo::new(stream);
                tokio::spawn(http1::Builder::new().serve_connection(stream, service));
            }
        });
        Self {
            address,
            view,
            keeping,
            closing,
        }
    }

    /// Lets the instance leave: answers have to be whole after `left`.
    pub fn leave(&self, left: Duration) {
        let mut view = View::clone(&self.view.load());
        view.leaving = Some(Leaving {
            known_from: boot_time(),
            answers_until: boot_time() + left,
            back_at: None,
        });
        self.view.store(Arc::new(view));
    }
}
