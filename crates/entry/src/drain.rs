//! Shutdown of an instance: callers are led elsewhere, and calls in progress end.

use {
    crate::{
        OwnShutdown, Platform, directory::CALLER_REFRESH_TIME, listener::FLUSH_TIME, shared::Shared,
    },
    eventlog::Event,
    relay::boot_time,
    std::time::Duration,
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Time for callers to learn the addresses of other instances before connections are refused. Some
/// callers cache a response for three times its maximum age.
const REDIRECT_TIME: Duration = Duration::from_millis(3_500);
/// Time by which the signal may be handled later than it was sent. Callers count from when it was sent.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);
/// Time before the forced kill at which responses in progress are cut off and the exit begins.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

impl OwnShutdown {
    /// Schedule of the shutdown of `instance` that begins at `now`.
    #[must_use]
    pub fn new(instance: &str, now: Duration, grace_period: Duration) -> Self {
        let refresh_time = CALLER_REFRESH_TIME.min(grace_period / 2);
        Self {
            instance: instance.to_owned(),
            started_at: now,
            grace_period,
            announced_at: now + refresh_time.saturating_sub(SIGNAL_DELAY),
            answer_deadline: now + answers_time(grace_period),
        }
    }
}

/// Time for answers in progress.
fn answers_time(grace_period: Duration) -> Duration {
    grace_period.saturating_sub(EXIT_MARGIN)
}

/// Directs callers to other instances, then returns once every call in progress has been answered.
/// The relay refuses calls that would not end in time; responses still in progress are cut off
/// shortly before the forced kill.
pub(crate) async fn drain<Kv, Format>(
    shared: &Shared<Kv, Format>,
    stop_accepting: &CancellationToken,
    servers: &mut JoinSet<()>,
) where
    Format: Platform,
{
    let grace_period = shared.settings.grace;
    let answers_time = answers_time(grace_period);
    shared.log.emit(&Event::Draining {
        grace_ms: u64::try_from(grace_period.as_millis()).unwrap_or(u64::MAX),
    });
    shared.draining.cancel();
    let shutdown = OwnShutdown::new(&shared.settings.instance, boot_time(), grace_period);
    let answer_deadline = shutdown.answer_deadline;
    shared.known().begin_shutdown(shutdown);
    shared.publish();
    let _ = timeout(answers_time, redirect_callers(shared)).await;
    stop_accepting.cancel();
    let rest = answer_deadline.saturating_sub(boot_time());
    if timeout(rest, wait_for_servers(servers)).await.is_ok() {
        return;
    }
    log::warn!("calls in progress took too long; cutting off their responses");
    shared.relay_state.answer_cutoff.trigger();
    if timeout(FLUSH_TIME * 2, wait_for_servers(servers))
        .await
        .is_err()
    {
        log::warn!("some connections did not close in time; they close when the process exits");
    }
}

/// Waits until callers have had time to learn the addresses of other instances. While no other
/// instance is ready, callers have nowhere else to go, so this one keeps answering what it can.
async fn redirect_callers<Kv, Format>(shared: &Shared<Kv, Format>) {
    if shared.relay_state.view().route_table.is_none() {
        // Without a configuration this instance was never ready, so callers do not know it.
        return;
    }
    let redirect_time = REDIRECT_TIME.min(shared.settings.grace / 2);
    sleep(redirect_time).await;
    if shared.has_ready_peer() {
        return;
    }
    shared.wait_for_ready_peer().await;
    sleep(redirect_time).await;
}

async fn wait_for_servers(servers: &mut JoinSet<()>) {
    while servers.join_next().await.is_some() {}
}
