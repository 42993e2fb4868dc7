//! Accepts connections and serves them until they are closed or the instance stops.

use {
    callers::{AnswerFraming, CallerStream, close_after},
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    relay::{AnswerCutoff, Eviction},
    routes::CallLimits,
    socket2::SockRef,
    std::{
        convert::Infallible,
        error::Error,
        future::{Future, pending},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Delay after a failed accept, for example when the process runs out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest time that bytes sent to a caller may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that the operating system takes for a caller ahead of those that can be sent.
const MAX_UNSENT_BYTES: u32 = 64 << 10;

/// Time to flush the last bytes of a response once responses are cut off.
pub(crate) const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Connection limit and shutdown signals of one listener.
#[derive(Clone, Debug)]
pub(crate) struct ListenerControl {
    /// Connections served concurrently; more wait to be accepted.
    pub(crate) max_connections_count: usize,
    /// Once cancelled, each connection closes after its next response.
    pub(crate) draining: CancellationToken,
    /// Once cancelled, no connection is accepted and idle ones are closed.
    pub(crate) stop: CancellationToken,
    /// Once triggered, responses in progress are cut off; their connections close soon after.
    pub(crate) answer_cutoff: AnswerCutoff,
}

/// Serves each connection with `service`, within the limits in force when it was accepted. Returns
/// after `stop` once all requests in progress have ended.
pub(crate) async fn serve<Limits, Service, ServiceFuture, ResponseBody>(
    listener: TcpListener,
    control: ListenerControl,
    limits: Limits,
    service: Service,
) where
    Limits: Fn() -> CallLimits + Send + Sync,
    Service: Fn(Request<Incoming>) -> ServiceFuture + Clone + Send + Sync + 'static,
    ServiceFuture: Future<Output = Response<ResponseBody>> + Send + 'static,
    ResponseBody: Body + Send + 'static,
    ResponseBody::Data: Send,
    ResponseBody::Error: Into<Box<dyn Error + Send + Sync>>,
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
            log::warn!("failed to accept a connection, retrying: {error}");
            None
        }
    }
}

async fn serve_one<Service, ServiceFuture, ResponseBody>(
    stream: TcpStream,
    control: ListenerControl,
    limits: CallLimits,
    service: Service,
) where
    Service: Fn(Request<Incoming>) -> ServiceFuture + Send + Sync + 'static,
    ServiceFuture: Future<Output = Response<ResponseBody>> + Send + 'static,
    ResponseBody: Body + Send + 'static,
    ResponseBody::Data: Send,
    ResponseBody::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let socket = SockRef::from(&stream);
    let configured = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES));
    if let Err(error) = configured {
        log::debug!("failed to set socket options, closing the connection: {error}");
        return;
    }
    let (draining, framing) = (&control.draining, &AnswerFraming::default());
    let eviction = &watch::Sender::new(Eviction::default());
    let service = service_fn(|request| {
        let version = request.version();
        let response_future = service(request);
        async move {
            let mut response = response_future.await;
            if let Some(of_answer) = response.extensions_mut().remove::<Eviction>() {
                eviction.send_replace(of_answer);
            }
            framing.observe(version, &mut response);
            if draining.is_cancelled() {
                close_after(version, &mut response);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(CallerStream::new(stream, framing)), service);
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
        () = answers_flushed(&control.answer_cutoff) => return,
        () = evicted(eviction.subscribe()) => return,
    };
    if let Err(error) = outcome {
        log::debug!("connection ended with an error: {error}");
        framing.deliver().await;
    }
}

/// Waits until responses are cut off and their last bytes have had time to be flushed.
async fn answers_flushed(answer_cutoff: &AnswerCutoff) {
    answer_cutoff.triggered().await;
    sleep(FLUSH_TIME).await;
}

/// Waits until the latest answer must give up the memory that it holds.
async fn evicted(mut eviction: watch::Receiver<Eviction>) {
    loop {
        let latest = eviction.borrow_and_update().clone();
        tokio::select! {
            () = latest.required() => return,
            changed = eviction.changed() => if changed.is_err() {
                return pending().await;
            },
        }
    }
}

/// Smallest read buffer of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 16 << 10;
