//! What an instance knows of stored parts: its own reports of the stores that it follows, and the feeds of
//! the others. Its conclusions are those of the product's [`PartDirectory`].

use {
    crate::stores::{self, Store, cached},
    entry::Ownership,
    parts::{Change, ChangeLog, PartDirectory, PartKey, Position},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Longest time that a store or an instance holds a request while it has no changes.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Delay after a failed request.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Delay between requests.
const POLL_DELAY: Duration = Duration::from_millis(60);
/// Silence of an instance after which the others follow its stores.
const MAX_SILENCE: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Follower {
    /// Incarnation of the store, and number of its parts that are known.
    position: Option<(u64, usize)>,
    is_available: Option<bool>,
    requested_at: Duration,
}

#[derive(Debug, Default)]
struct Reader {
    position: Option<Position>,
    places: HashSet<SocketAddr>,
    requested_at: Duration,
    heard_at: Duration,
}

/// What one instance knows of stored parts.
#[derive(Debug)]
pub struct PartsView {
    /// The product's directory.
    pub directory: PartDirectory,
    log: ChangeLog,
    ownership: Ownership,
    followers: BTreeMap<SocketAddr, Follower>,
    readers: BTreeMap<String, Reader>,
    /// When the instance last heard that a store held a part.
    heard: HashMap<(SocketAddr, PartKey), Duration>,
}

/// What one feed tells.
pub struct Batch {
    position: Position,
    changes: Vec<Change>,
}

impl PartsView {
    /// An instance that knows nothing; `start` tells the starts of instances apart.
    pub fn new(start: u64) -> Self {
        Self {
            directory: PartDirectory::default(),
            log: ChangeLog::new(start),
            ownership: Ownership::default(),
            followers: BTreeMap::new(),
            readers: BTreeMap::new(),
            heard: HashMap::new(),
        }
    }

    /// When the instance last heard that the store held the part.
    pub fn heard_at(&self, store: SocketAddr, part: PartKey) -> Option<Duration> {
        self.heard.get(&(store, part)).copied()
    }

    /// Deals the stores out among the instances `names`, of which `own` is one.
    pub fn assign(&mut self, stores: &[SocketAddr], names: &[String], own: &str, now: Duration) {
        let others = names.iter().filter(|name| *name != own);
        for name in others.clone() {
            let new = || Reader {
                heard_at: now,
                ..Reader::default()
            };
            self.readers.entry(name.clone()).or_insert_with(new);
        }
        self.readers.retain(|name, _| names.contains(name));
        let mut instances: Vec<String> = others.cloned().collect();
        instances.push(own.to_owned());
        for store in stores {
            self.directory
                .set_store(parts::Store::new(*store, 1_000_000));
        }
        self.ownership = Ownership::new(stores.iter().copied(), &instances);
        for store in stores {
            let owner = self.ownership.owner(*store).unwrap();
            let silence = self
                .readers
                .get(owner)
                .map(|it| now.saturating_sub(it.heard_at));
            let is_followed = owner == own || silence.is_some_and(|it| it > MAX_SILENCE);
            if is_followed && !self.followers.contains_key(store) {
                self.followers.insert(*store, Follower::default());
                self.publish(Change::Cleared { place: *store }, now);
            }
            if !is_followed && self.followers.remove(store).is_some() {
                self.log.push(Change::Cleared { place: *store });
            }
        }
    }

    /// Follows a store for one tick, if it is this instance's to follow. `answers`: the store answers
    /// this instance.
    pub fn follow(&mut self, store: &Store, answers: bool, now: Duration) {
        let place = stores::address(store.index);
        let Some(mut follower) = self.followers.remove(&place) else {
            return;
        };
        self.poll(&mut follower, store, answers, now);
        self.followers.insert(place, follower);
    }

    fn poll(&mut self, follower: &mut Follower, store: &Store, answers: bool, now: Duration) {
        let place = stores::address(store.index);
        let known = follower.position;
        let has_news = known != Some((store.incarnation, store.whole.len()));
        let is_done = now >= follower.requested_at + LONG_POLL_WAIT;
        if now < follower.requested_at || answers && !has_news && !is_done {
            return;
        }
        if answers {
            let is_restarted = known.is_some_and(|(it, _)| it != store.incarnation);
            if is_restarted {
                self.publish(Change::Cleared { place }, now);
                follower.position = None;
            } else {
                let known_count = known.map_or(0, |(_, count)| count);
                let parts = store.whole[known_count..].iter();
                let parts: Vec<_> = parts.map(|part| cached(*part)).collect();
                if !parts.is_empty() {
                    self.publish(Change::Held { place, parts }, now);
                }
                follower.position = Some((store.incarnation, store.whole.len()));
            }
        }
        if follower.is_available != Some(answers) {
            follower.is_available = Some(answers);
            let available = answers;
            self.publish(Change::Available { place, available }, now);
        }
        if answers {
            self.directory.set_reported(place, follower.requested_at);
        }
        follower.requested_at = now + if answers { POLL_DELAY } else { RETRY_DELAY };
    }

    /// What the feed of this instance tells a reader whose position is `since`.
    pub fn feed(&self, since: Option<Position>) -> Batch {
        let followed = self.followers.keys().copied().collect();
        let changes = since.and_then(|since| self.log.since(since));
        Batch {
            position: self.log.position(),
            changes: changes.unwrap_or_else(|| self.directory.snapshot(&followed)),
        }
    }

    /// Position from which the feed of `peer` is read next; `None` for all of it.
    pub fn position(&mut self, peer: &str) -> Option<Position> {
        let reader = self.readers.get_mut(peer)?;
        let owned = self.ownership.places_of(peer);
        if !owned.is_subset(&reader.places) {
            reader.position = None;
        }
        reader.places = owned;
        reader.position
    }

    /// Reads the feed of `peer` for one tick; `batch` is `None` if it does not answer.
    pub fn read(&mut self, peer: &str, batch: Option<Batch>, now: Duration) {
        let Some(mut reader) = self.readers.remove(peer) else {
            return;
        };
        if now >= reader.requested_at {
            match batch {
                None => reader.requested_at = now + RETRY_DELAY,
                Some(batch) => self.apply(&mut reader, &batch, now),
            }
        }
        self.readers.insert(peer.to_owned(), reader);
    }

    fn apply(&mut self, reader: &mut Reader, batch: &Batch, now: Duration) {
        if batch.changes.is_empty() && now < reader.requested_at + LONG_POLL_WAIT {
            return;
        }
        for change in &batch.changes {
            if reader.places.contains(&change.place()) {
                self.hear(change, now);
                self.directory.apply(change, now);
            }
        }
        for place in &reader.places {
            self.directory.set_reported(*place, reader.requested_at);
        }
        reader.position = Some(batch.position);
        reader.heard_at = now;
        reader.requested_at = now + POLL_DELAY;
    }

    fn publish(&mut self, change: Change, now: Duration) {
        self.hear(&change, now);
        self.directory.apply(&change, now);
        self.log.push(change);
    }

    fn hear(&mut self, change: &Change, now: Duration) {
        if let Change::Held { place, parts } = change {
            let heard = parts.iter().map(|held| ((*place, held.part), now));
            self.heard.extend(heard);
        }
    }
}
