//! Starts the tasks of an instance and ends them in order.

use {
    crate::{
        OwnLeaving, Platform, Settings,
        directory::{self, LEARNING_TIME},
        follower,
        listener::{self, CUT_TIME, Listening},
        membership, orders, peer_watch, place_watch, recent_versions,
        shared::Shared,
    },
    eventlog::{Event, EventLog},
    feed::Feed,
    hyper::{Request, body::Incoming},
    keyvalue::KeyValue,
    relay::{Relay, RelaySettings, boot_time},
    routes::CallLimits,
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    supervisor::{
        Child, ChildResult, Restart, RestartLimit, Supervisor, SupervisorError, run_on_thread,
    },
    target::{Client, ClientSettings},
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Longest time to open a connection to a target.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Longest time that an unused connection to a target is kept.
const IDLE_TIME: Duration = Duration::from_secs(4);
/// Longest time that a target may leave sent bytes unacknowledged.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_secs(3);
/// Time that callers get to learn other addresses before connections are refused: some keep an
/// answer for three times its age.
const LEAVING_TIME: Duration = Duration::from_millis(3_500);
/// Time before the end by force at which answers in progress are cut and the exit begins.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time before the end by force that is left for the log.
const LOG_MARGIN: Duration = Duration::from_millis(100);
/// Share of the version bound after which calls avoid older weights.
const OLD_WEIGHTS_SHARE: f64 = 0.8;
/// Descriptors kept for files, the service's connections and connections to targets, as a share.
const CALLER_DESCRIPTORS_SHARE: f64 = 0.6;
/// Connections of callers' and the platform's questions served at once.
const MAX_QUESTIONS_COUNT: usize = 256;
/// Longest head of a question, in bytes.
const MAX_QUESTION_BYTES: usize = 16 << 10;
/// Longest time that a connection for questions may stay unused.
const QUESTION_IDLE_TIME: Duration = Duration::from_secs(10);

/// An instance can't run.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be listened on.
    #[snafu(display("{address} can't be listened on: {source}; free it or change the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The socket's error.
        source: io::Error,
    },
    /// The control thread ended.
    #[snafu(display("{source}; see the log, the instance is started again"))]
    Control {
        /// Its error.
        source: SupervisorError,
    },
}

/// Runs an instance until `stop`, then drains it.
///
/// # Errors
/// [`StartError`] if it can't start or its control thread keeps failing.
pub async fn run<Kv, Format>(
    settings: Settings,
    kv: Kv,
    format: Format,
    log: EventLog,
    stop: CancellationToken,
) -> Result<(), StartError>
where
    Kv: KeyValue,
    Format: Platform,
{
    log.emit(&Event::Started {
        instance: settings.instance.clone(),
        failure_domain: settings.failure_domain.clone(),
        version: env!("CARGO_PKG_VERSION"),
    });
    let front = listen(settings.listen).await?;
    let ready = listen(settings.ready_listen).await?;
    let directory = listen(settings.directory_listen).await?;
    let feed = Arc::new(listen(settings.feed_listen).await?);
    let metrics = match settings.metrics_listen {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let shared = Arc::new(Shared::new(settings, kv, format, log));
    let ended = CancellationToken::new();
    let control = tokio::spawn(run_on_thread(control(&shared, feed), ended.clone()));
    let mut servers = JoinSet::new();
    let drained = CancellationToken::new();
    servers.spawn(serve_calls(shared.clone(), front, drained.clone()));
    for listener in [ready, directory].into_iter().chain(metrics) {
        servers.spawn(serve_questions(shared.clone(), listener, drained.clone()));
    }
    tokio::select! {
        () = stop.cancelled() => {}
        () = ended.cancelled() => {}
    }
    let since = boot_time();
    leave(&shared, &drained, &mut servers).await;
    ended.cancel();
    let control_until = since + shared.settings.grace.saturating_sub(LOG_MARGIN);
    let rest = control_until.saturating_sub(boot_time());
    let outcome = end_control(control, rest).await;
    let took = boot_time().saturating_sub(since);
    shared.log.emit(&Event::Stopped {
        reason: "asked to stop".to_owned(),
        took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        cut_count: shared.followed.answer_cutoff.cut_count(),
    });
    outcome.context(ControlSnafu)
}

/// Waits for the end of the control thread. What it can't give back within `rest`, such as a lease while the
/// key-value service is silent, lapses.
async fn end_control(
    control: JoinHandle<Result<(), SupervisorError>>,
    rest: Duration,
) -> Result<(), SupervisorError> {
    match timeout(rest, control).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(error)) => {
            log::error!("the control thread ended early: {error}");
            Ok(())
        }
        Err(_) => {
            log::warn!("the control thread did not end in {} ms", rest.as_millis());
            Ok(())
        }
    }
}

