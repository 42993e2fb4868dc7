//! Which target gets a call, of those that the view knows.

use {
    crate::{Call, Prompt, TargetState, View, WantedVersions, boot_time, salt::salt},
    balance::{Candidate, PeerLoads, choose, rendezvous},
    catalog::{FailureDomainId, TargetId},
    parts::{Keeping, Wish},
    std::{sync::Arc, time::Duration},
};

/// What a choice depends on besides the view.
#[derive(Clone, Copy)]
pub(crate) struct PickContext<'call> {
    /// The call.
    pub(crate) call: &'call Call,
    /// Targets that had the call before.
    pub(crate) tried_targets: &'call [TargetId],
    /// Failure domain of this instance.
    pub(crate) failure_domain: &'call FailureDomainId,
    /// Time since the relay's origin.
    pub(crate) now: Duration,
    /// Weights older than the wanted ones are not used from this age of the wish on.
    pub(crate) stale_weights_grace: Duration,
    /// Random number.
    pub(crate) random: u64,
    /// What engines and stores hold.
    pub(crate) cache_index: &'call Keeping,
    /// What other instances have under way.
    pub(crate) peer_loads: &'call PeerLoads,
    /// Client account, if it shares computed parts with no other.
    pub(crate) isolated_account: Option<&'call str>,
}

/// A choice and what it was made of.
#[derive(Clone, Debug)]
pub(crate) struct PickedTarget {
    /// The target.
    pub(crate) target: Arc<TargetState>,
    /// Calls under way there, of all instances, as estimated.
    pub(crate) in_flight_count: f64,
    /// Targets that could have been chosen.
    pub(crate) candidates_count: usize,
    /// Weights that the call will begin on.
    pub(crate) weights: PickedWeights,
}

/// The weights of a chosen target, and what was known of newer ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct PickedWeights {
    /// Version that the target was taken to have; 0 if the call needs none or none was named.
    pub(crate) version: u64,
    /// Newest version that is wanted; 0 if none was named.
    pub(crate) wanted_version: u64,
    /// Longest time for which it can have been wanted; none if nothing bounds it.
    pub(crate) wanted_age: Option<Duration>,
    /// Time that the call was given to begin.
    pub(crate) start_delay: Duration,
}

/// Chooses a target of `pool`; none if no target may take the call.
///
/// Targets that are left out for failures, or that pause, are used only if all others are, since
/// a call that is refused for sure serves nobody.
pub(crate) fn pick(view: &View, pool: &str, context: &PickContext<'_>) -> Option<PickedTarget> {
    let targets = view.pools.get(pool)?;
    let usable: Vec<&Arc<TargetState>> = targets
        .iter()
        .filter(|target| !target.draining && !context.tried_targets.contains(&target.id))
        .filter(|target| !is_outdated(view, target, context))
        .collect();
    let is_available = |target: &&&Arc<TargetState>| {
        !target.call_stats.is_paused(context.now) && !view.loading.contains(&target.id)
    };
    let is_healthy = |target: &&&Arc<TargetState>| !target.call_stats.is_left_out(context.now);
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
    let session = context
        .call
        .prompt
        .as_ref()
        .and_then(|it| it.session_part());
    let session = session.map(|part| rendezvous::key_seed(part.id.as_bytes()));
    let index = choose(&candidates, session, context.random)?;
    Some(PickedTarget {
        target: eligible[index].clone(),
        in_flight_count: candidates[index].in_flight_count,
        candidates_count: candidates.len(),
        weights: picked_weights(view, eligible[index], context),
    })
}

fn picked_weights(view: &View, target: &TargetState, context: &PickContext<'_>) -> PickedWeights {
    let Some((wanted, version)) = versions(view, target, context) else {
        return PickedWeights::default();
    };
    PickedWeights {
        version: version.unwrap_or(0),
        wanted_version: wanted.newest_version(),
        wanted_age: wanted.max_age(boot_time()),
        start_delay: target.call_stats.start_delay(context.now),
    }
}

/// The parts of a prompt that other calls may share, under `salt`.
pub(crate) fn shared_parts(prompt: &Prompt, salt: &str) -> Vec<Wish> {
    let [shared @ .., _] = prompt.parts.as_slice() else {
        return Vec::new();
    };
    let parts = shared.iter();
    parts
        .map(|part| Wish::new(salt, &part.id, part.tokens))
        .collect()
}

/// The parts that a call shares with others, for each version of the weights that may run it.
#[derive(Debug, Default)]
struct SharedPartsByVersion {
    by_version: Vec<(u64, Vec<Wish>)>,
}

impl SharedPartsByVersion {
    /// The parts under `version`.
    fn for_version(
        &mut self,
        version: u64,
        prompt: &Prompt,
        isolated_account: Option<&str>,
    ) -> &[Wish] {
        let known = self.by_version.iter().position(|it| it.0 == version);
        let index = known.unwrap_or_else(|| {
            let salt = salt(version, isolated_account);
            self.by_version.push((version, shared_parts(prompt, &salt)));
            self.by_version.len() - 1
        });
        &self.by_version[index].1
    }
}

fn candidate(
    view: &View,
    target: &TargetState,
    context: &PickContext<'_>,
    shared_parts: &mut SharedPartsByVersion,
) -> Candidate {
    let own_count = target.call_stats.in_flight_count();
    let candidate = Candidate::new(target.seed, target.slots_count);
    let Some(prompt) = &context.call.prompt else {
        // Plain calls are over sooner than others tell of theirs.
        let in_flight_count = f64::from(own_count) * f64::from(view.instances_count.max(1));
        return Candidate {
            near: target.failure_domain == *context.failure_domain,
            ..candidate.in_flight(in_flight_count)
        };
    };
    let loads = context.peer_loads;
    let in_flight_count = loads.estimate(target.seed, own_count, view.instances_count);
    let candidate = candidate.in_flight(in_flight_count);
    let Some(version) = target.version(&prompt.model) else {
        return candidate;
    };
    let parts = shared_parts.for_version(version, prompt, context.isolated_account);
    let Some(session) = parts.last() else {
        return candidate;
    };
    // A call whose session is not stored yet is as well off anywhere.
    let domain = context.cache_index.store_domain(session.part);
    Candidate {
        keeps: context.cache_index.keeps(target.address, parts),
        near: domain.is_some_and(|domain| domain == target.failure_domain),
        ..candidate
    }
}

/// Whether a call that is sent now might begin on weights that must not be used any more. It begins
/// later than it is sent if the target has a queue. A target whose weights are not known might have any.
fn is_outdated(view: &View, target: &TargetState, context: &PickContext<'_>) -> bool {
    let Some((wanted, version)) = versions(view, target, context) else {
        return false;
    };
    let start_delay = target.call_stats.start_delay(context.now);
    let bound = context.stale_weights_grace.saturating_sub(start_delay);
    version.is_none_or(|version| version < wanted.min_required_version(boot_time(), bound))
}

/// The versions that are wanted of the call's model, and the one that the target has; none if the call
/// needs no weights or none were named.
fn versions<'view>(
    view: &'view View,
    target: &TargetState,
    context: &PickContext<'_>,
) -> Option<(&'view WantedVersions, Option<u64>)> {
    let model = &context.call.prompt.as_ref()?.model;
    Some((view.wanted_versions.get(model)?, target.version(model)))
}
