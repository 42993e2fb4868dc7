//! Keeps this instance's lease and its entry among the instances.

use {
    crate::{MemberRecord, Tenure, item::member_key, shared::Shared},
    keyvalue::{KeyValue, KvError, Op, Txn},
    relay::boot_time,
    std::{sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// Time to live of the lease: an instance that dies is named to callers no longer than this.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// Renewals in the time to live.
const RENEWALS_COUNT: u32 = 3;
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(400);

/// Keeps the lease until `token` is cancelled, then ends it.
pub(crate) async fn keep<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Send + Sync + 'static,
{
    loop {
        let error = tokio::select! {
            () = token.cancelled() => break,
            error = hold(&shared) => error,
        };
        log::info!("lease of this instance lost: {error}");
        shared.set_tenure(None);
        sleep(PAUSE).await;
    }
    if let Some(tenure) = shared.tenure()
        && let Err(error) = shared.kv.revoke(tenure.lease).await
    {
        log::info!("lease {} is left to lapse: {error}", tenure.lease);
    }
    Ok(())
}

/// Takes a lease and renews it until it is lost.
async fn hold<Kv, Format>(shared: &Shared<Kv, Format>) -> KvError
where
    Kv: KeyValue,
{
    let ttl = LEASE_TTL.max(shared.settings.min_lease);
    let sent_at = boot_time();
    let lease = match shared.kv.grant(ttl).await {
        Ok(lease) => lease,
        Err(error) => return error,
    };
    let mut tenure = Tenure::new(lease.id, sent_at, lease.ttl);
    let mut entered: Option<bool> = None;
    loop {
        let ready = shared.is_ready();
        if entered != Some(ready) {
            if let Err(error) = enter(shared, tenure, ready).await {
                if !tenure.holds(boot_time(), Duration::ZERO) {
                    return error;
                }
                log::info!("entry of this instance not written: {error}");
            } else {
                entered = Some(ready);
            }
        }
        shared.set_tenure(Some(tenure));
        let renewal = sleep(lease.ttl / RENEWALS_COUNT);
        tokio::select! {
            () = renewal => {}
            () = becomes_other(shared, entered) => continue,
        }
        let sent_at = boot_time();
        match shared.kv.keep_alive(tenure.lease).await {
            Ok(renewed) => tenure = Tenure::new(tenure.lease, sent_at, renewed.ttl),
            Err(error @ KvError::Refused { .. }) => return error,
            Err(error) if !tenure.holds(boot_time(), Duration::ZERO) => return error,
            Err(error) => log::info!("lease not renewed yet: {error}"),
        }
    }
}

/// Waits until the entry says the wrong thing about whether this instance takes callers.
async fn becomes_other<Kv, Format>(shared: &Shared<Kv, Format>, entered: Option<bool>) {
    loop {
        let changed = shared.changed.notified();
        if entered.is_some_and(|entered| entered != shared.is_ready()) {
            return;
        }
        changed.await;
    }
}

/// Writes the entry of this instance.
async fn enter<Kv, Format>(
    shared: &Shared<Kv, Format>,
    tenure: Tenure,
    ready: bool,
) -> Result<(), KvError>
where
    Kv: KeyValue,
{
    let record = MemberRecord {
        address: shared.settings.listen,
        failure_domain: shared.settings.failure_domain.clone(),
        ready,
        feed: Some(shared.settings.feed_listen),
    };
    let value = serde_json::to_vec(&record).map_err(|error| KvError::Refused {
        reason: error.to_string(),
    })?;
    let key = member_key(&shared.settings.instance);
    let put = Txn {
        success: vec![Op::Put(key, value.into(), Some(tenure.lease))],
        ..Txn::default()
    };
    shared.kv.txn(put).await.map(|_| ())
}