/// Leads callers elsewhere, then ends once every call in progress has been answered. Calls that would not
/// end in time are refused by the relay; what is left of the others is cut shortly before the end by force.
async fn leave<Kv, Format>(
    shared: &Shared<Kv, Format>,
    drained: &CancellationToken,
    servers: &mut JoinSet<()>,
) where
    Format: Platform,
{
    let grace = shared.settings.grace;
    let answers_time = grace.saturating_sub(EXIT_MARGIN);
    let now = boot_time();
    shared.log.emit(&Event::Draining {
        grace_ms: u64::try_from(grace.as_millis()).unwrap_or(u64::MAX),
    });
    shared.draining.cancel();
    let answers_until = now + answers_time;
    shared.known().leave(OwnLeaving {
        instance: shared.settings.instance.clone(),
        since: now,
        grace,
        known_from: now + LEARNING_TIME.min(grace / 2),
        answers_until,
    });
    shared.publish();
    let _ = timeout(answers_time, lead_elsewhere(shared)).await;
    drained.cancel();
    let rest = answers_until.saturating_sub(boot_time());
    if timeout(rest, all_ended(servers)).await.is_ok() {
        return;
    }
    log::warn!("calls in progress took too long; their answers are cut");
    shared.followed.answer_cutoff.trigger();
    if timeout(CUT_TIME * 2, all_ended(servers)).await.is_err() {
        log::warn!("connections are left open for the end of the process to close");
    }
}

/// Waits until callers have had the time to learn the addresses of other instances. While there are none,
/// callers have nowhere to go: what can still be answered is better answered here.
async fn lead_elsewhere<Kv, Format>(shared: &Shared<Kv, Format>) {
    if shared.followed.view().route_table.is_none() {
        // Callers were never told of this instance.
        return;
    }
    let leaving_time = LEAVING_TIME.min(shared.settings.grace / 2);
    sleep(leaving_time).await;
    if shared.has_others() {
        return;
    }
    shared.others_take_callers().await;
    sleep(leaving_time).await;
}

async fn all_ended(servers: &mut JoinSet<()>) {
    while servers.join_next().await.is_some() {}
}

/// The tree of the control thread.
fn control<Kv, Format>(shared: &Arc<Shared<Kv, Format>>, feed: Arc<TcpListener>) -> Supervisor
where
    Kv: KeyValue,
    Format: Platform,
{
    let limit = RestartLimit {
        restart_count: 20,
        window: Duration::from_secs(10),
    };
    let following = shared.clone();
    let (joining, giving, placing) = (shared.clone(), shared.clone(), shared.clone());
    let (reading, telling) = (shared.clone(), shared.feed.clone());
    let marking = shared.clone();
    let tree = Supervisor::new("control").restart_limit(limit);
    tree.child(Child::new("follower", move |token| {
        follower::follow(following.clone(), token)
    }))
    .child(Child::new("membership", move |token| {
        membership::keep(joining.clone(), token)
    }))
    .child(Child::new("places", move |token| {
        place_watch::watch(placing.clone(), client(), token)
    }))
    .child(Child::new("peers", move |token| {
        peer_watch::watch(reading.clone(), token)
    }))
    .child(Child::new("recent versions", move |token| {
        recent_versions::mark(marking.clone(), token)
    }))
    .child(Child::new("feed", move |token| {
        tell(feed.clone(), telling.clone(), token)
    }))
    .child(
        Child::new("orders", move |token| {
            orders::give(giving.clone(), client(), token)
        })
        .restart(Restart::OnFailure),
    )
}

/// Tells other instances what this one learns, until `token` is cancelled.
async fn tell(
    listener: Arc<TcpListener>,
    feed: Arc<Feed>,
    token: CancellationToken,
) -> ChildResult {
    feed::serve(listener, feed, token).await;
    Ok(())
}

fn client() -> Client {
    let settings = ClientSettings::default()
        .connect(CONNECT_TIME)
        .idle(IDLE_TIME)
        .unacknowledged(UNACKNOWLEDGED_TIME);
    Client::new(settings)
}

async fn serve_calls<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    listener: TcpListener,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let settings = &shared.settings;
    let relay_settings = RelaySettings {
        failure_domain: settings.failure_domain.clone(),
        retry_bounds: settings.retries,
        stale_weights_grace: settings.version_bound.mul_f64(OLD_WEIGHTS_SHARE),
        max_buffered_bytes: settings.memory_bytes / 4,
    };
    let relay = Relay::new(
        relay_settings,
        shared.format.clone(),
        client(),
        shared.followed.clone(),
        shared.log.clone(),
        shared.meters.clone(),
    );
    let descriptors = f64::from(u32::try_from(settings.max_descriptors_count).unwrap_or(u32::MAX));
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let max_connections_count = (descriptors * CALLER_DESCRIPTORS_SHARE) as usize;
    let listening = Listening {
        max_connections_count,
        draining: shared.draining.clone(),
        stop,
        closing: shared.followed.answer_cutoff.clone(),
    };
    let view = shared.followed.view.clone();
    let limits = move || {
        let table = view.load().route_table.clone();
        table.map(|table| table.config().limits).unwrap_or_default()
    };
    listener::serve(
        listener,
        listening,
        limits,
        move |request: Request<Incoming>| {
            let relay = relay.clone();
            async move { relay.serve(request).await }
        },
    )
    .await;
}

async fn serve_questions<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    listener: TcpListener,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let listening = Listening {
        max_connections_count: MAX_QUESTIONS_COUNT,
        draining: shared.draining.clone(),
        stop,
        closing: shared.followed.answer_cutoff.clone(),
    };
    let limits = || CallLimits {
        max_head_bytes: MAX_QUESTION_BYTES,
        idle_timeout: QUESTION_IDLE_TIME,
        ..CallLimits::default()
    };
    listener::serve(
        listener,
        listening,
        limits,
        move |request: Request<Incoming>| {
            let answer = directory::answer(&shared, &request);
            async move { answer }
        },
    )
    .await;
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}
