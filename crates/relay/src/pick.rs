//! Choice of the target for a call.

use {
    crate::{
        TargetState, View, WantedVersions, boot_time,
        pick_context::PickContext,
        picked_target::{PickedTarget, PickedWeights},
        reach::Reach,
        refusal::OVERLOADED_RETRY_AFTER,
        shared_parts::SharedPartsByVersion,
        target_conditions::{NextCall, Obstacle, PassedOver},
    },
    balance::{Candidate, choose, rendezvous},
    overload::TargetRoom,
    routes::PoolKind,
    std::{sync::Arc, time::Duration},
};

/// Result of a choice.
#[derive(Debug)]
pub(crate) struct Choice {
    /// The chosen target; `None` if no target may run the call now.
    pub(crate) picked: Option<PickedTarget>,
    /// Targets that were passed over because of what they state.
    pub(crate) passed_over: PassedOver,
    /// Time until one of these may take the call; `None` if there are none, or it is not known.
    pub(crate) wait: Option<Duration>,
    /// Whether targets were passed over since they are cold, and other instances use all that they
    /// bear.
    pub(crate) has_no_cold_share: bool,
}

/// Chooses a target of `pool`.
///
/// Targets that are paused or load weights are used only if there are no others. Even ejected
/// targets are used as a last resort, since trying them is better than refusing the call. Cold targets
/// are used, within what they bear, if no warm one has a free slot. Never
/// used are targets that are draining, were tried already, run other software than the one that
/// began the call's stream, have outdated weights, or have stated something that forbids the call.
pub(crate) fn pick(view: &View, pool: &str, context: &PickContext<'_>) -> Choice {
    let mut usable = Vec::new();
    let mut returning = Vec::new();
    let mut cold = Vec::new();
    let mut has_cold_share = false;
    let mut passed_over = PassedOver::default();
    let mut waits = Vec::new();
    for target in context.reach.targets(pool) {
        if !takes_calls(view, target, context) {
            continue;
        }
        let was_tried = context.tried_targets.contains(&target.id);
        let is_outdated = is_outdated(view, target, context);
        let target_context = context.target_context(target);
        let (next_call, is_before_return) = target.call_stats.next_call(&target_context);
        match next_call {
            NextCall::Now if was_tried => waits.push(OVERLOADED_RETRY_AFTER),
            NextCall::Now if is_outdated => {}
            NextCall::Now if is_before_return => returning.push(target),
            NextCall::Now if context.is_cold(target) => cold.push(target),
            NextCall::Now => usable.push(target),
            NextCall::Later { obstacle, wait } => {
                passed_over.record(obstacle);
                has_cold_share |= obstacle == Obstacle::Cold && wait.is_some();
                waits.extend(wait);
            }
        }
    }
    let is_preferred = |target: &&Arc<TargetState>| {
        is_available(view, target, context) && is_healthy(target, context)
    };
    let has_free_slot = |target: &&Arc<TargetState>| {
        in_flight_count(view, target, context) < f64::from(target.slots_count)
    };
    let is_warm_free = |target| is_preferred(target) && has_free_slot(target);
    if !cold.is_empty() && !usable.iter().any(is_warm_free) {
        usable.append(&mut cold);
    }
    if !returning.is_empty() && usable.iter().any(is_preferred) {
        for _ in returning {
            passed_over.record(Obstacle::Return);
        }
    } else {
        usable.append(&mut returning);
    }
    Choice {
        picked: pick_usable(view, usable, context),
        wait: waits.into_iter().min().filter(|_| !passed_over.is_empty()),
        has_no_cold_share: passed_over.has(Obstacle::Cold) && !has_cold_share,
        passed_over,
    }
}

/// Room of each target that may take the call. `mean_tokens` is the mean work of a call.
pub(crate) fn rooms(
    view: &View,
    pool: &str,
    context: &PickContext<'_>,
    mean_tokens: f64,
) -> Vec<TargetRoom> {
    let takes_calls = |target: &&Arc<TargetState>| {
        takes_calls(view, target, context)
            && !target.is_leaving()
            && is_available(view, target, context)
            && is_healthy(target, context)
    };
    let memory_tokens = memory_tokens(view, pool);
    let room = |target: &Arc<TargetState>| {
        let calls_count = in_flight_count(view, target, context);
        let own_tokens_count = target.call_stats.in_flight_tokens_count();
        let loads = context.peer_loads;
        let held_tokens =
            loads.estimate_tokens(target.seed, own_tokens_count, view.instances_count);
        TargetRoom {
            slots_count: target.slots_count,
            calls_count,
            memory_share: memory_tokens.map_or(0.0, |it| held_tokens / it),
            tokens_count: calls_count * mean_tokens,
        }
    };
    let targets = context.reach.targets(pool).filter(takes_calls);
    targets.map(room).collect()
}

