//! Which parts the stores hold.

use {
    crate::{Plan, Store, Wish},
    balance::rendezvous,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Parts shorter than this are read again sooner than a transfer is set up.
const MIN_PART_TOKENS: u32 = 32;
/// A save that no store has reported by then is taken as lost.
const SAVE_TIME: Duration = Duration::from_secs(3);
/// Longest queue before a store's link for which a part is still fetched.
const MAX_QUEUE: Duration = Duration::from_millis(300);
/// Longest queue before a store's link for which a part is still saved.
const MAX_SAVE_QUEUE: Duration = Duration::from_millis(500);
/// Share of a store's room that is left free, for parts still being written.
const SPARE_SHARE: f64 = 0.03;

/// Salt and id of a part.
type PartKey = (String, String);

/// What the stores hold, and what is on its way to them.
#[derive(Clone, Debug, Default)]
pub struct Keeping {
    stores: BTreeMap<SocketAddr, Store>,
    held: HashMap<PartKey, Vec<(SocketAddr, u32)>>,
    saving: HashMap<PartKey, Duration>,
    /// Instances that use the stores; each sees its own share of the transfers.
    instances_count: u32,
}

impl Keeping {
    /// Adds a store, or takes over its changed traits; what it holds stays.
    pub fn set_store(&mut self, store: Store) {
        let known = self.stores.get(&store.address);
        let (held_tokens, free_at) = known.map_or_else(Default::default, |it| (it.held_tokens, it.free_at));
        let store = Store {
            held_tokens,
            free_at,
            ..store
        };
        self.stores.insert(store.address, store);
    }

    /// Sets how many instances use the stores.
    pub fn set_instances(&mut self, instances_count: u32) {
        self.instances_count = instances_count;
    }

    /// Addresses of all stores.
    pub fn stores(&self) -> impl Iterator<Item = &Store> {
        self.stores.values()
    }

    /// Notes whether a store answers.
    pub fn set_available(&mut self, address: SocketAddr, available: bool) {
        if let Some(store) = self.stores.get_mut(&address) {
            store.available = available;
        }
    }

    /// Notes that a store holds a part whole.
    pub fn added(&mut self, address: SocketAddr, salt: &str, id: &str, tokens: u32) {
        let key = (salt.to_owned(), id.to_owned());
        self.saving.remove(&key);
        let places = self.held.entry(key).or_default();
        if places.iter().any(|(place, _)| *place == address) {
            return;
        }
        places.push((address, tokens));
        if let Some(store) = self.stores.get_mut(&address) {
            store.held_tokens += u64::from(tokens);
        }
    }

    /// Notes that a store no longer holds a part.
    pub fn removed(&mut self, address: SocketAddr, salt: &str, id: &str) {
        let key = (salt.to_owned(), id.to_owned());
        let Some(places) = self.held.get_mut(&key) else {
            return;
        };
        let position = places.iter().position(|(place, _)| *place == address);
        if let Some(position) = position {
            let (_, tokens) = places.swap_remove(position);
            if let Some(store) = self.stores.get_mut(&address) {
                store.held_tokens = store.held_tokens.saturating_sub(u64::from(tokens));
            }
        }
        if places.is_empty() {
            self.held.remove(&key);
        }
    }

    /// Notes that a store holds nothing, as after its restart.
    pub fn cleared(&mut self, address: SocketAddr) {
        self.held.retain(|_, places| {
            places.retain(|(place, _)| *place != address);
            !places.is_empty()
        });
        if let Some(store) = self.stores.get_mut(&address) {
            store.held_tokens = 0;
        }
    }

    /// Parts of other salts than `kept` that a store holds, as salt and id.
    #[must_use]
    pub fn outdated<Kept>(&self, address: SocketAddr, kept: Kept) -> Vec<(String, String)>
    where
        Kept: Fn(&str) -> bool,
    {
        let here = self.held.iter();
        let here = here.filter(|(_, places)| places.iter().any(|(place, _)| *place == address));
        here.filter(|((salt, _), _)| !kept(salt))
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Store that a session's parts are kept in: it and the engines near it share a link.
    #[must_use]
    pub fn home(&self, session: &str) -> Option<&Store> {
        let seed = rendezvous::key_seed(session.as_bytes());
        self.stores
            .values()
            .filter(|store| store.available)
            .max_by(|left, right| weight(left, seed).total_cmp(&weight(right, seed)))
    }

    /// Failure domain of the store that holds a part, if one does.
    #[must_use]
    pub fn domain_of(&self, salt: &str, id: &str) -> Option<&str> {
        let places = self.held.get(&(salt.to_owned(), id.to_owned()))?;
        let (place, _) = places.first()?;
        self.stores.get(place).map(|it| it.failure_domain.as_str())
    }

    /// What a call fetches and saves of the parts that it shares with others, if an engine of
    /// `failure_domain` runs it.
    pub fn plan(&mut self, salt: &str, wishes: &[Wish<'_>], failure_domain: &str, now: Duration) -> Plan {
        let mut plan = Plan {
            fetch: vec![None; wishes.len()],
            save: vec![None; wishes.len()],
        };
        self.saving.retain(|_, until| now < *until);
        for (index, wish) in wishes.iter().enumerate() {
            if wish.tokens < MIN_PART_TOKENS {
                continue;
            }
            let key = (salt.to_owned(), wish.id.to_owned());
            if let Some(places) = self.held.get(&key) {
                plan.fetch[index] = self.fetch_from(&places.clone(), wish, failure_domain, now);
            } else if !self.saving.contains_key(&key) {
                plan.save[index] = self.save_to(wish, failure_domain, now);
                if plan.save[index].is_some() {
                    self.saving.insert(key, now + SAVE_TIME);
                }
            }
        }
        plan
    }

    /// The place that has a part soonest, if that is soon enough.
    fn fetch_from(
        &mut self,
        places: &[(SocketAddr, u32)],
        wish: &Wish<'_>,
        failure_domain: &str,
        now: Duration,
    ) -> Option<SocketAddr> {
        let whole = places.iter().filter(|(_, tokens)| *tokens >= wish.tokens);
        let stores = whole.filter_map(|(place, _)| self.stores.get(place));
        let ready = stores.filter(|store| store.available && queue(store, now) <= MAX_QUEUE);
        let soonest = ready.min_by_key(|store| {
            queue(store, now) + store.transfer_time(wish.tokens, failure_domain)
        });
        let address = soonest?.address;
        self.occupy(address, wish.tokens, failure_domain, now);
        Some(address)
    }

    fn save_to(&mut self, wish: &Wish<'_>, failure_domain: &str, now: Duration) -> Option<SocketAddr> {
        let seed = rendezvous::key_seed(wish.id.as_bytes());
        let ready = self.stores.values().filter(|store| {
            store.available && store.free_share() > SPARE_SHARE && queue(store, now) <= MAX_SAVE_QUEUE
        });
        let chosen = ready.max_by(|left, right| {
            near_weight(left, seed, failure_domain)
                .total_cmp(&near_weight(right, seed, failure_domain))
        });
        let address = chosen?.address;
        self.occupy(address, wish.tokens, failure_domain, now);
        Some(address)
    }

    /// Reckons with a transfer; other instances plan as many each.
    fn occupy(&mut self, address: SocketAddr, tokens: u32, failure_domain: &str, now: Duration) {
        let instances_count = self.instances_count.max(1);
        if let Some(store) = self.stores.get_mut(&address) {
            let transfer = store.transfer_time(tokens, failure_domain);
            store.free_at = store.free_at.max(now) + transfer * instances_count;
        }
    }
}

/// Time until a store's link is free.
fn queue(store: &Store, now: Duration) -> Duration {
    store.free_at.saturating_sub(now)
}

/// Rendezvous weight of a store, in proportion to its free room.
fn weight(store: &Store, seed: u64) -> f64 {
    let mixed = rendezvous::score(seed, rendezvous::member_seed(&store.address.to_string()));
    #[allow(clippy::cast_precision_loss)]
    let unit = ((mixed >> 11) as f64 + 0.5) / 2_f64.powi(53);
    #[allow(clippy::cast_precision_loss)]
    let room = store.room_tokens as f64 * store.free_share();
    room.max(1.0) / -unit.ln()
}

/// The same, in favour of stores near the engine.
fn near_weight(store: &Store, seed: u64, failure_domain: &str) -> f64 {
    let near = if store.failure_domain == failure_domain {
        NEAR_WEIGHT
    } else {
        1.0
    };
    weight(store, seed) * near
}

/// Weight of a store in the engine's failure domain against one elsewhere.
const NEAR_WEIGHT: f64 = 4.0;
