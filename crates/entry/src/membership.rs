//! Maintains this instance's lease and its member record in the key-value service.

use {
    crate::{InstanceLease, MemberRecord, own_keys::member_key, shared::Shared},
    keyvalue::{Incarnation, KeyValue, KvError, Op, Txn},
    relay::boot_time,
    std::{sync::Arc, time::Duration},
    supervisor::ChildResult,
    tokio::time::sleep,
    tokio_util::sync::CancellationToken,
};

/// TTL of the lease. Callers are directed to a dead instance for no longer than this.
pub(crate) const LEASE_TTL: Duration = Duration::from_secs(2);
/// Renewals per TTL.
const RENEWALS_PER_TTL_COUNT: u32 = 3;
/// Delay before a new lease is requested after one was lost.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maintains the lease until `token` is cancelled, then revokes it.
pub(crate) async fn maintain<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    token: CancellationToken,
) -> ChildResult
where
    Kv: KeyValue,
    Format: Send + Sync + 'static,
{
    loop {
        let incarnation = shared.incarnation();
        let error = tokio::select! {
            () = token.cancelled() => break,
            error = hold_lease(&shared, incarnation) => error,
        };
        log::info!("instance lease lost, requesting a new one: {error}");
        let is_restored = !shared.incarnation().is_same(&incarnation);
        shared.set_lease(None);
        let delay = if is_restored {
            shared.return_pace().registration_delay()
        } else {
            RETRY_DELAY
        };
        tokio::select! {
            () = token.cancelled() => break,
            () = sleep(delay) => {}
        }
    }
    if let Some(lease) = shared.lease()
        && let Err(error) = shared.kv.revoke(lease.id).await
    {
        log::info!(
            "failed to revoke lease {}, it expires by itself: {error}",
            lease.id
        );
    }
    Ok(())
}

/// Obtains a lease and renews it until it is lost. Returns the error that ended it.
async fn hold_lease<Kv, Format>(shared: &Shared<Kv, Format>, incarnation: Incarnation) -> KvError
where
    Kv: KeyValue,
{
    let ttl = LEASE_TTL.max(shared.settings.min_lease);
    let sent_at = boot_time();
    let granted = match shared.kv.grant(ttl).await {
        Ok(granted) => granted,
        Err(error) => return error,
    };
    let lease_from =
        |sent_at, ttl| InstanceLease::new(granted.id, sent_at, ttl).incarnation(incarnation);
    let mut lease = lease_from(sent_at, granted.ttl);
    let mut written_ready: Option<bool> = None;
    loop {
        let ready = shared.is_ready();
        if written_ready != Some(ready) {
            if let Err(error) = write_member(shared, lease, ready).await {
                let is_restored = matches!(error, KvError::Restored { .. });
                if is_restored || !lease.is_valid(boot_time(), Duration::ZERO) {
                    return error;
                }
                log::info!("failed to write the member record, retrying: {error}");
            } else {
                written_ready = Some(ready);
                shared.note_registered(incarnation);
            }
        }
        shared.set_lease(Some(lease));
        let renewal = sleep(granted.ttl / RENEWALS_PER_TTL_COUNT);
        tokio::select! {
            () = renewal => {}
            error = shared.restored(incarnation) => return error,
            () = readiness_changed(shared, written_ready) => continue,
        }
        let sent_at = boot_time();
        match shared.kv.keep_alive(lease.id).await {
            Ok(renewed) => lease = lease_from(sent_at, renewed.ttl),
            Err(error @ KvError::Refused { .. }) => {
                if lease.is_valid(boot_time(), Duration::ZERO) {
                    log::warn!(
                        "lease {} is gone before its time to live is over; reading everything again",
                        lease.id
                    );
                    shared.doubted.notify_one();
                }
                return error;
            }
            Err(error @ KvError::Restored { .. }) => return error,
            Err(error) if !lease.is_valid(boot_time(), Duration::ZERO) => return error,
            Err(error) => log::info!("failed to renew the lease, retrying: {error}"),
        }
    }
}

/// Waits until the readiness of this instance differs from `written_ready`, the one in its member
/// record. Never returns if no record was written.
async fn readiness_changed<Kv, Format>(shared: &Shared<Kv, Format>, written_ready: Option<bool>) {
    loop {
        let changed = shared.changed.notified();
        if written_ready.is_some_and(|written_ready| written_ready != shared.is_ready()) {
            return;
        }
        changed.await;
    }
}

/// Writes the member record of this instance.
async fn write_member<Kv, Format>(
    shared: &Shared<Kv, Format>,
    lease: InstanceLease,
    ready: bool,
) -> Result<(), KvError>
where
    Kv: KeyValue,
{
    let fencing = shared.known().fencing().clone();
    let record = MemberRecord {
        address: shared.settings.listen,
        failure_domain: shared.settings.failure_domain.clone(),
        ready,
        feed: Some(shared.settings.feed_listen),
        peer_calls: shared.settings.peer_listen,
        link_bits_per_s: shared.settings.link_bits_per_s,
        highest_fencing: fencing.highest,
        fencing_holder: fencing.holder,
    };
    let value = serde_json::to_vec(&record).map_err(|error| KvError::Refused {
        reason: error.to_string(),
    })?;
    let key = member_key(&shared.settings.instance);
    let put = Txn {
        success: vec![Op::Put(key, value.into(), Some(lease.id))],
        ..Txn::default()
    };
    shared.kv.txn(put).await.map(|_| ())
}
