//! Decides which stores and engines this instance follows itself, and starts and stops their
//! followers.

use {
    crate::{
        FollowerPace, MembershipSettling, Ownership, Platform, START_PERIOD, Takeovers,
        place_follower::PlaceFollower, shared::Shared,
    },
    catalog::{FailureDomainId, InstanceId},
    eventlog::Event,
    parts::Store,
    relay::{View, boot_time},
    routes::{PoolKind, RouteTable, StoreProperties},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    supervisor::ChildResult,
    target::Client,
    tokio::{task::JoinSet, time::sleep},
    tokio_util::sync::CancellationToken,
};

/// If the feed of an instance could not be read for this long, this instance follows its places as
/// well.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Interval between checks for silent instances.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Age from which a record of a part in an engine is removed, since the part's eviction may have been
/// missed.
const MAX_ENGINE_RECORD_AGE: Duration = Duration::from_mins(10);
/// Interval between removals of such records. A removal scans all records, so it runs rarely.
const EXPIRY_PERIOD: Duration = Duration::from_mins(1);

/// Follows this instance's share of the stores and engines, and those of silent instances, until
/// `token` is cancelled.
pub(crate) async fn watch<Kv, Format>(
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    token: CancellationToken,
) -> ChildResult
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    let mut watch = PlaceWatch {
        shared,
        client,
        places: BTreeMap::new(),
        instances: Vec::new(),
        silent: BTreeSet::new(),
        followers: HashMap::new(),
        takeovers: Takeovers::default(),
        settling: MembershipSettling::default(),
        pace: FollowerPace::default(),
        tasks: JoinSet::new(),
        expires_at: boot_time() + EXPIRY_PERIOD,
    };
    let shared = watch.shared.clone();
    loop {
        let changed = shared.changed.notified();
        let period = watch.update();
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
            () = sleep(period) => {}
        }
    }
}

/// A store or an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Place {
    /// Whether it is a store; otherwise it is an engine.
    is_store: bool,
    failure_domain: FailureDomainId,
}

struct PlaceWatch<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    places: BTreeMap<SocketAddr, Place>,
    /// Instances that the places are assigned to, with their failure domains.
    instances: Vec<(InstanceId, FailureDomainId)>,
    /// Those of them that don't answer, in a fleet with aggregators.
    silent: BTreeSet<InstanceId>,
    followers: HashMap<SocketAddr, CancellationToken>,
    /// Places of silent instances that this one follows.
    takeovers: Takeovers,
    /// Delays the first followers until the instances that share the places are known.
    settling: MembershipSettling,
    /// Limits how fast places are added to `followers`.
    pace: FollowerPace,
    /// Tasks of the followers, aborted on drop.
    tasks: JoinSet<()>,
    /// Time of the next removal of old records.
    expires_at: Duration,
}

