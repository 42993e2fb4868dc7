//! What is sent with a call: its target's name, version and salt, and what is fetched and saved.

use {
    crate::{
        HeaderFormat, OutboundMetadata, boot_time,
        pick::{Picked, wishes},
        run::Job,
        salt::salt,
        trail::Trail,
    },
    parts::Plan,
    std::time::Duration,
};

/// Stores are not used by a view that was confirmed longer ago.
const MAX_PARTS_AGE: Duration = Duration::from_secs(4);
/// Time for fetches besides twice what is reckoned. About what reading a long part takes.
const FETCH_TIME: Duration = Duration::from_millis(200);
/// Parts of replaced weights are fetched for this long after newer ones were named.
const MAX_REPLACED_AGE: Duration = Duration::from_secs(6);

impl<Format> Job<Format>
where
    Format: HeaderFormat,
{
    pub(crate) fn sending(
        &self,
        picked: &Picked,
        last_event_id: Option<u64>,
        plan: &Plan,
    ) -> OutboundMetadata {
        let call = &self.admitted.call;
        let account = self.admitted.account.as_ref();
        let prompt = call.prompt.as_ref();
        let version = prompt.and_then(|prompt| picked.target.version(&prompt.model));
        let salt = prompt.map(|_| salt(version.unwrap_or(0), self.isolated()));
        let rank = account.and_then(|account| account.priority);
        OutboundMetadata {
            target: picked.target.id.clone(),
            account: account.map(|account| account.name.clone()),
            time_left: self.time_left(),
            version,
            salt,
            priority: prompt.map(|_| rank.unwrap_or(self.admitted.route.priority).min(9)),
            last_event_id,
            fetch_deadline: self.fetch_deadline(plan),
            fetch_from: plan.fetch.clone(),
            save_to: plan.save.clone(),
        }
    }

    /// When fetches are given up, on the clock of the engines.
    fn fetch_deadline(&self, plan: &Plan) -> Option<Duration> {
        if plan.fetch.iter().all(Option::is_none) {
            return None;
        }
        let clock = self.inner.followed.cache_index().clock(boot_time())?;
        Some(clock + FETCH_TIME + plan.expected_wait() * 2)
    }

    /// What is fetched and saved of the parts that the prompt shares with others.
    ///
    /// Nothing, if the weights were replaced some time ago or the view may be too old, so that parts
    /// of replaced weights can be freed once every instance must have learned of the new ones. Parts
    /// of weights that are being replaced are not saved any more.
    pub(crate) fn plan_parts(&self, picked: &Picked, trail: &mut Trail) -> Plan {
        let Some(prompt) = &self.admitted.call.prompt else {
            return Plan::default();
        };
        let Some(version) = picked.target.version(&prompt.model) else {
            return Plan::default();
        };
        let salt = salt(version, self.isolated());
        let view = self.inner.followed.view();
        let wanted = view.wanted_versions.get(&prompt.model);
        let is_current = wanted.is_none_or(|wanted| wanted.newest_version() == version);
        let replaced_for = wanted.and_then(|wanted| wanted.max_age(boot_time()));
        let is_usable = is_current || replaced_for.is_some_and(|age| age < MAX_REPLACED_AGE);
        let wishes = wishes(prompt, &salt);
        if wishes.is_empty() || !is_usable || view.age() > MAX_PARTS_AGE {
            return Plan::default();
        }
        let engine = (picked.target.address, picked.target.failure_domain.as_str());
        let mut keeping = self.inner.followed.cache_index();
        let mut plan = keeping.plan(&wishes, engine, boot_time(), is_current);
        drop(keeping);
        trail.parts(&wishes, &plan);
        plan.fetch.push(None);
        plan.save.push(None);
        plan
    }
}
