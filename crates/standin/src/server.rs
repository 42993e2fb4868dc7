//! The HTTP server that runs a stand-in and its fault switches.

use {
    crate::{
        faults::{CommonFaults, FaultError, FaultSwitches},
        http::{self, Answer, Cut},
    },
    hyper::{
        Method, Request, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Map, Value},
    std::{
        future::{Future, pending},
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

/// Delay before the next attempt after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Behaviour of one kind of stand-in behind a [`Server`].
pub trait Role: Send + Sync + Sized + 'static {
    /// Fault switches of this role, in addition to [`CommonFaults`].
    type Faults: Clone + Default + DeserializeOwned + Send + Serialize + Sync + 'static;

    /// The fault switches of this role.
    fn switches(&self) -> &FaultSwitches<Self::Faults>;

    /// Called after every change of the switches, to apply those that take effect at once.
    fn faults_changed(&self) {}

    /// Background work, run until the server stops.
    fn background(self: Arc<Self>) -> impl Future<Output = ()> + Send {
        pending()
    }

    /// Answers one request.
    fn answer(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// A running stand-in; dropping it stops it.
#[derive(Debug)]
pub struct Server<Handler>
where
    Handler: Role,
{
    /// Address that the server listens on.
    pub address: SocketAddr,
    shared: Arc<Shared<Handler>>,
    accepting: JoinHandle<()>,
}

impl<Handler> Server<Handler>
where
    Handler: Role,
{
    /// Listens on `listen` (port 0 picks a free one) and serves `role`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(listen: SocketAddr, role: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            role,
            common: FaultSwitches::default(),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            accepting,
        })
    }

    /// The role, for tests that inspect its state.
    #[must_use]
    pub fn role(&self) -> &Arc<Handler> {
        &self.shared.role
    }

    /// Sets the switches that the JSON object names, as `POST /fault` does.
    ///
    /// # Errors
    ///
    /// A switch is unknown or has a value of the wrong type; the others may have been set.
    pub fn set_faults(&self, changes: &Value) -> Result<(), FaultError> {
        self.shared.set_faults(changes)
    }

    /// Closes the listener and every connection, and waits until they are closed.
    pub async fn stop(mut self) {
        self.accepting.abort();
        let _ = (&mut self.accepting).await;
    }

    /// Waits until the server is stopped.
    pub async fn wait(mut self) {
        let _ = (&mut self.accepting).await;
    }
}

impl<Handler> Drop for Server<Handler>
where
    Handler: Role,
{
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

#[derive(Debug)]
struct Shared<Handler> {
    role: Arc<Handler>,
    common: FaultSwitches<CommonFaults>,
}

impl<Handler> Shared<Handler>
where
    Handler: Role,
{
    fn set_faults(&self, changes: &Value) -> Result<(), FaultError> {
        let Value::Object(changes) = changes else {
            return Err(FaultError::NotAnObject);
        };
        let rest = self.common.merge(changes.clone())?;
        let unknown = self.role.switches().merge(rest)?;
        if let Some(name) = unknown.keys().next() {
            return Err(FaultError::UnknownSwitch { name: name.clone() });
        }
        self.role.faults_changed();
        Ok(())
    }

    fn faults(&self) -> Map<String, Value> {
        let mut all = self.common.to_map();
        all.extend(self.role.switches().to_map());
        all
    }

    async fn dispatch(
        self: Arc<Self>,
        request: Request<Incoming>,
        used_for_control: Arc<AtomicBool>,
    ) -> Answer {
        if request.uri().path() == "/fault" {
            used_for_control.store(true, Ordering::Relaxed);
            return self.answer_fault(request).await;
        }
        self.apply_common_faults().await?;
        Arc::clone(&self.role).answer(request).await
    }

    async fn answer_fault(&self, request: Request<Incoming>) -> Answer {
        if request.method() != Method::POST {
            return http::ok(&self.faults());
        }
        let changes: Value = match http::read_json(request).await? {
            Ok(changes) => changes,
            Err(refused) => return Ok(refused),
        };
        match self.set_faults(&changes) {
            Ok(()) => http::ok(&self.faults()),
            Err(error) => http::error(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Delays or refuses a request as the common switches require.
    async fn apply_common_faults(&self) -> Result<(), Cut> {
        let faults = self.common.get();
        if faults.hang {
            self.common.wait_for(|faults| !faults.hang).await;
            return Err(Cut);
        }
        if faults.delay_ms > 0 {
            sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if self.common.get().down {
            return Err(Cut);
        }
        Ok(())
    }

    /// Completes when the connection must be closed because the `down` switch is set. Never
    /// completes for a connection that was used for `/fault`, so that the switch can be reset.
    async fn wait_until_closed(&self, used_for_control: &AtomicBool) {
        // A connection opened while the stand-in is down stays open until its first request, which
        // may be to `/fault`.
        self.common.wait_for(|faults| !faults.down).await;
        self.common.wait_for(|faults| faults.down).await;
        if used_for_control.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
    }
}

async fn accept<Handler>(listener: TcpListener, shared: Arc<Shared<Handler>>)
where
    Handler: Role,
{
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&shared.role).background());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tasks.spawn(serve(stream, Arc::clone(&shared)));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        while tasks.try_join_next().is_some() {}
    }
}

async fn serve<Handler>(stream: TcpStream, shared: Arc<Shared<Handler>>)
where
    Handler: Role,
{
    let _ = stream.set_nodelay(true);
    let used_for_control = Arc::new(AtomicBool::new(false));
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        shared.dispatch(request, Arc::clone(&used_for_control))
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = shared.wait_until_closed(&used_for_control) => {}
    }
}
