//! A target that crashes when it begins to answer certain calls, and starts again under another
//! name.

use {
    super::{formats::prompt_parts, target::respond},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, body::Incoming, http::request, server::conn::http1, service::service_fn,
    },
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
        net::{TcpListener, TcpSocket},
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
    tokio_util::sync::CancellationToken,
};

/// Time from the arrival of a call until its answer begins, or until it crashes the target.
const START_DELAY: Duration = Duration::from_millis(20);
/// Time until an answer begins if the path contains [`SLOW`].
const SLOW_START_DELAY: Duration = Duration::from_millis(100);
/// Calls with this in their path are answered late.
const SLOW: &str = "slow";
/// Calls that contain this in their path, key, parts or body crash targets.
const DEADLY: &str = "deadly";

/// What all targets of a test have seen.
#[derive(Debug, Default)]
pub struct TargetLog {
    /// Calls that arrived.
    pub arrived: Vec<ArrivedCall>,
    /// Number of crashes.
    pub crashes_count: usize,
}

/// A call as it arrived at a target.
#[derive(Clone, Debug)]
pub struct ArrivedCall {
    path: String,
    key: String,
    /// Ids of the parts of its prompt; empty for a plain call.
    pub parts: Vec<String>,
    body: String,
}

impl ArrivedCall {
    fn new(head: &request::Parts, body: &[u8]) -> Self {
        let key = head.headers.get("key").and_then(|key| key.to_str().ok());
        Self {
            path: head.uri.path().to_owned(),
            key: key.unwrap_or_default().to_owned(),
            parts: prompt_parts(&head.headers).unwrap_or_default(),
            body: String::from_utf8_lossy(body).into_owned(),
        }
    }

    /// Whether targets crash on the call.
    pub fn is_deadly(&self) -> bool {
        let parts = self.parts.iter();
        let mut texts = parts.chain([&self.path, &self.key, &self.body]);
        texts.any(|text| text.contains(DEADLY))
    }

    fn start_delay(&self) -> Duration {
        if self.path.contains(SLOW) {
            SLOW_START_DELAY
        } else {
            START_DELAY
        }
    }
}

/// A target that answers prompts as an engine and other calls as a plain service, and crashes on
/// calls that contain [`DEADLY`].
pub struct CrashingTarget {
    name: String,
    kv: MemoryKv,
    log: Arc<Mutex<TargetLog>>,
    /// Time from a crash until the target listens again.
    restart_delay: Duration,
    address: SocketAddr,
    /// Bound without listening, so that nothing else takes the port after a crash.
    _port: TcpSocket,
}

impl CrashingTarget {
    /// Starts a target that registers itself as `NAME-1`, after its first crash as `NAME-2`.
    pub fn start(
        name: &str,
        kv: &MemoryKv,
        log: &Arc<Mutex<TargetLog>>,
        restart_delay: Duration,
    ) -> JoinHandle<()> {
        let port = TcpSocket::new_v4().unwrap();
        port.set_reuseaddr(true).unwrap();
        port.bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let target = Arc::new(Self {
            name: name.to_owned(),
            kv: kv.clone(),
            log: log.clone(),
            restart_delay,
            address: port.local_addr().unwrap(),
            _port: port,
        });
        tokio::spawn(target.run())
    }

    async fn run(self: Arc<Self>) {
        for start in 1.. {
            let listener = TcpListener::bind(self.address).await.unwrap();
            let name = format!("{}-{start}", self.name);
            let key = format!("targets/{name}");
            super::put(&self.kv, &key, &format!("{} 1", self.address)).await;
            self.serve(&name, listener).await;
            let removal = Txn {
                success: vec![Op::Delete(key)],
                ..Txn::default()
            };
            self.kv.txn(removal).await.unwrap();
            sleep(self.restart_delay).await;
        }
    }

    /// Serves under `name` until the target crashes, which closes the listener and all connections.
    async fn serve(self: &Arc<Self>, name: &str, listener: TcpListener) {
        let crashed = CancellationToken::new();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                () = crashed.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (target, name, crash) = (self.clone(), name.to_owned(), crashed.clone());
            let service = service_fn(move |request: Request<Incoming>| {
                let (target, crash) = (target.clone(), crash.clone());
                let is_meant = request
                    .headers()
                    .get("target")
                    .is_some_and(|it| *it == *name);
                async move {
                    if !is_meant {
                        return Ok::<_, Infallible>(respond(421, String::new()));
                    }
                    Ok(target.answer(request, &crash).await)
                }
            });
            let stream = TokioIo::new(accepted.unwrap().0);
            connections.spawn(http1::Builder::new().serve_connection(stream, service));
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        crash: &CancellationToken,
    ) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return respond(400, String::new());
        };
        let call = ArrivedCall::new(&head, &body.to_bytes());
        self.log.lock().unwrap().arrived.push(call.clone());
        sleep(call.start_delay()).await;
        if call.is_deadly() {
            self.log.lock().unwrap().crashes_count += 1;
            crash.cancel();
            future::pending::<()>().await;
        }
        if call.parts.is_empty() {
            return respond(200, "done".to_owned());
        }
        respond(200, "id: 1\ndata: x\n\n".to_owned())
    }
}
