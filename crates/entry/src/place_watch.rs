//! Decides which stores and engines this instance follows itself.

use {
    crate::{Ownership, Platform, place_follower::PlaceFollower, shared::Shared},
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

/// An instance whose feed was not read for so long has its places followed here as well.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// How often silent instances are looked for.
const PERIOD: Duration = Duration::from_secs(1);
/// What was noted of an engine longer ago may have been dropped unheard.
const MAX_NOTE_AGE: Duration = Duration::from_mins(10);
/// How often it is looked for such notes: all that is known is gone through.
const EXPIRY_PERIOD: Duration = Duration::from_mins(1);

/// Follows this instance's share of the stores and engines until `token` is cancelled, and those of
/// instances that stay silent.
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
        followed: HashMap::new(),
        tasks: JoinSet::new(),
        expires_at: boot_time() + EXPIRY_PERIOD,
    };
    let shared = watch.shared.clone();
    loop {
        let changed = shared.changed.notified();
        watch.look();
        tokio::select! {
            () = token.cancelled() => return Ok(()),
            () = changed => {}
            () = sleep(PERIOD) => {}
        }
    }
}

/// Whether a place is a store; else it is an engine.
type IsStore = bool;

struct PlaceWatch<Kv, Format> {
    shared: Arc<Shared<Kv, Format>>,
    client: Client,
    places: BTreeMap<SocketAddr, IsStore>,
    /// Instances that the places are dealt out among.
    instances: Vec<InstanceId>,
    followed: HashMap<SocketAddr, CancellationToken>,
    /// Ends its tasks when dropped.
    tasks: JoinSet<()>,
    /// When old notes are looked for next.
    expires_at: Duration,
}

impl<Kv, Format> PlaceWatch<Kv, Format>
where
    Kv: Send + Sync + 'static,
    Format: Platform,
{
    fn look(&mut self) {
        let view = self.shared.followed.view();
        let has_other_places = self.take_places(&view);
        self.deal_out(has_other_places);
        let ownership = self.shared.ownership.load_full();
        let wanted: Vec<SocketAddr> = self
            .places
            .keys()
            .copied()
            .filter(|place| self.is_followed_here(&ownership, *place))
            .collect();
        self.followed.retain(|place, stop| {
            let stays = wanted.contains(place);
            if !stays {
                stop.cancel();
                self.shared.feed.unfollow(*place);
            }
            stays
        });
        for place in wanted {
            self.follow(place);
        }
        self.expire(boot_time());
    }

    /// Deals the places out among the instances, if either are others than before.
    fn deal_out(&mut self, has_other_places: bool) {
        let instances = self.shared.known().feeding_instances();
        let own = &self.shared.settings.instance;
        let mut names: Vec<_> = instances.into_keys().filter(|name| name != own).collect();
        names.push(own.clone());
        if !has_other_places && names == self.instances {
            return;
        }
        let ownership = Ownership::new(self.places.keys().copied(), &names);
        self.shared.ownership.store(Arc::new(ownership));
        self.instances = names;
    }

    fn expire(&mut self, now: Duration) {
        if now < self.expires_at {
            return;
        }
        self.expires_at = now + EXPIRY_PERIOD;
        let since = now.saturating_sub(MAX_NOTE_AGE);
        self.shared.followed.cache_index().expire(since);
    }

    /// Takes over the stores and engines that there are. Returns whether they are others than before.
    fn take_places(&mut self, view: &View) -> bool {
        let stores = view.route_table.as_deref().map(stores).unwrap_or_default();
        let mut places: BTreeMap<SocketAddr, IsStore> = engines(view)
            .into_iter()
            .map(|address| (address, false))
            .collect();
        places.extend(stores.iter().map(|store| (store.address, true)));
        if places == self.places {
            return false;
        }
        let mut keeping = self.shared.followed.cache_index();
        for gone in self.places.keys().filter(|it| !places.contains_key(it)) {
            keeping.clear(*gone);
            keeping.set_available(*gone, false);
        }
        for store in stores {
            keeping.set_store(store);
        }
        drop(keeping);
        self.places = places;
        true
    }

    /// Whether the place is this instance's, or its instance stays silent.
    fn is_followed_here(&self, ownership: &Ownership, place: SocketAddr) -> bool {
        let Some(owner) = ownership.owner(place) else {
            return false;
        };
        let silence = self.shared.silence(owner, boot_time());
        *owner == self.shared.settings.instance || silence > MAX_SILENCE
    }

    fn follow(&mut self, place: SocketAddr) {
        if self.followed.contains_key(&place) {
            return;
        }
        let stop = CancellationToken::new();
        self.followed.insert(place, stop.clone());
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

/// Addresses of the engines that are there.
fn engines(view: &View) -> Vec<SocketAddr> {
    let Some(table) = &view.route_table else {
        return Vec::new();
    };
    let pools = table.config().pools.values();
    let pools = pools.filter(|pool| matches!(pool.kind, PoolKind::Engine(_)));
    let targets = pools
        .filter_map(|pool| view.pools.get(&pool.name))
        .flatten();
    targets.map(|target| target.address).collect()
}

/// The stores of a configuration.
fn stores(table: &RouteTable) -> Vec<Store> {
    let pools = table.config().pools.values();
    let token_bytes = pools.clone().find_map(|pool| match &pool.kind {
        PoolKind::Engine(engine) => Some(engine.bytes_per_token),
        _ => None,
    });
    let stores = pools.filter_map(|pool| match &pool.kind {
        PoolKind::Store(traits) => Some(store(traits, token_bytes.unwrap_or_default())),
        _ => None,
    });
    stores.collect()
}

fn store(traits: &StoreProperties, token_bytes: u64) -> Store {
    #[allow(clippy::cast_precision_loss)]
    let token_s = token_bytes as f64 * 8.0 / traits.link_bits_per_s.max(1.0);
    let mut store = Store::new(traits.address, traits.capacity_tokens);
    store.failure_domain.clone_from(&traits.failure_domain);
    store.time_per_token = Duration::try_from_secs_f64(token_s).unwrap_or_default();
    store.setup_time = traits.transfer_latency;
    store.available = false;
    store
}
