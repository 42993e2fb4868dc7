//! Decides which stores and engines this instance follows itself, and starts and stops their
//! followers.

use {
    crate::{
        FollowerPace, Ownership, Platform, START_PERIOD, place_follower::PlaceFollower,
        shared::Shared,
    },
    catalog::InstanceId,
    parts::Store,
    relay::{View, boot_time},
    routes::{PoolKind, RouteTable, StoreProperties},
    std::{
        collections::{BTreeMap, HashMap},
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
        followers: HashMap::new(),
        pace: FollowerPace::default(),
        tasks: JoinSet::new(),
        expires_at: boot_time() + EXPIRY_PERIOD,
    };
    let shared = watch.shared.clone();
    loop {
        let changed = shared.changed.notified();
        let follows_all = watch.update();
        let period = if follows_all {
            CHECK_PERIOD
        } else {
            START_PERIOD
        };
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
            () = sleep(period) => {}
        }
    }
}

/// Whether a place is a store; otherwise it is an engine.
type IsStore = bool;

struct PlaceWatch<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    places: BTreeMap<SocketAddr, IsStore>,
    /// Instances that the places are assigned to.
    instances: Vec<InstanceId>,
    followers: HashMap<SocketAddr, CancellationToken>,
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
    /// Brings the followers in line with the view. Returns whether all places that this instance should
    /// follow are followed; otherwise the rest have to wait.
    fn update(&mut self) -> bool {
        let view = self.shared.relay_state.view();
        let places_changed = self.update_places(&view);
        self.assign(places_changed);
        let ownership = self.shared.ownership.load_full();
        let mut wanted: Vec<SocketAddr> = self
            .places
            .keys()
            .copied()
            .filter(|place| self.is_followed_here(&ownership, *place))
            .collect();
        // Calls use what stores hold before what other engines hold.
        wanted.sort_by_key(|place| !self.places[place]);
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

    /// Assigns the places to the instances, if either have changed.
    fn assign(&mut self, places_changed: bool) {
        let instances = self.shared.known().feed_addresses();
        let own = &self.shared.settings.instance;
        let mut names: Vec<_> = instances.into_keys().filter(|name| name != own).collect();
        names.push(own.clone());
        if !places_changed && names == self.instances {
            return;
        }
        let ownership = Ownership::new(self.places.keys().copied(), &names);
        self.shared.ownership.store(Arc::new(ownership));
        self.instances = names;
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
        let mut places: BTreeMap<SocketAddr, IsStore> = engines(view)
            .into_iter()
            .map(|address| (address, false))
            .collect();
        places.extend(stores.iter().map(|store| (store.address, true)));
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

    /// Whether this instance owns the place, or the owner is silent.
    fn is_followed_here(&self, ownership: &Ownership, place: SocketAddr) -> bool {
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
        let is_store = self.places.get(&place).copied().unwrap_or_default();
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

/// Returns the addresses of the registered engines outside evacuated failure domains.
fn engines(view: &View) -> Vec<SocketAddr> {
    let Some(table) = &view.route_table else {
        return Vec::new();
    };
    let pools = table.config().pools.values();
    let pools = pools.filter(|pool| matches!(pool.kind, PoolKind::Engine(_)));
    let targets = pools.flat_map(|pool| view.targets_in_use(&pool.name));
    targets.map(|target| target.address).collect()
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
