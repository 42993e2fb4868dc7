//! What an instance publishes, behind the lock of its feed.

use {
    crate::{MergedReports, MergedRequest, PlacesRequest, Scope},
    parts::{Change, ChangeLog, MAX_REPORT_AGE, PartDirectory, Position},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// A change, and the instances from which it was learned.
#[derive(Clone, Debug)]
struct LogEntry {
    scope: Scope,
    change: Change,
}

/// What an instance has read for others while it is an aggregator.
#[derive(Debug)]
pub(crate) struct Aggregation {
    /// Time at which it became one.
    pub(crate) since: Duration,
    /// First position from which the log has the changes of other instances.
    begin: Position,
    /// Reports of the sources.
    pub(crate) reports: MergedReports,
    /// Where the state of each place was learned that this instance does not follow itself.
    place_scopes: HashMap<SocketAddr, Scope>,
}

/// Changes that a reader requests.
#[derive(Debug)]
pub(crate) struct WantedChanges {
    /// Changes in order, and the whole state of the added places.
    pub(crate) changes: Vec<Change>,
    /// Whether the changes to the other places are missing.
    pub(crate) is_reset: bool,
}

impl WantedChanges {
    /// Joins the changes since a position, if they are known, and the state of the added places.
    fn new(changes: Option<Vec<Change>>, added: Vec<Change>) -> Self {
        let is_reset = changes.is_none();
        let mut changes = changes.unwrap_or_default();
        changes.extend(added);
        Self { changes, is_reset }
    }
}

/// What an instance publishes.
#[derive(Debug)]
pub(crate) struct FeedState {
    log: ChangeLog<LogEntry>,
    /// Places that this instance follows itself.
    pub(crate) followed_places: HashSet<SocketAddr>,
    /// What it has read for others; `None` if it is no aggregator.
    pub(crate) aggregation: Option<Aggregation>,
}

impl FeedState {
    /// Creates the state of an instance that follows nothing yet. `start` is a random number.
    pub(crate) fn new(start: u64) -> Self {
        Self {
            log: ChangeLog::new(start),
            followed_places: HashSet::new(),
            aggregation: None,
        }
    }

    /// Position after the last change.
    pub(crate) fn position(&self) -> Position {
        self.log.position()
    }

    /// Becomes an aggregator at `now`.
    pub(crate) fn begin_aggregation(&mut self, now: Duration) {
        let begin = self.position();
        self.aggregation.get_or_insert_with(|| Aggregation {
            since: now,
            begin,
            reports: MergedReports::default(),
            place_scopes: HashMap::new(),
        });
    }

    /// Appends a change at a place that this instance follows.
    pub(crate) fn push_own(&mut self, change: Change) {
        let scope = Scope::Own;
        self.log.push(LogEntry { scope, change });
    }

    /// Appends a change that was learned from instances in `scope`, if others read it here.
    pub(crate) fn push_read(&mut self, scope: Scope, change: Change) {
        if self.aggregation.is_some() {
            self.log.push(LogEntry { scope, change });
        }
    }

    /// Records that the state of `place` is known from instances in `scope`.
    pub(crate) fn set_place_scope(&mut self, place: SocketAddr, scope: Scope) {
        if let Some(aggregation) = &mut self.aggregation {
            aggregation.place_scopes.insert(place, scope);
        }
    }

    /// Changes at all places that this instance follows, since `since` or from nothing on.
    pub(crate) fn own_changes(
        &self,
        since: Option<Position>,
        cache_index: &PartDirectory,
    ) -> Vec<Change> {
        let changes =
            since.and_then(|since| self.changes_since(since, |it| it.scope == Scope::Own));
        changes.unwrap_or_else(|| cache_index.snapshot(&self.followed_places))
    }

    /// Changes that a reader of some places requests, and the whole state of those that it adds.
    pub(crate) fn place_changes(
        &self,
        request: &PlacesRequest,
        cache_index: &PartDirectory,
    ) -> WantedChanges {
        let is_known = |place: &SocketAddr| {
            request.places.contains(place) && !request.added_places.contains(place)
        };
        let changes = request.since.and_then(|since| {
            let is_wanted = |it: &LogEntry| it.scope == Scope::Own && is_known(&it.change.place());
            self.changes_since(since, is_wanted)
        });
        let covers = |place: &SocketAddr| self.followed_places.contains(place);
        let added = snapshot(&request.added_places, cache_index, covers);
        WantedChanges::new(changes, added)
    }

    /// Changes that a reader of the merged feed requests, and the whole state of the places that it
    /// adds.
    pub(crate) fn merged_changes(
        &self,
        request: &MergedRequest,
        aggregation: &Aggregation,
        cache_index: &PartDirectory,
    ) -> WantedChanges {
        let since = request
            .since
            .filter(|since| since.next >= aggregation.begin.next);
        let changes = since.and_then(|since| {
            self.changes_since(since, |it| {
                it.scope <= request.scope && !request.added_places.contains(&it.change.place())
            })
        });
        let covers = |place: &SocketAddr| self.covers(aggregation, request.scope, *place);
        let added = snapshot(&request.added_places, cache_index, covers);
        WantedChanges::new(changes, added)
    }

    /// Age at `now` of the last report of each store in `scope`, without those too old to act on.
    pub(crate) fn report_ages(
        &self,
        aggregation: &Aggregation,
        scope: Scope,
        cache_index: &PartDirectory,
        now: Duration,
    ) -> Vec<(SocketAddr, Duration)> {
        let times = cache_index.reported_times();
        let covered = times.filter(|(place, _)| self.covers(aggregation, scope, *place));
        let ages = covered.map(|(place, reported_at)| (place, now.saturating_sub(reported_at)));
        ages.filter(|(_, age)| *age <= MAX_REPORT_AGE).collect()
    }

    /// Whether the state of `place` is known here from instances in `scope`.
    fn covers(&self, aggregation: &Aggregation, scope: Scope, place: SocketAddr) -> bool {
        let known_from = aggregation.place_scopes.get(&place);
        self.followed_places.contains(&place) || known_from.is_some_and(|it| *it <= scope)
    }

    fn changes_since<Wanted>(&self, since: Position, is_wanted: Wanted) -> Option<Vec<Change>>
    where
        Wanted: Fn(&LogEntry) -> bool,
    {
        let entries = self.log.iter_since(since)?;
        let wanted = entries.filter(|entry| is_wanted(entry));
        Some(wanted.map(|entry| entry.change.clone()).collect())
    }
}

/// Whole state of those `places` of which something is known.
fn snapshot<Known>(
    places: &[SocketAddr],
    cache_index: &PartDirectory,
    is_known: Known,
) -> Vec<Change>
where
    Known: Fn(&SocketAddr) -> bool,
{
    let known = places.iter().copied().filter(is_known);
    let known: HashSet<SocketAddr> = known.collect();
    if known.is_empty() {
        return Vec::new();
    }
    cache_index.snapshot(&known)
}
