//! Tells the other instances of the limits that targets state, through the key-value service.
//!
//! Only few instances send calls to a target with a low limit, so only they hear when it ends.

use {
    crate::{
        AnnouncedLimit, KnownState, LimitRecord,
        own_keys::limit_key,
        record_lease::{MAX_WRITTEN_COUNT, REFRESH_AGE, RecordChange, RecordLease},
        shared::Shared,
    },
    balance::limit_part,
    catalog::{InstanceId, TargetId},
    keyvalue::{KeyValue, KvError},
    relay::{LimitObservation, TargetState, View, boot_time},
    std::{sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Interval between checks, which also bounds the writes for one target.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time after an announcement within which an answer may be older than it.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// Relative change of a limit that is announced.
const MIN_CHANGE_SHARE: f64 = 0.1;

/// Announces limits until `token` is cancelled.
pub(crate) async fn announce<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Send + Sync + 'static,
{
    let mut lease = RecordLease::default();
    loop {
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = sleep(CHECK_PERIOD) => {}
        }
        let written = tokio::select! {
            () = token.cancelled() => return Ok(()),
            written = write_changes(&shared, &mut lease) => written,
        };
        if let Err(error) = written {
            log::info!("failed to announce limits of targets, retrying: {error}");
        }
    }
}

/// What has to be written about a target.
#[derive(Clone, Debug, PartialEq)]
enum Change {
    /// The target states this limit, in calls per second.
    Stated(TargetId, f64),
    /// The target states no limit any more.
    Ended(TargetId),
}

async fn write_changes<Kv, Format>(
    shared: &Shared<Kv, Format>,
    lease: &mut RecordLease,
) -> Result<(), KvError>
where
    Kv: KeyValue,
{
    let changes = changes(shared);
    if changes.is_empty() {
        return Ok(());
    }
    let changes = changes.into_iter().take(MAX_WRITTEN_COUNT);
    let changes = changes.map(|change| record_change(change, &shared.settings.instance));
    lease.write(&shared.kv, changes.collect()).await
}

/// Returns the change of the record that announces `change`.
fn record_change(change: Change, instance: &InstanceId) -> RecordChange {
    match change {
        Change::Stated(target, limit_per_s) => {
            let record = LimitRecord {
                limit_per_s,
                instance: instance.clone(),
            };
            // A struct of a finite number and a string always has a JSON form.
            let value = serde_json::to_vec(&record).unwrap_or_default();
            RecordChange::Put(limit_key(&target), value.into())
        }
        Change::Ended(target) => RecordChange::Delete(limit_key(&target)),
    }
}

/// Returns the changes that this instance has heard of and nobody has announced.
fn changes<Kv, Format>(shared: &Shared<Kv, Format>) -> Vec<Change> {
    let view = shared.relay_state.view();
    let own_seed = shared.instance_seed();
    let known = shared.known();
    let now = boot_time();
    let observed = known.targets().filter_map(|target| {
        let observation = target.call_stats.limit_observation()?;
        let is_sender = is_sender(target, &observation, own_seed, &view);
        change(&known, target, &observation, is_sender, now)
    });
    observed.collect()
}

/// Whether this instance sends calls to the target within the limit, so that it hears of its end.
fn is_sender(
    target: &TargetState,
    observation: &LimitObservation,
    own_seed: u64,
    view: &View,
) -> bool {
    let part = |limit_per_s| limit_part(limit_per_s, target.seed, own_seed, &view.instance_seeds);
    observation
        .limit_per_s
        .is_some_and(|limit| part(limit) > 0.0)
}

fn change(
    known: &KnownState,
    target: &TargetState,
    observation: &LimitObservation,
    is_sender: bool,
    now: Duration,
) -> Option<Change> {
    let announced = known.announced_limit(&target.id);
    match (observation.limit_per_s, announced) {
        (Some(limit), announced) if is_sender => {
            let is_news = announced.is_none_or(|it| is_outdated(&it, limit, observation, now));
            is_news.then(|| Change::Stated(target.id.clone(), limit))
        }
        (None, Some(announced)) => {
            let has_ended = observation.answered_at > announced.learned_at + SETTLING_TIME;
            has_ended.then(|| Change::Ended(target.id.clone()))
        }
        _ => None,
    }
}

/// Whether an announcement must be replaced, since the target states another limit or the record
/// would expire.
fn is_outdated(
    announced: &AnnouncedLimit,
    limit_per_s: f64,
    observation: &LimitObservation,
    now: Duration,
) -> bool {
    let difference = (announced.limit_per_s - limit_per_s).abs();
    let has_changed = difference > announced.limit_per_s * MIN_CHANGE_SHARE
        && observation.answered_at > announced.learned_at + SETTLING_TIME;
    has_changed || now.saturating_sub(announced.learned_at) > REFRESH_AGE
}
