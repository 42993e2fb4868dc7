//! Accepts connections and serves them within limits.

use {
    crate::{Backend, GatewaySettings, Refusal, RefusalKind, respond, router::Router},
    callers::{AnswerFraming, CallerStream, close_after},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Delay after a failed accept. The failure may last, for example while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tells a gateway to stop, in two steps.
#[derive(Clone, Debug, Default)]
pub struct DrainSignal {
    /// When cancelled, each connection closes after its next response. New connections and requests
    /// are still served. Idle connections stay open, because a request could already be on its way
    /// when the connection is closed.
    pub drain: CancellationToken,
    /// When cancelled, no more connections are accepted. The gateway ends once all requests have
    /// been answered.
    pub stop: CancellationToken,
}

/// HTTP server for callers and operators.
pub struct Gateway<Service> {
    listener: TcpListener,
    address: SocketAddr,
    router: Router<Service>,
}

impl<Service> Gateway<Service>
where
    Service: Backend,
{
    /// Binds the listening socket.
    ///
    /// # Errors
    /// Returns the I/O error if the socket cannot be bound, for example if the address is in use.
    pub async fn bind(settings: GatewaySettings, backend: Service) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
            router: Router { settings, backend },
        })
    }

    /// Returns the address that the gateway listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until `signal.stop` is cancelled and every request in progress is answered.
    pub async fn run(&self, signal: DrainSignal) {
        let slots = Arc::new(Semaphore::new(self.router.settings.max_connections_count));
        let tasks = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = signal.stop.cancelled() => break,
                accepted = self.listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let slot = slots.clone().try_acquire_owned().ok();
            tasks.spawn(serve(stream, slot, self.router.clone(), signal.clone()));
        }
        tasks.close();
        tasks.wait().await;
    }
}

/// Serves one connection. Without a `slot`, the connection exceeds the limit: refuses its first
/// request and closes it.
async fn serve<Service>(
    stream: TcpStream,
    slot: Option<OwnedSemaphorePermit>,
    router: Router<Service>,
    signal: DrainSignal,
) where
    Service: Backend,
{
    let settings = router.settings;
    let over_limit = slot.is_none();
    // Failure is harmless: without TCP_NODELAY, small writes are only slower.
    let _ = stream.set_nodelay(true);
    let framing = &AnswerFraming::default();
    let service = service_fn(|request: Request<Incoming>| {
        let (router, version) = (&router, request.version());
        let close = over_limit || signal.drain.is_cancelled();
        async move {
            let mut response = if over_limit {
                respond::refusal(&too_many_connections())
            } else {
                router.serve(request).await
            };
            framing.observe(version, &mut response);
            if close {
                close_after(version, &mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_timeout)
        .max_buf_size(settings.max_head_bytes)
        .serve_connection(TokioIo::new(CallerStream::new(stream, framing)), service);
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
        framing.deliver().await;
    }
}

fn too_many_connections() -> Refusal {
    Refusal::not_run(
        RefusalKind::Unavailable,
        "too many connections at this instance; use another address of /v1/entries",
    )
    .retry_after(Duration::from_secs(1))
}