impl<Kv, Format> PlaceWatch<Kv, Format>
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    /// Brings the followers in line with the view. Returns the time until the next check.
    fn update(&mut self) -> Duration {
        let view = self.shared.relay_state.view();
        let places_changed = self.update_places(&view);
        self.assign(places_changed);
        let ready = self.shared.ready_members();
        let members = ready.iter().map(|(name, _)| name);
        let own = &self.shared.settings.instance;
        if let Some(rest) = self.settling.update(members, own, boot_time()) {
            return rest.min(CHECK_PERIOD);
        }
        if self.update_followers() {
            CHECK_PERIOD
        } else {
            START_PERIOD
        }
    }

    /// Brings the followers in line with the assignment. Returns whether all places that this instance
    /// should follow are followed; otherwise the rest have to wait.
    fn update_followers(&mut self) -> bool {
        let ownership = self.shared.ownership.load_full();
        let mut wanted: Vec<SocketAddr> = self
            .places
            .keys()
            .copied()
            .filter(|place| self.is_followed_here(&ownership, *place))
            .collect();
        self.log_takeovers(&ownership, &wanted);
        // Calls use what stores hold before what other engines hold.
        wanted.sort_by_key(|place| !self.places[place].is_store);
        self.followers.retain(|place, stop| {
            let stays = wanted.contains(place);
            if !stays {
                stop.cancel();
                self.shared.feed.unfollow(*place);
            }
            stays
        });
        let now = boot_time();
        let mut follows_all = true;
        for place in wanted {
            if self.followers.contains_key(&place) {
                continue;
            }
            if !self.pace.try_start(now) {
                follows_all = false;
                break;
            }
            self.follow(place);
        }
        self.expire_old_records(now);
        follows_all
    }

    /// Logs the takeovers of silent instances' places that have begun or ended.
    fn log_takeovers(&mut self, ownership: &Ownership, followed: &[SocketAddr]) {
        let own = &self.shared.settings.instance;
        let owners = followed.iter().filter_map(|place| ownership.owner(*place));
        let silent = owners.filter(|owner| *owner != own).cloned();
        for change in self.takeovers.update(silent) {
            self.shared.log.emit(&Event::Takeover {
                instance: change.owner,
                state: if change.has_begun { "begun" } else { "ended" },
                places_count: change.places_count,
            });
        }
    }

    /// Assigns the places to the instances, if any of these have changed.
    fn assign(&mut self, places_changed: bool) {
        let ready = self.shared.ready_members();
        let has_aggregators = self.shared.has_aggregators();
        let settings = &self.shared.settings;
        let others = ready
            .iter()
            .filter(|(name, record)| *name != settings.instance && record.feed.is_some());
        let mut instances: Vec<_> = others
            .map(|(name, record)| (name.clone(), record.failure_domain.clone()))
            .collect();
        instances.push((settings.instance.clone(), settings.failure_domain.clone()));
        let silent = if has_aggregators {
            self.shared.silences().longer_than(MAX_SILENCE, boot_time())
        } else {
            BTreeSet::new()
        };
        if !places_changed && instances == self.instances && silent == self.silent {
            return;
        }
        let ownership = if has_aggregators {
            let places = self.places.iter();
            let places = places.map(|(address, place)| (*address, place.failure_domain.as_str()));
            Ownership::within_domains(places, &instances, &silent)
        } else {
            let names: Vec<_> = instances.iter().map(|(name, _)| name.clone()).collect();
            Ownership::new(self.places.keys().copied(), &names)
        };
        self.shared.ownership.store(Arc::new(ownership));
        self.instances = instances;
        self.silent = silent;
    }

    fn expire_old_records(&mut self, now: Duration) {
        if now < self.expires_at {
            return;
        }
        self.expires_at = now + EXPIRY_PERIOD;
        let since = now.saturating_sub(MAX_ENGINE_RECORD_AGE);
        self.shared.relay_state.cache_index().expire(since);
    }

    /// Updates the stores and engines from the view. Returns whether they have changed.
    fn update_places(&mut self, view: &View) -> bool {
        let stores = view.route_table.as_deref().map(stores).unwrap_or_default();
        let mut places = engines(view);
        places.extend(stores.iter().map(|store| {
            let place = Place {
                is_store: true,
                failure_domain: store.failure_domain.clone(),
            };
            (store.address, place)
        }));
        if places == self.places {
            return false;
        }
        let now = boot_time();
        let mut cache_index = self.shared.relay_state.cache_index();
        for gone in self.places.keys().filter(|it| !places.contains_key(it)) {
            cache_index.clear(*gone, now);
            cache_index.set_available(*gone, false, now);
        }
        for store in stores {
            cache_index.set_store(store);
        }
        drop(cache_index);
        self.places = places;
        true
    }

    /// Whether this instance owns the place, or the owner is silent. In a fleet with aggregators, one
    /// instance follows the place of a silent one, which the others read through them; in a small one,
    /// each that can't read the owner does.
    fn is_followed_here(&self, ownership: &Ownership, place: SocketAddr) -> bool {
        if self.shared.has_aggregators() {
            return ownership.follower(place) == Some(&self.shared.settings.instance);
        }
        let Some(owner) = ownership.owner(place) else {
            return false;
        };
        let silence = self.shared.silence(owner, boot_time());
        *owner == self.shared.settings.instance || silence > MAX_SILENCE
    }

    fn follow(&mut self, place: SocketAddr) {
        let stop = CancellationToken::new();
        self.followers.insert(place, stop.clone());
        self.shared.feed.follow(place);
        let is_store = self.places.get(&place).is_some_and(|it| it.is_store);
        let (shared, client) = (self.shared.clone(), self.client.clone());
        let task = PlaceFollower::new(shared, client, place, is_store);
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task.run() => {}
            }
        });
    }
}

/// Returns the registered engines outside evacuated failure domains, by address.
fn engines(view: &View) -> BTreeMap<SocketAddr, Place> {
    let Some(table) = &view.route_table else {
        return BTreeMap::new();
    };
    let pools = table.config().pools.values();
    let pools = pools.filter(|pool| matches!(pool.kind, PoolKind::Engine(_)));
    let targets = pools.flat_map(|pool| view.targets_in_use(&pool.name));
    let engines = targets.map(|target| {
        let place = Place {
            is_store: false,
            failure_domain: target.failure_domain.clone(),
        };
        (target.address, place)
    });
    engines.collect()
}

/// Returns the stores of a configuration.
fn stores(table: &RouteTable) -> Vec<Store> {
    let pools = table.config().pools.values();
    let bytes_per_token = pools.clone().find_map(|pool| match &pool.kind {
        PoolKind::Engine(engine) => Some(engine.bytes_per_token),
        _ => None,
    });
    let stores = pools.filter_map(|pool| match &pool.kind {
        PoolKind::Store(properties) => Some(store(properties, bytes_per_token.unwrap_or_default())),
        _ => None,
    });
    stores.collect()
}

fn store(properties: &StoreProperties, bytes_per_token: u64) -> Store {
    #[allow(clippy::cast_precision_loss)]
    let token_s = bytes_per_token as f64 * 8.0 / properties.link_bits_per_s.max(1.0);
    let mut store = Store::new(properties.address, properties.capacity_tokens);
    store.failure_domain.clone_from(&properties.failure_domain);
    store.time_per_token = Duration::try_from_secs_f64(token_s).unwrap_or_default();
    store.setup_time = properties.transfer_latency;
    store.unavailable()
}
