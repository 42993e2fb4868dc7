//! Which parts the stores hold.

use {
    crate::{
        CachedPart, Change, PartKey, Plan, PromptPart, Store, Transfer, held_parts::HeldParts,
        pace::Usual,
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Parts shorter than this are read again sooner than a transfer is set up.
const MIN_PART_TOKENS: u32 = 32;
/// A save that no store has reported by then is taken as lost.
const SAVE_TIME: Duration = Duration::from_secs(3);
/// Longest queue before a store's link for which a part is still fetched.
const MAX_QUEUE: Duration = Duration::from_millis(400);
/// The same for a part that another engine holds too. An engine's link is less used, but it may have
/// dropped the part meanwhile.
const MAX_QUEUE_BEFORE_ENGINES: Duration = Duration::from_millis(100);
/// Longest queue before a store's link for which a part is still saved.
const MAX_SAVE_QUEUE: Duration = Duration::from_millis(600);
/// Share of a store's room that is left free, for parts still being written.
const SPARE_SHARE: f64 = 0.03;

/// A store and the time for which one instance has planned to use its link, since its start.
pub type LinkUse = (SocketAddr, Duration);

/// What the stores hold, and what is on its way to them. All times are of one clock, which counts
/// suspension.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    stores: BTreeMap<SocketAddr, Store>,
    held: HeldParts,
    saving: HashMap<PartKey, Duration>,
    usual: Usual,
    /// The engines' clock, and the own clock at the same moment.
    clock: Option<(Duration, Duration)>,
    /// Time for which this instance has planned to use each store's link.
    link_use: BTreeMap<SocketAddr, Duration>,
}

impl PartDirectory {
    /// Adds a store, or takes over its changed traits; what it holds stays.
    pub fn set_store(&mut self, store: Store) {
        let known = self.stores.get(&store.address);
        let store = match known {
            Some(known) => Store {
                held_tokens: known.held_tokens,
                free_at: known.free_at,
                pace: known.pace,
                available: known.available,
                ..store
            },
            None => store,
        };
        self.stores.insert(store.address, store);
    }

    /// Notes the time of the clock that engines and stores share, heard of at `heard_at` by a clock
    /// that counts suspension.
    pub fn set_clock(&mut self, clock: Duration, heard_at: Duration) {
        // The answer that was under way for the shortest time shows the clock best.
        let ahead = |(theirs, own): (Duration, Duration)| theirs.as_secs_f64() - own.as_secs_f64();
        let is_closer = self
            .clock
            .is_none_or(|known| ahead((clock, heard_at)) > ahead(known));
        if is_closer {
            self.clock = Some((clock, heard_at));
        }
    }

    /// The engines' clock at `now`, by a clock that counts suspension; none before it is known.
    #[must_use]
    pub fn clock(&self, now: Duration) -> Option<Duration> {
        let (clock, heard_at) = self.clock?;
        (clock + now).checked_sub(heard_at)
    }

    /// Notes whether a store answers.
    pub fn set_available(&mut self, address: SocketAddr, available: bool) {
        if let Some(store) = self.stores.get_mut(&address) {
            store.available = available;
        }
    }

    /// Takes in what became known of a place.
    pub fn apply(&mut self, change: &Change, now: Duration) {
        match change {
            Change::Held { place, parts } => {
                for held in parts {
                    self.hold(*place, *held, now);
                }
            }
            Change::Cleared { place } => self.clear(*place),
            Change::Available { place, available } => self.set_available(*place, *available),
        }
    }

    /// All that is known of some places, as changes that lead to it.
    #[must_use]
    pub fn snapshot(&self, places: &HashSet<SocketAddr>) -> Vec<Change> {
        let cleared = places.iter().map(|place| Change::Cleared { place: *place });
        let stores = self.stores.values();
        let stores = stores.filter(|store| places.contains(&store.address));
        let available = stores.map(|store| Change::Available {
            place: store.address,
            available: store.available,
        });
        let held = self.held.of_places(|place| places.contains(&place));
        cleared.chain(available).chain(held).collect()
    }

    /// Drops what was noted of engines before `since`: of changes that they never told of, something
    /// stays behind. A store tells of all that it holds.
    pub fn expire(&mut self, since: Duration) {
        let stores = &self.stores;
        self.held.expire(since, |place| stores.contains_key(&place));
    }

    fn hold(&mut self, place: SocketAddr, held: CachedPart, now: Duration) {
        let before = self.held.set(place, held, now);
        let Some(store) = self.stores.get_mut(&place) else {
            return;
        };
        if held.tokens > 0 {
            self.saving.remove(&held.part);
        }
        let held_tokens = store.held_tokens + u64::from(held.tokens);
        store.held_tokens = held_tokens.saturating_sub(u64::from(before));
    }

    /// Whether a place holds all of these parts.
    #[must_use]
    pub fn holds_all(&self, place: SocketAddr, wishes: &[PromptPart]) -> bool {
        let mut wishes = wishes.iter();
        wishes.all(|wish| self.held.at(place, wish.part) >= wish.tokens)
    }

    /// Failure domain of a store that holds a part, if one does.
    #[must_use]
    pub fn store_failure_domain(&self, part: PartKey) -> Option<&str> {
        let mut stores = self
            .held
            .places(part)
            .filter_map(|(place, _)| self.stores.get(&place));
        stores.next().map(|store| store.failure_domain.as_str())
    }

    /// Notes that a place holds nothing, as after its restart.
    pub fn clear(&mut self, address: SocketAddr) {
        self.held.clear(address);
        if let Some(store) = self.stores.get_mut(&address) {
            store.held_tokens = 0;
        }
    }

    /// What a call fetches and saves of the parts that it shares with others, if `engine` in
    /// `failure_domain` runs it. Without `saves` nothing is saved.
    pub fn plan(
        &mut self,
        wishes: &[PromptPart],
        (engine, failure_domain): (SocketAddr, &str),
        now: Duration,
        saves: bool,
    ) -> Plan {
        let mut plan = Plan {
            fetch: vec![None; wishes.len()],
            save: vec![None; wishes.len()],
            transfers: Vec::new(),
        };
        self.saving.retain(|_, until| now < *until);
        for (index, wish) in wishes.iter().enumerate() {
            if wish.tokens < MIN_PART_TOKENS {
                continue;
            }
            let places: Vec<(SocketAddr, u32)> = self.held.places(wish.part).collect();
            if let Some((place, transfer)) =
                self.fetch_from(&places, wish, engine, failure_domain, now)
            {
                plan.fetch[index] = Some(place);
                plan.transfers.extend(transfer);
            }
            let is_stored = places
                .iter()
                .any(|(place, _)| self.stores.contains_key(place));
            if !saves || is_stored || self.saving.contains_key(&wish.part) {
                continue;
            }
            plan.save[index] = self.save_to(wish, failure_domain, now);
            if plan.save[index].is_some() {
                self.saving.insert(wish.part, now + SAVE_TIME);
            }
        }
        plan
    }

    /// The store that has a part soonest, or another engine if no store has it soon enough.
    fn fetch_from(
        &mut self,
        places: &[(SocketAddr, u32)],
        wish: &PromptPart,
        engine: SocketAddr,
        failure_domain: &str,
        now: Duration,
    ) -> Option<(SocketAddr, Option<Transfer>)> {
        let whole = places.iter().filter(|(_, tokens)| *tokens >= wish.tokens);
        let whole = whole.map(|(place, _)| *place);
        // Named all the same: the engine may have evicted it meanwhile.
        let is_here = whole.clone().any(|place| place == engine);
        let has_engine = whole
            .clone()
            .any(|place| place != engine && !self.stores.contains_key(&place));
        let max_queue = if has_engine {
            MAX_QUEUE_BEFORE_ENGINES
        } else {
            MAX_QUEUE
        };
        let stores = whole.clone().filter_map(|place| self.stores.get(&place));
        let ready =
            stores.filter(|store| store.available && (is_here || queue(store, now) <= max_queue));
        let soonest = ready.min_by_key(|store| {
            queue(store, now) + store.transfer_time(wish.tokens, failure_domain, now)
        });
        let Some(store) = soonest else {
            let mut engines = whole.filter(|place| !self.stores.contains_key(place));
            return engines
                .find(|place| *place != engine)
                .map(|place| (place, None));
        };
        let address = store.address;
        if is_here {
            return Some((address, None));
        }
        let expected_wait =
            queue(store, now) + store.transfer_time(wish.tokens, failure_domain, now);
        self.occupy(address, wish.tokens, failure_domain, now);
        let store = address;
        Some((
            address,
            Some(Transfer {
                store,
                expected_wait,
            }),
        ))
    }

    /// Takes in how long a call took to its first event, after it was planned as `plan`.
    pub fn record_first_event(&mut self, plan: &Plan, took: Duration, now: Duration) {
        if plan.transfers.is_empty() {
            self.usual.record(took);
            return;
        }
        if !self.usual.is_held_up(took, plan.expected_wait()) {
            return;
        }
        for transfer in &plan.transfers {
            if let Some(store) = self.stores.get_mut(&transfer.store) {
                store.pace.slow_down(now);
            }
        }
    }

    fn save_to(
        &mut self,
        wish: &PromptPart,
        failure_domain: &str,
        now: Duration,
    ) -> Option<SocketAddr> {
        let ready = self.stores.values().filter(|store| {
            store.available
                && store.free_share() > SPARE_SHARE
                && queue(store, now) <= MAX_SAVE_QUEUE
        });
        let weighed = ready.map(|store| (store.weight(wish.part, failure_domain), store.address));
        let (_, address) = weighed.max_by(|left, right| left.0.total_cmp(&right.0))?;
        self.occupy(address, wish.tokens, failure_domain, now);
        Some(address)
    }

    /// Reckons with a transfer that this instance has planned.
    fn occupy(&mut self, address: SocketAddr, tokens: u32, failure_domain: &str, now: Duration) {
        let Some(store) = self.stores.get_mut(&address) else {
            return;
        };
        let transfer = store.transfer_time(tokens, failure_domain, now);
        store.occupy(transfer, now);
        *self.link_use.entry(address).or_default() += transfer;
    }

    /// Time for which this instance has planned to use each store's link, since its start.
    #[must_use]
    pub fn link_use(&self) -> Vec<LinkUse> {
        let used = self.link_use.iter();
        used.map(|(store, time)| (*store, *time)).collect()
    }

    /// Reckons with `time` more for which another instance uses a store's link.
    pub fn add_peer_link_use(&mut self, store: SocketAddr, time: Duration, now: Duration) {
        if let Some(store) = self.stores.get_mut(&store) {
            store.occupy(time, now);
        }
    }
}

/// Time until a store's link is free.
fn queue(store: &Store, now: Duration) -> Duration {
    store.free_at.saturating_sub(now)
}