/// Number of tokens that the memory of an engine of the pool holds; `None` if it is not known.
fn memory_tokens(view: &View, pool: &str) -> Option<f64> {
    let config = view.route_table.as_ref()?.config();
    let PoolKind::Engine(engine) = &config.pools.get(pool)?.kind else {
        return None;
    };
    #[allow(clippy::cast_precision_loss)]
    let memory_tokens = engine.memory_tokens as f64;
    (memory_tokens > 0.0).then_some(memory_tokens)
}

/// Whether the target is neither paused nor loading weights.
fn is_available(view: &View, target: &TargetState, context: &PickContext<'_>) -> bool {
    !target.call_stats.is_paused(context.now) && !view.loading.contains(&target.id)
}

/// Whether the target is not ejected.
fn is_healthy(target: &TargetState, context: &PickContext<'_>) -> bool {
    !target.call_stats.is_ejected(context.now)
}

/// Chooses one of the `usable` targets.
fn pick_usable(
    view: &View,
    usable: Vec<&Arc<TargetState>>,
    context: &PickContext<'_>,
) -> Option<PickedTarget> {
    let is_available = |target: &&&Arc<TargetState>| is_available(view, target, context);
    let is_healthy = |target: &&&Arc<TargetState>| is_healthy(target, context);
    let mut eligible: Vec<&Arc<TargetState>> = usable
        .iter()
        .filter(is_available)
        .filter(is_healthy)
        .copied()
        .collect();
    if eligible.is_empty() {
        eligible = usable.iter().filter(is_healthy).copied().collect();
    }
    if eligible.is_empty() {
        eligible = usable;
    }
    let mut shared_parts = SharedPartsByVersion::default();
    let candidates: Vec<Candidate> = eligible
        .iter()
        .map(|target| candidate(view, target, context, &mut shared_parts))
        .collect();
    let session_part = context
        .call
        .prompt
        .as_ref()
        .and_then(|it| it.session_part());
    let session_seed = session_part.map(|part| rendezvous::key_seed(part.id.as_bytes()));
    let index = choose(&candidates, session_seed, context.random)?;
    Some(PickedTarget {
        target: eligible[index].clone(),
        in_flight_count: candidates[index].in_flight_count,
        own_in_flight_count: eligible[index].call_stats.in_flight_count(),
        refusal_bound: eligible[index]
            .call_stats
            .refusal_bound(&context.target_context(eligible[index])),
        is_cold: context.is_cold(eligible[index]),
        candidates_count: candidates.len(),
        weights: picked_weights(view, eligible[index], context),
        unread_tokens_count: unread_tokens_count(eligible[index], context, &mut shared_parts),
    })
}

/// Prompt tokens that the target has to read for the call: those that it would neither find in its
/// memory nor fetch.
fn unread_tokens_count(
    target: &TargetState,
    context: &PickContext<'_>,
    shared_parts: &mut SharedPartsByVersion,
) -> u64 {
    let Some(prompt) = &context.call.prompt else {
        return 0;
    };
    let Some(version) = target.version(&prompt.model) else {
        return u64::from(prompt.input_tokens);
    };
    let parts = shared_parts.for_version(version, prompt, context.cache_scope);
    let held_tokens_count = context.cache_index.held_tokens(parts);
    u64::from(prompt.input_tokens).saturating_sub(held_tokens_count)
}

/// Whether the target takes new calls by its registration, and may go on with the call's stream.
fn takes_calls(view: &View, target: &TargetState, context: &PickContext<'_>) -> bool {
    let began_stream = |version: &str| {
        target.software_version == version
            && !target.call_stats.registered_process().is_replaced()
            && !(context.is_mixed && target.call_stats.may_have_restarted(view.confirmed_at))
    };
    !target.draining && context.software_version.is_none_or(began_stream)
}

/// Estimated number of calls that all instances have in flight at the target. Calls without a prompt
/// are too short to appear in peers' reports, so it is this instance's times the number of instances.
fn in_flight_count(view: &View, target: &TargetState, context: &PickContext<'_>) -> f64 {
    let own_count = target.call_stats.in_flight_count();
    if context.call.prompt.is_none() {
        return f64::from(own_count) * f64::from(view.instances_count.max(1));
    }
    let loads = context.peer_loads;
    loads.estimate_in_flight(target.seed, own_count, view.instances_count)
}

