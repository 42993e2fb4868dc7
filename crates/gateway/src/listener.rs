//! Accepts connections and serves them within limits.

use {
    crate::{
        Backend, GatewaySettings, Refusal, RefusalKind,
        respond::{self, HttpResponse},
        router::Router,
    },
    hyper::{
        Request,
        body::Incoming,
        header::{self, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Tells a gateway to stop, in two steps.
#[derive(Clone, Debug, Default)]
pub struct DrainSignal {
    /// From now on each connection closes after its next answer; new connections and requests are
    /// still served. Idle connections stay open, since closing one could cross with a request.
    pub drain: CancellationToken,
    /// From now on no connection is accepted; the gateway ends once all requests have been
    /// answered.
    pub stop: CancellationToken,
}

/// A listening socket towards callers and operators.
pub struct Gateway<Service> {
    listener: TcpListener,
    address: SocketAddr,
    router: Router<Service>,
}

impl<Service> Gateway<Service>
where
    Service: Backend,
{
    /// Opens the listening socket.
    ///
    /// # Errors
    /// The socket's error, for example if the address is taken.
    pub async fn bind(settings: GatewaySettings, backend: Service) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            router: Router { settings, backend },
        })
    }

    /// The address that callers connect to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `signal.stop`, then until every request in progress has been answered.
    pub async fn run(&self, signal: DrainSignal) {
        let slots = Arc::new(Semaphore::new(self.router.settings.max_connections_count));
        let tasks = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = signal.stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let slot = slots.clone().try_acquire_owned().ok();
            tasks.spawn(serve(stream, slot, self.router.clone(), signal.clone()));
        }
        tasks.close();
        tasks.wait().await;
    }
}

/// Serves one connection. Without a slot its first request is refused.
async fn serve<Service>(
    stream: TcpStream,
    slot: Option<OwnedSemaphorePermit>,
    router: Router<Service>,
    signal: DrainSignal,
) where
    Service: Backend,
{
    let settings = router.settings;
    let full = slot.is_none();
    // A failure here only costs latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request: Request<Incoming>| {
        let router = &router;
        let closing = full || signal.drain.is_cancelled();
        async move {
            let mut answer = if full {
                respond::refusal(&too_many_connections())
            } else {
                router.serve(request).await
            };
            if closing {
                close_after(&mut answer);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let outcome = tokio::select! {
        outcome = connection.as_mut() => outcome,
        () = signal.stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = outcome {
        log::debug!("connection ended: {error}");
    }
}

fn close_after(answer: &mut HttpResponse) {
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
}

fn too_many_connections() -> Refusal {
    Refusal::not_run(
        RefusalKind::Unavailable,
        "too many connections at this instance; use another address of /v1/entries",
    )
    .retry_after(Duration::from_secs(1))
}
