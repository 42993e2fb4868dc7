//! The directory of stored parts, which also plans transfers.

use {
    crate::{
        CachedPart, Change, PartKey, Plan, PromptPart, Store, Transfer, part_holders::PartHolders,
        slowdown::BaselineLatency,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Minimum length of a part that is fetched or saved. An engine computes a shorter part sooner than
/// a transfer is set up.
const MIN_PART_TOKENS: u32 = 32;
/// Time after which a planned save counts as lost if no store has reported the part.
const SAVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for a store's link with which a part is still fetched from the store.
const MAX_FETCH_QUEUE: Duration = Duration::from_millis(400);
/// The same limit for a part that another engine holds as well. The engine's link is less busy. The
/// limit is not zero, since the engine may have evicted the part in the meantime.
const MAX_FETCH_QUEUE_WITH_ENGINE: Duration = Duration::from_millis(100);
/// Longest wait for a store's link with which a part is still saved to the store.
const MAX_SAVE_QUEUE: Duration = Duration::from_millis(600);
/// Share of a store's capacity that is kept free for parts that are still being written.
const MIN_FREE_SHARE: f64 = 0.03;

/// Address of a store, and the total time for which one instance has planned to use the store's
/// link since the instance started.
pub type LinkUse = (SocketAddr, Duration);

/// The parts that stores and engines hold, and the transfers planned by this instance. All times
/// are of one clock, which also advances while the machine is suspended.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    stores: BTreeMap<SocketAddr, Store>,
    holders: PartHolders,
    /// Parts that are being saved, each with the time at which the save counts as lost.
    pending_saves: HashMap<PartKey, Duration>,
    baseline: BaselineLatency,
    /// The engines' clock, and this instance's clock at the same moment.
    clock: Option<(Duration, Duration)>,
    /// Total time for which this instance has planned to use each store's link.
    link_use: BTreeMap<SocketAddr, Duration>,
}

impl PartDirectory {
    /// Adds a store, or updates its configuration and keeps what is known of its state.
    pub fn set_store(&mut self, store: Store) {
        let known = self.stores.get(&store.address);
        let store = match known {
            Some(known) => Store {
                held_tokens: known.held_tokens,
                link_free_at: known.link_free_at,
                slowdown: known.slowdown,
                available: known.available,
                unavailable_since: known.unavailable_since,
                reported_at: known.reported_at,
                dropped: known.dropped.clone(),
                ..store
            },
            None => store,
        };
        self.stores.insert(store.address, store);
    }

    /// Records a reading of the clock that engines and stores share. `received_at` is the local
    /// time at which the reading arrived, by a clock that also advances during suspension.
    pub fn set_clock(&mut self, clock: Duration, received_at: Duration) {
        // The reading that spent the least time in transit is the most accurate one.
        let ahead = |(theirs, own): (Duration, Duration)| theirs.as_secs_f64() - own.as_secs_f64();
        let is_closer = self
            .clock
            .is_none_or(|known| ahead((clock, received_at)) > ahead(known));
        if is_closer {
            self.clock = Some((clock, received_at));
        }
    }

    /// Returns the engines' clock at the local time `now`, or none before the first reading.
    #[must_use]
    pub fn clock(&self, now: Duration) -> Option<Duration> {
        let (clock, received_at) = self.clock?;
        (clock + now).checked_sub(received_at)
    }

    /// Sets whether a store answers, as reported at `now`.
    pub fn set_available(&mut self, address: SocketAddr, available: bool, now: Duration) {
        if let Some(store) = self.stores.get_mut(&address) {
            store.set_available(available, now);
        }
    }

    /// Records that a report of a store was requested at `requested_at`, and has arrived. Parts are
    /// fetched from a store, and saved to it, only for [`MAX_REPORT_AGE`](crate::MAX_REPORT_AGE)
    /// from then on.
    pub fn set_reported(&mut self, address: SocketAddr, requested_at: Duration) {
        if let Some(store) = self.stores.get_mut(&address) {
            store.reported_at = store.reported_at.max(Some(requested_at));
        }
    }

    /// Records when the report of a store was requested that replaces what was known of it, which may be
    /// earlier than the one before.
    pub fn replace_reported(&mut self, address: SocketAddr, requested_at: Duration) {
        if let Some(store) = self.stores.get_mut(&address) {
            store.reported_at = Some(requested_at);
        }
    }

    /// Returns when the last report of each store was requested, without those of which there is none.
    pub fn reported_times(&self) -> impl Iterator<Item = (SocketAddr, Duration)> {
        let stores = self.stores.values();
        stores.filter_map(|store| Some((store.address, store.reported_at?)))
    }

    /// Applies a change that was reported at `now`.
    pub fn apply(&mut self, change: &Change, now: Duration) {
        match change {
            Change::Held { place, parts } => {
                for held in parts {
                    self.set_held(*place, *held, now);
                }
            }
            Change::Cleared { place } => self.clear(*place, now),
            Change::Available { place, available } => self.set_available(*place, *available, now),
        }
    }

    /// Returns the state of some places, as changes that bring another directory to the same state.
    #[must_use]
    pub fn snapshot(&self, places: &HashSet<SocketAddr>) -> Vec<Change> {
        let cleared = places.iter().map(|place| Change::Cleared { place: *place });
        let stores = self.stores.values();
        let stores = stores.filter(|store| places.contains(&store.address));
        let available = stores.map(|store| Change::Available {
            place: store.address,
            available: store.available,
        });
        let held = self.holders.changes_of(|place| places.contains(&place));
        cleared.chain(available).chain(held).collect()
    }

    /// Removes what engines reported before `cutoff`, because engines do not report every part that
    /// they drop. Entries of stores stay, because stores report all changes.
    pub fn expire(&mut self, cutoff: Duration) {
        let stores = &self.stores;
        self.holders
            .expire(cutoff, |place| stores.contains_key(&place));
    }

    /// Updates what a place holds of one part. A part that a store reports is no longer a pending
    /// save.
    fn set_held(&mut self, place: SocketAddr, held: CachedPart, now: Duration) {
        let before = self.holders.set(place, held, now);
        let Some(store) = self.stores.get_mut(&place) else {
            return;
        };
        if held.tokens > 0 {
            self.pending_saves.remove(&held.part);
        }
        let held_tokens = store.held_tokens + u64::from(held.tokens);
        store.held_tokens = held_tokens.saturating_sub(u64::from(before));
    }

    /// Whether a place holds all of these parts completely.
    #[must_use]
    pub fn holds_all(&self, place: SocketAddr, prompt_parts: &[PromptPart]) -> bool {
        let mut prompt_parts = prompt_parts.iter();
        prompt_parts.all(|prompt_part| {
            self.holders.tokens_at(place, prompt_part.part) >= prompt_part.tokens
        })
    }

    /// Number of tokens of the leading parts that some place holds completely. Only these can be had
    /// without reading, since a part is of use only after all parts before it.
    #[must_use]
    pub fn held_tokens(&self, prompt_parts: &[PromptPart]) -> u64 {
        let is_held = |prompt_part: &&PromptPart| {
            let mut places = self.holders.places(prompt_part.part);
            places.any(|(_, tokens)| tokens >= prompt_part.tokens)
        };
        let held = prompt_parts.iter().take_while(is_held);
        held.map(|prompt_part| u64::from(prompt_part.tokens)).sum()
    }

    /// Failure domain of a store that holds some or all tokens of a part, if there is one.
    #[must_use]
    pub fn store_failure_domain(&self, part: PartKey) -> Option<&str> {
        let mut stores = self
            .holders
            .places(part)
            .filter_map(|(place, _)| self.stores.get(&place));
        stores.next().map(|store| store.failure_domain.as_str())
    }

    /// Removes everything that a place held, at `now`, for example after its restart.
    pub fn clear(&mut self, address: SocketAddr, now: Duration) {
        let parts = self.holders.clear(address);
        if let Some(store) = self.stores.get_mut(&address) {
            store.drop_content(parts, now);
        }
    }

    /// Plans which parts a call fetches and saves if `engine` in `failure_domain` runs it. Reserves
    /// time on the links of the stores that it uses. Nothing is saved unless `may_save` is set.
    pub fn plan(
        &mut self,
        prompt_parts: &[PromptPart],
        engine: (SocketAddr, &str),
        now: Duration,
        may_save: bool,
    ) -> Plan {
        self.plan_among(prompt_parts, engine, now, may_save, |_| true)
    }

    /// Plans as [`PartDirectory::plan`] does, and uses only places for which `may_use` holds.
    pub fn plan_among<MayUse>(
        &mut self,
        prompt_parts: &[PromptPart],
        (engine, failure_domain): (SocketAddr, &str),
        now: Duration,
        may_save: bool,
        may_use: MayUse,
    ) -> Plan
    where
        MayUse: Fn(SocketAddr) -> bool,
    {
        let mut plan = Plan {
            fetch: vec![None; prompt_parts.len()],
            save: vec![None; prompt_parts.len()],
            transfers: Vec::new(),
        };
        self.pending_saves.retain(|_, until| now < *until);
        for (index, prompt_part) in prompt_parts.iter().enumerate() {
            if prompt_part.tokens < MIN_PART_TOKENS {
                continue;
            }
            let places = self.holders.places(prompt_part.part);
            let places: Vec<(SocketAddr, u32)> =
                places.filter(|(place, _)| may_use(*place)).collect();
            if let Some((place, transfer)) =
                self.choose_source(&places, prompt_part, engine, failure_domain, now)
            {
                plan.fetch[index] = Some(place);
                plan.transfers.extend(transfer);
            }
            let is_stored = places
                .iter()
                .any(|(place, _)| self.stores.contains_key(place));
            if !may_save || is_stored || self.pending_saves.contains_key(&prompt_part.part) {
                continue;
            }
            plan.save[index] = self.choose_destination(prompt_part, failure_domain, now, &may_use);
            if plan.save[index].is_some() {
                self.pending_saves
                    .insert(prompt_part.part, now + SAVE_TIMEOUT);
            }
        }
        plan
    }

    /// Chooses the store that can deliver a part soonest, or another engine if every store's queue
    /// is too long. Returns the transfer as well if the call is expected to wait for a store's
    /// link.
    fn choose_source(
        &mut self,
        places: &[(SocketAddr, u32)],
        prompt_part: &PromptPart,
        engine: SocketAddr,
        failure_domain: &str,
        now: Duration,
    ) -> Option<(SocketAddr, Option<Transfer>)> {
        let complete_holders = places
            .iter()
            .filter(|(_, tokens)| *tokens >= prompt_part.tokens);
        let complete_holders = complete_holders.map(|(place, _)| *place);
        // A store is chosen even if the engine holds the part: it may have evicted it in the
        // meantime.
        let is_on_engine = complete_holders.clone().any(|place| place == engine);
        let is_on_other_engine = complete_holders
            .clone()
            .any(|place| place != engine && !self.stores.contains_key(&place));
        let max_queue = if is_on_other_engine {
            MAX_FETCH_QUEUE_WITH_ENGINE
        } else {
            MAX_FETCH_QUEUE
        };
        let reports = complete_holders
            .clone()
            .filter_map(|place| self.stores.get(&place)?.report(now));
        let ready = reports.filter(|report| is_on_engine || report.queue_time() <= max_queue);
        let soonest = ready.min_by_key(|report| {
            report.queue_time() + report.transfer_time(prompt_part.tokens, failure_domain)
        });
        let Some(report) = soonest else {
            let mut engines = complete_holders.filter(|place| !self.stores.contains_key(place));
            return engines
                .find(|place| *place != engine)
                .map(|place| (place, None));
        };
        let store = report.address();
        if is_on_engine {
            return Some((store, None));
        }
        let transfer_time = report.transfer_time(prompt_part.tokens, failure_domain);
        let expected_wait = report.queue_time() + transfer_time;
        self.reserve_link(store, transfer_time, now);
        let transfer = Transfer {
            store,
            expected_wait,
        };
        Some((store, Some(transfer)))
    }

    /// Records that a call with this plan took `took` to its first event. Calls without transfers
    /// form the baseline; a delayed call marks the stores it waited for as slower.
    pub fn record_first_event(&mut self, plan: &Plan, took: Duration, now: Duration) {
        if plan.transfers.is_empty() {
            self.baseline.record(took);
            return;
        }
        if !self.baseline.is_delayed(took, plan.expected_wait()) {
            return;
        }
        for transfer in &plan.transfers {
            if let Some(store) = self.stores.get_mut(&transfer.store) {
                store.slowdown.record_delay(now);
            }
        }
    }

    fn choose_destination<MayUse>(
        &mut self,
        prompt_part: &PromptPart,
        failure_domain: &str,
        now: Duration,
        may_use: MayUse,
    ) -> Option<SocketAddr>
    where
        MayUse: Fn(SocketAddr) -> bool,
    {
        let reports = self.stores.values().filter_map(|store| store.report(now));
        let ready = reports.filter(|report| {
            may_use(report.address())
                && report.takes_save_of(prompt_part.part)
                && report.free_share() > MIN_FREE_SHARE
                && report.queue_time() <= MAX_SAVE_QUEUE
        });
        let weighted =
            ready.map(|report| (report.save_weight(prompt_part.part, failure_domain), report));
        let (_, report) = weighted.max_by(|left, right| left.0.total_cmp(&right.0))?;
        let address = report.address();
        let transfer_time = report.transfer_time(prompt_part.tokens, failure_domain);
        self.reserve_link(address, transfer_time, now);
        Some(address)
    }

    /// Reserves time on a store's link for a transfer planned by this instance.
    fn reserve_link(&mut self, address: SocketAddr, transfer_time: Duration, now: Duration) {
        let Some(store) = self.stores.get_mut(&address) else {
            return;
        };
        store.reserve_link(transfer_time, now);
        *self.link_use.entry(address).or_default() += transfer_time;
    }

    /// Total time for which this instance has planned to use each store's link since its start.
    #[must_use]
    pub fn link_use(&self) -> Vec<LinkUse> {
        let link_use = self.link_use.iter();
        link_use.map(|(store, time)| (*store, *time)).collect()
    }

    /// Reserves `time` on a store's link for transfers planned by another instance.
    pub fn add_peer_link_use(&mut self, store: SocketAddr, time: Duration, now: Duration) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.reserve_link(time, now);
        }
    }
}
