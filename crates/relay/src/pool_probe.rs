//! The question which process of a target answers at its address.

use {
    crate::{HeaderFormat, TargetState, boot_time},
    routes::{Pool, PoolId, PoolKind},
    std::collections::BTreeMap,
    target::IncarnationProbe,
};

/// Asks `target` of `pool` which process it is, at the health path of its pool if it has no report; `None` if it
/// cannot be asked. A health check counts as a call to a cold target, a report does not.
pub(crate) fn incarnation_probe<Format>(
    header_format: &Format,
    target: &TargetState,
    pools: &BTreeMap<PoolId, Pool>,
    pool: &PoolId,
) -> Option<IncarnationProbe>
where
    Format: HeaderFormat,
{
    let pool = pools.get(pool);
    let health_path = pool.map_or("", |it| it.health_path.as_str());
    let probe = header_format.incarnation_probe(target, health_path)?;
    if pool.is_some_and(|it| it.kind == PoolKind::Service) {
        target.call_stats.charge_cold(boot_time());
    }
    Some(probe)
}

/// Asks `target` of `pool` which process it is; `None` if its registration does not say that, or if it has no
/// report, which alone says it.
pub(crate) fn process_probe<Format>(
    header_format: &Format,
    target: &TargetState,
    pools: &BTreeMap<PoolId, Pool>,
    pool: &PoolId,
) -> Option<IncarnationProbe>
where
    Format: HeaderFormat,
{
    let has_report = pools
        .get(pool)
        .is_none_or(|it| it.kind != PoolKind::Service);
    let probe = has_report.then(|| header_format.incarnation_probe(target, ""))?;
    probe.filter(|it| target.started_unix_ms > 0 && it.expected.started_unix_ms.is_some())
}
