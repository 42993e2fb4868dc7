//! Marks the versions that the operators requested recently in the key-value service, so that a
//! starting instance can tell whether older weights may still be used.
//!
//! Each mark is bound to its own lease, which expires when older weights must no longer be used. No
//! instance has to compare its clock with that of another one.

use {
    crate::{
        RecentVersion,
        own_keys::recent_key,
        shared::{RANK_DELAY, Shared},
    },
    catalog::ModelId,
    keyvalue::{Compare, KeyValue, KvError, Op, Txn},
    relay::{WantedVersions, boot_time},
    std::{sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::time::{sleep, timeout},
    tokio_util::sync::CancellationToken,
};

/// Share of the version bound for which a version stays marked. The rest covers calls that wait at
/// their target, since a starting instance does not know how long they do.
const RECENT_SHARE: f64 = 0.6;
/// Timeout for granting the lease. The lease counts from when the service handles the request, so a
/// late grant would expire late.
const GRANT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Marks versions until `token` is cancelled.
pub(crate) async fn mark<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Send + Sync + 'static,
{
    loop {
        let changed = shared.changed.notified();
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = mark_all(&shared) => {}
        }
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
        }
    }
}

/// A version that is not marked yet.
#[derive(Clone, Debug, Eq, PartialEq)]
struct UnmarkedVersion {
    model: ModelId,
    record: RecentVersion,
    /// Remaining time for which the version counts as recent.
    time_left: Duration,
}

async fn mark_all<Kv, Format>(shared: &Shared<Kv, Format>)
where
    Kv: KeyValue,
{
    if unmarked(shared).is_empty() {
        return;
    }
    sleep(RANK_DELAY * shared.rank()).await;
    loop {
        let sent_at = boot_time();
        let Some(version) = unmarked(shared).into_iter().next() else {
            return;
        };
        if let Err(error) = mark_one(shared, &version, sent_at).await {
            log::info!(
                "failed to mark the version of {} as recent: {error}",
                version.model
            );
            sleep(RETRY_DELAY).await;
            return;
        }
    }
}

/// Returns the newest version of each model, if it was requested recently and is not marked yet.
fn unmarked<Kv, Format>(shared: &Shared<Kv, Format>) -> Vec<UnmarkedVersion> {
    let limit = shared.settings.version_bound.mul_f64(RECENT_SHARE);
    let known = shared.known();
    let wanted = known.wanted().iter();
    let unmarked = wanted.filter_map(|(model, wanted)| {
        let (record, time_left) = recent_record(wanted, limit)?;
        let model = model.clone();
        Some(UnmarkedVersion {
            model,
            record,
            time_left,
        })
    });
    unmarked
        .filter(|version| version.time_left >= shared.settings.min_lease)
        .collect()
}

/// Returns the record that marks the newest of the `wanted` versions, with the time for which the
/// version still counts as recent; `None` if its age is unknown or it is marked already.
fn recent_record(wanted: &WantedVersions, limit: Duration) -> Option<(RecentVersion, Duration)> {
    let age = wanted.max_age(boot_time())?;
    let record = RecentVersion {
        version: wanted.newest_version(),
        replaces: wanted.previous_version(),
    };
    let time_left = limit.saturating_sub(age);
    (!wanted.is_recent(record.version)).then_some((record, time_left))
}

/// Marks one version. `sent_at` must not be later than the time at which its `time_left` was
/// computed.
async fn mark_one<Kv, Format>(
    shared: &Shared<Kv, Format>,
    unmarked: &UnmarkedVersion,
    sent_at: Duration,
) -> Result<(), KvError>
where
    Kv: KeyValue,
{
    let incarnation = shared.incarnation();
    let granted = timeout(GRANT_TIMEOUT, shared.kv.grant(unmarked.time_left)).await;
    let lease = granted.map_err(|_| KvError::Unknown {
        reason: "the lease was not granted in time".to_owned(),
    })??;
    let took = boot_time().saturating_sub(sent_at);
    if took > GRANT_TIMEOUT || lease.ttl > unmarked.time_left {
        let reason = "the lease would expire too late".to_owned();
        return Err(KvError::Refused { reason });
    }
    if !shared.incarnation().is_same(&incarnation) {
        let reason = "the lease is of an earlier incarnation".to_owned();
        return Err(KvError::Refused { reason });
    }
    let record = &unmarked.record;
    let value = serde_json::to_vec(record).map_err(|error| KvError::Refused {
        reason: error.to_string(),
    })?;
    let key = recent_key(&unmarked.model, record.version);
    let put = Op::Put(key.clone(), value.into(), Some(lease.id));
    let mark = Txn {
        compares: vec![Compare::Absent(key)],
        success: vec![put],
        ..Txn::default()
    };
    let is_first = shared.kv.txn(mark).await?.succeeded;
    if !is_first {
        shared.kv.revoke(lease.id).await?;
    }
    let mut known = shared.known();
    known.mark_recent(&unmarked.model, record, boot_time());
    Ok(())
}
