//! The servers of an instance: calls of callers and of other instances, and queries.

use {
    crate::{
        MIN_INSTANCES_COUNT, Platform, directory,
        listener::{self, ListenerControl},
        shared::Shared,
    },
    hyper::{Request, body::Incoming},
    keyvalue::KeyValue,
    relay::{CallSource, Relay, RelaySettings},
    routes::CallLimits,
    std::{sync::Arc, time::Duration},
    target::Client,
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
};

/// Share of the version bound after which calls avoid older weights.
const OLD_WEIGHTS_SHARE: f64 = 0.8;
/// Share of the file descriptors that caller connections may use. The rest is for files,
/// connections to the key-value service and connections to targets.
const CALLER_DESCRIPTORS_SHARE: f64 = 0.6;
/// Share of the file descriptors that connections of other instances' calls may use.
const PEER_DESCRIPTORS_SHARE: f64 = 0.1;
/// Connections served concurrently on each of the listeners for readiness, addresses and metrics.
const MAX_QUERY_CONNECTIONS_COUNT: usize = 256;
/// Longest request head on those listeners, in bytes.
const MAX_QUERY_HEAD_BYTES: usize = 16 << 10;
/// Time that an idle connection to those listeners is kept.
const QUERY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Creates the relay that answers the calls of callers and of other instances.
pub(crate) fn relay<Kv, Format>(shared: &Shared<Kv, Format>, client: Client) -> Relay<Format>
where
    Format: Platform,
{
    let settings = &shared.settings;
    let relay_settings = RelaySettings {
        failure_domain: settings.failure_domain.clone(),
        regions: settings.regions.clone(),
        instance_seed: shared.instance_seed(),
        retry_bounds: settings.retries,
        cold_allowance: settings.cold_allowance,
        stale_weights_grace: settings.version_bound.mul_f64(OLD_WEIGHTS_SHARE),
        max_held_bytes: settings.memory_bytes / 8 * 3,
        large_fleet_instances_count: u32::try_from(MIN_INSTANCES_COUNT).unwrap_or(u32::MAX),
    };
    Relay::new(
        relay_settings,
        shared.format.clone(),
        client,
        shared.relay_state.clone(),
        shared.log.clone(),
        shared.meters.clone(),
    )
}

pub(crate) async fn serve_calls<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    relay: Relay<Format>,
    listener: TcpListener,
    source: CallSource,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let settings = &shared.settings;
    let descriptors = f64::from(u32::try_from(settings.max_descriptors_count).unwrap_or(u32::MAX));
    let share = match source {
        CallSource::Caller => CALLER_DESCRIPTORS_SHARE,
        CallSource::Instance => PEER_DESCRIPTORS_SHARE,
    };
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let max_connections_count = (descriptors * share) as usize;
    let control = listener_control(&shared, max_connections_count, stop);
    let view = shared.relay_state.view.clone();
    let limits = move || {
        let table = view.load().route_table.clone();
        table.map(|table| table.config().limits).unwrap_or_default()
    };
    listener::serve(
        listener,
        control,
        limits,
        move |request: Request<Incoming>| {
            let relay = relay.clone();
            async move { relay.serve(request, source).await }
        },
    )
    .await;
}

pub(crate) async fn serve_queries<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    listener: TcpListener,
    stop: CancellationToken,
) where
    Kv: KeyValue,
    Format: Platform,
{
    let control = listener_control(&shared, MAX_QUERY_CONNECTIONS_COUNT, stop);
    let limits = || CallLimits {
        max_head_bytes: MAX_QUERY_HEAD_BYTES,
        idle_timeout: QUERY_IDLE_TIMEOUT,
        ..CallLimits::default()
    };
    listener::serve(
        listener,
        control,
        limits,
        move |request: Request<Incoming>| {
            let answer = directory::answer(&shared, &request);
            async move { answer }
        },
    )
    .await;
}

fn listener_control<Kv, Format>(
    shared: &Shared<Kv, Format>,
    max_connections_count: usize,
    stop: CancellationToken,
) -> ListenerControl {
    ListenerControl {
        max_connections_count,
        draining: shared.draining.clone(),
        stop,
        answer_cutoff: shared.relay_state.answer_cutoff.clone(),
    }
}
