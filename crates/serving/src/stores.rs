//! Selects stores to import blocks from and to export blocks to.

use {
    crate::{FoundBlocks, PeerDirectory, RequestHandler, plan::CompletionContext},
    catalog::{Target, TargetKind},
    directory::{Leading, StoreState},
    fleet::{LinkRate, TargetView},
    keyvalue::KeyValue,
    std::{sync::Arc, time::Instant},
};

/// Backlog of a store's link, in seconds of transfer time, from which on nothing is exported to it.
const MAX_EXPORT_BACKLOG_S: f64 = 2.0;

/// The link between a store and an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Link {
    /// Rate of the slower end.
    pub(crate) rate: LinkRate,
    /// Bytes that wait at the busier end.
    pub(crate) queued_bytes: u64,
}

impl Link {
    /// Expected seconds until `bytes` are transferred after the bytes that already wait.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn transfer_s(&self, bytes: u64) -> f64 {
        let waiting_bytes = (self.queued_bytes + bytes) as f64;
        waiting_bytes / self.rate.mean_bytes_per_s.max(1.0)
    }

    /// Combines the links of two targets into the link between them.
    pub(crate) fn between(left: &TargetView, right: &TargetView) -> Self {
        let (left_rate, right_rate) = (left.link_rate(), right.link_rate());
        let rate = if left_rate.mean_bytes_per_s < right_rate.mean_bytes_per_s {
            left_rate
        } else {
            right_rate
        };
        Self {
            rate,
            queued_bytes: left.link_queued_bytes().max(right.link_queued_bytes()),
        }
    }
}

/// The store that has the most leading blocks of the prompt, with its link to the engine. Among
/// equal stores, the one with the faster transfer.
pub(crate) fn best_source<'a, Kv, Peers>(
    handler: &RequestHandler<Kv, Peers>,
    context: &CompletionContext,
    found: &'a FoundBlocks,
    engine: &Target,
) -> Option<(&'a Leading, Link)>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    let engine = handler.fleet().view(&engine.name)?;
    found
        .in_stores()
        .filter_map(|leading| {
            let store = usable_store(handler, context, &leading.target)?;
            Some((leading, Link::between(&store, &engine)))
        })
        .max_by(|(left, left_link), (right, right_link)| {
            let by_length = left.copies.len().cmp(&right.copies.len());
            by_length.then_with(|| {
                let bytes = context.block_bytes();
                right_link
                    .transfer_s(bytes)
                    .total_cmp(&left_link.transfer_s(bytes))
            })
        })
}

/// View of a store, if the placement rule permits it and connections to it have not failed
/// recently.
fn usable_store<Kv, Peers>(
    handler: &RequestHandler<Kv, Peers>,
    context: &CompletionContext,
    name: &str,
) -> Option<Arc<TargetView>>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    let target = context.catalog.targets.get(name)?;
    let view = handler.fleet().view(name)?;
    let is_usable = target.kind == TargetKind::Store
        && context.rule.stores.matches(&target.labels)
        && !view.is_avoided(Instant::now());
    is_usable.then_some(view)
}

/// Stores to which blocks of this context may be exported, with their free capacity.
pub(crate) fn export_destinations<Kv, Peers>(
    handler: &RequestHandler<Kv, Peers>,
    context: &CompletionContext,
) -> Vec<StoreState>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    let targets = context.catalog.targets.values();
    targets
        .filter(|target| target.kind == TargetKind::Store && !target.leaving)
        .filter_map(|target| {
            let view =
                usable_store(handler, context, &target.name).filter(|view| !view.is_leaving())?;
            let known_bytes = handler.directory().lock().store_used_bytes(&target.name);
            let reported_bytes = view.usage().map_or(0, |usage| usage.used_bytes);
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let backlog_bytes = (view.link_rate().mean_bytes_per_s * MAX_EXPORT_BACKLOG_S) as u64;
            Some(StoreState {
                target: target.name.clone(),
                failure_domain: target.failure_domain.clone(),
                capacity_bytes: target.capacity_bytes,
                used_bytes: known_bytes.max(reported_bytes),
                link_budget_bytes: backlog_bytes.saturating_sub(view.link_queued_bytes()),
            })
        })
        .collect()
}

impl<Kv, Peers> RequestHandler<Kv, Peers>
where
    Kv: KeyValue,
    Peers: PeerDirectory,
{
    /// Rate of the link between a store and an engine. Uses the configured rate until both are
    /// known.
    pub(crate) fn link_rate(&self, store: &Target, engine: &Target) -> LinkRate {
        let store_view = self.fleet().view(&store.name);
        let engine_view = self.fleet().view(&engine.name);
        store_view.zip(engine_view).map_or_else(
            || LinkRate::configured(store.link_bytes_per_s),
            |(store, engine)| Link::between(&store, &engine).rate,
        )
    }
}
