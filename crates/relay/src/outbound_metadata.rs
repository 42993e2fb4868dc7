//! Metadata sent to the target with a call, including which cached prompt parts to fetch and save.

use {
    crate::{
        HeaderFormat, OutboundMetadata, active_call::ActiveCall, boot_time,
        call_recorder::CallRecorder, picked_target::PickedTarget, salt::salt,
        shared_parts::shared_parts,
    },
    parts::{MAX_FETCH_TIME, Plan},
    std::time::Duration,
};

/// Time allowed for fetches beyond twice the expected time. About the time to compute a long part.
const FETCH_MARGIN: Duration = Duration::from_millis(200);

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
        let view = self.inner.state.view();
        let salt = prompt.map(|_| salt(version.unwrap_or(0), &self.cache_scope(&view)));
        OutboundMetadata {
            target: picked.target.id.clone(),
            account: account.map(|account| account.name.clone()),
            time_left: self.time_left(),
            version,
            salt,
            priority: prompt.map(|_| self.admitted.priority()),
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
        let fetch_time = FETCH_MARGIN + plan.expected_wait() * 2;
        Some(engine_time + fetch_time.min(MAX_FETCH_TIME))
    }

    /// Plans which parts that the prompt shares with other calls are fetched and saved, and
    /// reserves time on the links of the stores for them.
    ///
    /// The plan is empty if the weights were replaced too long ago. Parts of weights that are being
    /// replaced are fetched but no longer saved.
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
        let view = self.inner.state.view();
        let salt = salt(version, &self.cache_scope(&view));
        let wanted = view.wanted_versions.get(&prompt.model);
        let is_current = wanted.is_none_or(|wanted| wanted.newest_version() == version);
        let uses_parts = wanted.is_none_or(|wanted| wanted.uses_parts_of(version, boot_time()));
        let parts = shared_parts(prompt, &salt);
        if parts.is_empty() || !uses_parts {
            return Plan::default();
        }
        let engine = (picked.target.address, picked.target.failure_domain.as_str());
        let mut cache_index = self.inner.state.cache_index();
        let reach = self.reach(&view);
        let may_use = |place| reach.has_place(place);
        let mut plan = cache_index.plan_among(&parts, engine, boot_time(), is_current, may_use);
        drop(cache_index);
        recorder.record_parts(&parts, &plan);
        // The last part of the prompt is not shared, so it is neither fetched nor saved.
        plan.fetch.push(None);
        plan.save.push(None);
        plan
    }
}
