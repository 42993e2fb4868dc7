//! An engine that crashes when it begins to answer certain prompts, and starts again under another
//! name.

use {
    super::{formats::prompt_parts, target::respond},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    keyvalue::{KeyValue, MemoryKv, Op, Txn},
    std::{
        convert::Infallible,
        future,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Time from the arrival of a prompt until its answer begins.
const START_DELAY: Duration = Duration::from_millis(20);
/// Time from a crash until the engine listens again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// What all engines of a test have seen.
#[derive(Debug, Default)]
pub struct EngineLog {
    /// Parts of each prompt that arrived, as sent.
    pub arrived: Vec<String>,
    /// Number of crashes.
    pub crashes_count: usize,
}

/// Start of the ids of parts that crash engines.
const DEADLY: &str = "deadly";

/// An engine that crashes on prompts with a part, other than the last, whose id starts with
/// [`DEADLY`].
pub struct CrashingEngine {
    name: String,
    kv: MemoryKv,
    log: Arc<Mutex<EngineLog>>,
    address: SocketAddr,
}

impl CrashingEngine {
    /// Starts an engine that registers itself as `NAME-1`, after its first crash as `NAME-2`.
    pub async fn start(name: &str, kv: &MemoryKv, log: &Arc<Mutex<EngineLog>>) -> JoinHandle<()> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let engine = Arc::new(Self {
            name: name.to_owned(),
            kv: kv.clone(),
            log: log.clone(),
            address: listener.local_addr().unwrap(),
        });
        tokio::spawn(engine.run(listener))
    }

    async fn run(self: Arc<Self>, mut listener: TcpListener) {
        for start in 1.. {
            let name = format!("{}-{start}", self.name);
            let key = format!("targets/{name}");
            super::put(&self.kv, &key, &format!("{} 1", self.address)).await;
            self.serve(&name, listener).await;
            let removal = Txn {
                success: vec![Op::Delete(key)],
                ..Txn::default()
            };
            self.kv.txn(removal).await.unwrap();
            sleep(RESTART_DELAY).await;
            listener = TcpListener::bind(self.address).await.unwrap();
        }
    }

    /// Serves under `name` until the engine crashes, which closes the listener and all connections.
    async fn serve(self: &Arc<Self>, name: &str, listener: TcpListener) {
        let crashed = CancellationToken::new();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = crashed.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (engine, name, crash) = (self.clone(), name.to_owned(), crashed.clone());
            let service = service_fn(move |request: Request<Incoming>| {
                let (engine, crash) = (engine.clone(), crash.clone());
                let is_meant = request
                    .headers()
                    .get("target")
                    .is_some_and(|it| *it == *name);
                async move {
                    if !is_meant {
                        return Ok::<_, Infallible>(respond(421, String::new()));
                    }
                    Ok(engine.answer(&request, &crash).await)
                }
            });
            let stream = TokioIo::new(accepted.unwrap().0);
            connections.spawn(http1::Builder::new().serve_connection(stream, service));
        }
    }

    async fn answer(
        &self,
        request: &Request<Incoming>,
        crash: &CancellationToken,
    ) -> Response<Full<Bytes>> {
        let parts = prompt_parts(request.headers()).unwrap_or_default();
        let Some((_, shared)) = parts.split_last() else {
            return respond(500, String::new());
        };
        self.log.lock().unwrap().arrived.push(parts.join(","));
        sleep(START_DELAY).await;
        if shared.iter().any(|part| part.starts_with(DEADLY)) {
            self.log.lock().unwrap().crashes_count += 1;
            crash.cancel();
            future::pending::<()>().await;
        }
        respond(200, "id: 1\ndata: x\n\n".to_owned())
    }
}