/// Estimated number of prompt tokens that the target has still to read for the calls of all instances;
/// 0 in small fleets, where an instance's own calls and reports of calls say enough.
fn estimate_unread_tokens(view: &View, target: &TargetState, context: &PickContext<'_>) -> f64 {
    if context.call.prompt.is_none() || !context.weighs_tokens {
        return 0.0;
    }
    let own_count = target.call_stats.unread_tokens_count();
    let loads = context.peer_loads;
    loads.estimate_unread_tokens(target.seed, own_count, view.instances_count)
}

/// Whether a target of `pool` runs other software than `software_version`.
pub(crate) fn has_other_software(view: &View, pool: &str, software_version: &str) -> bool {
    let mut targets = view.pools.get(pool).into_iter().flatten();
    targets.any(|it| it.software_version != software_version)
}

/// Whether a target of `pool` in the call's homes may go on with its stream, now or later.
pub(crate) fn has_origin(reach: &Reach<'_>, pool: &str, software_version: &str) -> bool {
    let mut targets = reach.targets_in_homes(pool);
    targets.any(|it| !it.is_leaving() && it.software_version == software_version)
}

/// Whether all targets of `pool` that may otherwise run the call, now or later, are in evacuated failure
/// domains.
pub(crate) fn are_all_evacuated(view: &View, pool: &str, context: &PickContext<'_>) -> bool {
    let is_possible = |target: &&Arc<TargetState>| {
        let version = context.software_version;
        !target.is_leaving() && version.is_none_or(|it| target.software_version == it)
    };
    let mut possible = context.reach.targets_in_homes(pool).filter(is_possible);
    possible.next().is_some_and(|first| {
        view.is_evacuated(first) && possible.all(|target| view.is_evacuated(target))
    })
}

/// Weights that a call is expected to run on at `target`, and the wanted version.
fn picked_weights(view: &View, target: &TargetState, context: &PickContext<'_>) -> PickedWeights {
    let Some((wanted, version)) = wanted_and_loaded_versions(view, target, context) else {
        return PickedWeights::default();
    };
    PickedWeights {
        version: version.unwrap_or(0),
        wanted_version: wanted.newest_version(),
        wanted_age: wanted.max_age(boot_time()),
        start_delay: target.call_stats.start_delay(context.now),
    }
}

/// Describes `target` as a candidate for the load balancer.
///
/// The preferred failure domain is that of this instance for a call without a prompt, and that of a
/// store that holds the session for a prompt. The session is the last shared part of the prompt. A
/// prompt without shared parts, or for a target with unknown weights, prefers no domain.
fn candidate(
    view: &View,
    target: &TargetState,
    context: &PickContext<'_>,
    shared_parts: &mut SharedPartsByVersion,
) -> Candidate {
    let in_flight_count = in_flight_count(view, target, context);
    let candidate = Candidate::new(target.seed, target.slots_count)
        .with_in_flight(in_flight_count)
        .with_unread_tokens(estimate_unread_tokens(view, target, context));
    let Some(prompt) = &context.call.prompt else {
        return Candidate {
            in_preferred_domain: target.failure_domain == *context.failure_domain,
            ..candidate
        };
    };
    let Some(version) = target.version(&prompt.model) else {
        return candidate;
    };
    let parts = shared_parts.for_version(version, prompt, context.cache_scope);
    let Some(session) = parts.last() else {
        return candidate;
    };
    // Until a store holds the session, no failure domain is preferred.
    let store_domain = context.cache_index.store_failure_domain(session.part);
    Candidate {
        has_session_prefix: context.cache_index.holds_all(target.address, parts),
        in_preferred_domain: store_domain.is_some_and(|domain| domain == target.failure_domain),
        ..candidate
    }
}

/// Whether the target's weights will be past their replacement deadline when a call sent now is
/// expected to start, which a queue at the target delays. Unknown weights count as outdated if any
/// version is wanted.
fn is_outdated(view: &View, target: &TargetState, context: &PickContext<'_>) -> bool {
    let Some((wanted, version)) = wanted_and_loaded_versions(view, target, context) else {
        return false;
    };
    let start_delay = target.call_stats.start_delay(context.now);
    let grace = context.stale_weights_grace.saturating_sub(start_delay);
    version.is_none_or(|version| version < wanted.min_required_version(boot_time(), grace))
}

/// The wanted versions of the call's model, and the version that the target has loaded (`None` if
/// unknown). `None` altogether if the call has no prompt or no version of its model is wanted.
fn wanted_and_loaded_versions<'view>(
    view: &'view View,
    target: &TargetState,
    context: &PickContext<'_>,
) -> Option<(&'view WantedVersions, Option<u64>)> {
    let model = &context.call.prompt.as_ref()?.model;
    Some((view.wanted_versions.get(model)?, target.version(model)))
}
