//! Accepts connections and serves them until they or the instance end.

use {
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    relay::Closing,
    routes::CallLimits,
    socket2::SockRef,
    std::{convert::Infallible, error::Error, future::Future, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Pause after a failed accept, for example when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time that a caller may leave sent bytes unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that the end of an answer gets to go out once answers have to end.
pub(crate) const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Bounds on the connections of one listener.
#[derive(Clone, Debug)]
pub(crate) struct ListenerControl {
    /// Connections served at once; more wait to be accepted.
    pub(crate) max_connections_count: usize,
    /// From now on each connection closes after its next answer.
    pub(crate) draining: CancellationToken,
    /// From now on no connection is accepted and unused ones are closed.
    pub(crate) stop: CancellationToken,
    /// From now on answers in progress end; soon after, so do their connections.
    pub(crate) closing: Closing,
}

/// Serves every connection with `service`, within the limits in force when it was accepted, until `stop` and the end of all requests in progress.
pub(crate) async fn serve<Limits, Service, Serving, Content>(
    listener: TcpListener,
    control: ListenerControl,
    limits: Limits,
    service: Service,
) where
    Limits: Fn() -> CallLimits + Send + Sync,
    Service: Fn(Request<Incoming>) -> Serving + Clone + Send + Sync + 'static,
    Serving: Future<Output = Response<Content>> + Send + 'static,
    Content: Body + Send + 'static,
    Content::Data: Send,
    Content::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let slots = Arc::new(Semaphore::new(control.max_connections_count));
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = control.stop.cancelled() => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        let Some((stream, slot)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let connection = serve_one(stream, control.clone(), limits(), service.clone());
        tasks.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = slots.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, slot)),
        Err(error) => {
            log::warn!("no connection accepted: {error}");
            None
        }
    }
}

async fn serve_one<Service, Serving, Content>(
    stream: TcpStream,
    control: ListenerControl,
    limits: CallLimits,
    service: Service,
) where
    Service: Fn(Request<Incoming>) -> Serving + Send + Sync + 'static,
    Serving: Future<Output = Response<Content>> + Send + 'static,
    Content: Body + Send + 'static,
    Content::Data: Send,
    Content::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let socket = SockRef::from(&stream);
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = configured {
        log::debug!("connection closed before it was served: {error}");
        return;
    }
    let draining = &control.draining;
    let service = service_fn(|request| {
        let serving = service(request);
        async move {
            let mut response = serving.await;
            if draining.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let served = async {
        tokio::select! {
            outcome = connection.as_mut() => outcome,
            () = control.stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let outcome = tokio::select! {
        biased;
        outcome = served => outcome,
        () = answers_flushed(&control.closing) => return,
    };
    if let Err(error) = outcome {
        log::debug!("connection ended: {error}");
    }
}

/// Waits until the last answers have had time to go out.
async fn answers_flushed(closing: &Closing) {
    closing.begun().await;
    sleep(FLUSH_TIME).await;
}

/// Least buffer of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 16 << 10;
