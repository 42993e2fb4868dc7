//! How the follower of a store withdraws parts from its reports, and frees them.

use {
    crate::{
        HeldPart, Platform,
        obsolete_parts::{FREE_DELAY, is_obsolete},
        place_follower::{PlaceFollower, cached_part},
    },
    eventlog::Event,
    relay::boot_time,
    std::time::Duration,
};

/// Largest number of parts freed by one request.
const MAX_FREED_COUNT: usize = 500;
/// Age of the view up to which this instance relies on being the one that a store is assigned to.
const MAX_VIEW_AGE: Duration = Duration::from_secs(4);

impl<Kv, Format> PlaceFollower<Kv, Format>
where
    Format: Platform,
{
    /// Records that what this instance knows of the store was requested at `requested_at`. An instance
    /// that follows the store in place of another one does so only while it would know of newer
    /// weights.
    pub(crate) fn confirm_report(&self, requested_at: Duration) {
        if self.is_owner() || self.has_recent_view() {
            let mut cache_index = self.shared.relay_state.cache_index();
            cache_index.set_reported(self.place, requested_at);
        }
    }

    /// Publishes the parts that are of no more use as no longer held, so that nobody fetches them.
    pub(crate) fn withdraw_obsolete(&mut self) {
        let now = boot_time();
        let known = self.shared.known();
        let withdrawn = self.held.withdraw(now, |model, salt| {
            let wanted = known.wanted().get(model);
            wanted.is_some_and(|wanted| is_obsolete(salt, wanted, now))
        });
        drop(known);
        if withdrawn.is_empty() {
            return;
        }
        let parts = withdrawn.iter().map(|part| cached_part(part, 0));
        self.publish_held(parts.collect());
        self.shared.meters.count("store_parts", "withdrawn");
        self.shared.log.emit(&Event::PartsWithdrawn {
            place: self.place.to_string(),
            count: withdrawn.len(),
        });
    }

    /// Asks the store to free parts that were withdrawn long enough ago, if this instance owns the
    /// store.
    pub(crate) async fn free_withdrawn(&mut self) {
        let may_free = self.is_owner() && self.has_recent_view();
        let Some(position) = self.position.filter(|_| may_free) else {
            return;
        };
        let Some(cutoff) = boot_time().checked_sub(FREE_DELAY) else {
            return;
        };
        let freed: Vec<HeldPart> = self
            .held
            .withdrawn_by(cutoff)
            .take(MAX_FREED_COUNT)
            .collect();
        if freed.is_empty() {
            return;
        }
        let call = self
            .shared
            .format
            .free_request(&freed, position.incarnation);
        if let Err(error) = self.fetch(call, Duration::ZERO).await {
            log::info!("failed to free obsolete parts, retrying: {error}");
            return;
        }
        self.shared.meters.count("store_parts", "freed");
        self.log_parts(0, freed.len(), false);
        for part in freed {
            self.held.set(&HeldPart { tokens: 0, ..part });
        }
    }

    /// Whether the place is assigned to this instance, as far as it knows.
    fn is_owner(&self) -> bool {
        let own = &self.shared.settings.instance;
        self.shared.ownership.load().owner(self.place) == Some(own)
    }

    /// Whether this instance would know of another owner.
    fn has_recent_view(&self) -> bool {
        let view = self.shared.relay_state.view();
        view.is_confirmed_within(MAX_VIEW_AGE)
    }
}
