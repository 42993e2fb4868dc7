//! Metadata sent to the target with a call, including which cached prompt parts to fetch and save.

use {
    crate::{
        HeaderFormat, OutboundMetadata,
        active_call::ActiveCall,
        boot_time,
        call_recorder::CallRecorder,
        pick::{PickedTarget, shared_parts},
        salt::salt,
    },
    parts::Plan,
    std::time::Duration,
};

/// Maximum time since the view was last confirmed as current for which cached parts are fetched and
/// saved.
const MAX_VIEW_AGE: Duration = Duration::from_secs(4);
/// Time allowed for fetches beyond twice the expected time. About the time to compute a long part.
const FETCH_MARGIN: Duration = Duration::from_millis(200);
/// Time after newer weights are requested during which parts of the replaced weights are still
/// fetched.
const MAX_REPLACED_WEIGHTS_AGE: Duration = Duration::from_secs(6);

impl<Format> ActiveCall<Format>
where
    Format: HeaderFormat,
{
    /// Metadata for an attempt at `picked`.
    pub(crate) fn outbound_metadata(
        &self,
        picked: &PickedTarget,
        last_event_id: Option<u64>,
        plan: &Plan,
    ) -> OutboundMetadata {
        let call = &self.admitted.call;
        let account = self.admitted.account.as_ref();
        let prompt = call.prompt.as_ref();
        let version = prompt.and_then(|prompt| picked.target.version(&prompt.model));
        let salt = prompt.map(|_| salt(version.unwrap_or(0), self.isolated_account()));
        let account_priority = account.and_then(|account| account.priority);
        OutboundMetadata {
            target: picked.target.id.clone(),
            account: account.map(|account| account.name.clone()),
            time_left: self.time_left(),
            version,
            salt,
            priority: prompt.map(|_| {
                account_priority
                    .unwrap_or(self.admitted.route.priority)
                    .min(9)
            }),
            last_event_id,
            fetch_deadline: self.fetch_deadline(plan),
            fetch_from: plan.fetch.clone(),
            save_to: plan.save.clone(),
        }
    }

    /// When the target should give up fetching and compute the missing parts, on the engines'
    /// clock; `None` if nothing is fetched or the engines' clock is not known.
    fn fetch_deadline(&self, plan: &Plan) -> Option<Duration> {
        if plan.fetch.iter().all(Option::is_none) {
            return None;
        }
        let engine_time = self.inner.state.cache_index().clock(boot_time())?;
        Some(engine_time + FETCH_MARGIN + plan.expected_wait() * 2)
    }

    /// Plans which parts that the prompt shares with other calls are fetched and saved, and
    /// reserves time on the links of the stores for them.
    ///
    /// The plan is empty if the weights may have been replaced more than
    /// [`MAX_REPLACED_WEIGHTS_AGE`] ago or the view is too old. Parts of replaced weights can
    /// therefore be freed once every instance must know of the new weights. Parts of weights that
    /// are being replaced are fetched but no longer saved.
    pub(crate) fn plan_part_transfers(
        &self,
        picked: &PickedTarget,
        recorder: &mut CallRecorder,
    ) -> Plan {
        let Some(prompt) = &self.admitted.call.prompt else {
            return Plan::default();
        };
        let Some(version) = picked.target.version(&prompt.model) else {
            return Plan::default();
        };
        let salt = salt(version, self.isolated_account());
        let view = self.inner.state.view();
        let wanted = view.wanted_versions.get(&prompt.model);
        let is_current = wanted.is_none_or(|wanted| wanted.newest_version() == version);
        let wanted_age = wanted.and_then(|wanted| wanted.max_age(boot_time()));
        let is_usable = is_current || wanted_age.is_some_and(|age| age < MAX_REPLACED_WEIGHTS_AGE);
        let parts = shared_parts(prompt, &salt);
        if parts.is_empty() || !is_usable || view.age() > MAX_VIEW_AGE {
            return Plan::default();
        }
        let engine = (picked.target.address, picked.target.failure_domain.as_str());
        let mut cache_index = self.inner.state.cache_index();
        let mut plan = cache_index.plan(&parts, engine, boot_time(), is_current);
        drop(cache_index);
        recorder.record_parts(&parts, &plan);
        // The last part of the prompt is not shared, so it is neither fetched nor saved.
        plan.fetch.push(None);
        plan.save.push(None);
        plan
    }
}
