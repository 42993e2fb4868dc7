//! The origins of streams that an instance knows, and its requests to other instances about them.

use {
    crate::{View, boot_time, route_pools::RoutePools},
    origins::{
        OriginKnowledge, OriginRecord, OriginTable, PoolVersions, PossibleOrigins, StreamKey,
    },
    routes::Route,
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::timeout,
    },
};

/// Number of records and of questions that may wait to be sent to other instances.
const MAX_WAITING_COUNT: usize = 4_096;
/// Time within which other instances tell what they know of a stream.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same while this instance knows of one version only and has no reason to doubt it. Shorter, since an
/// instance that does not answer then holds up streams which almost always go on.
pub(crate) const UNDOUBTED_TIMEOUT: Duration = Duration::from_millis(150);

/// Time in which what other instances have told by the deadline of a question reaches the call.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// A question to the other instances: where a stream began.
#[derive(Debug)]
pub struct OriginQuestion {
    /// Key of the stream.
    pub key: StreamKey,
    /// When those that have not answered by then count as silent.
    pub deadline: Instant,
    /// Receives what they know.
    pub answer: oneshot::Sender<ToldOrigin>,
}

/// What other instances have told of the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ToldOrigin {
    /// What they know.
    pub known: OriginKnowledge,
    /// Whether one that would keep it was among those that answered.
    pub has_holder_answered: bool,
}

impl ToldOrigin {
    /// Nobody has told anything.
    fn nothing() -> Self {
        Self {
            known: OriginKnowledge::Unknown,
            has_holder_answered: false,
        }
    }
}

/// Receives what this instance wants other instances to keep or to tell.
#[derive(Debug)]
pub struct OriginRequests {
    /// Records for the holders of their keys.
    pub records: mpsc::Receiver<OriginRecord>,
    /// Questions to the holders of their keys.
    pub questions: mpsc::Receiver<OriginQuestion>,
}

/// The origins of streams that an instance knows. Another task sends its requests to other instances
/// and keeps their records here.
#[derive(Debug)]
pub struct StreamOrigins {
    state: Mutex<State>,
    records: mpsc::Sender<OriginRecord>,
    questions: mpsc::Sender<OriginQuestion>,
    requests: tokio::sync::Mutex<OriginRequests>,
}

#[derive(Debug, Default)]
struct State {
    table: OriginTable,
    pool_versions: PoolVersions,
    route_pools: RoutePools,
}

/// Where streams of a route can have begun, as far as this instance knows.
#[derive(Debug)]
pub(crate) struct RouteOrigins {
    pub(crate) possible: PossibleOrigins,
    /// Whether this instance knows the route and its pools for as long as its streams may be taken up, so that
    /// nothing else is possible for them.
    pub(crate) is_history_known: bool,
}

impl RouteOrigins {
    /// Whether only one origin is possible, as far as this instance knows.
    pub(crate) fn is_sure(&self) -> bool {
        self.is_history_known && matches!(self.possible, PossibleOrigins::One(_))
    }
}

impl Default for StreamOrigins {
    fn default() -> Self {
        let (record_sender, records) = mpsc::channel(MAX_WAITING_COUNT);
        let (question_sender, questions) = mpsc::channel(MAX_WAITING_COUNT);
        Self {
            state: Mutex::default(),
            records: record_sender,
            questions: question_sender,
            requests: tokio::sync::Mutex::new(OriginRequests { records, questions }),
        }
    }
}

impl StreamOrigins {
    /// Waits for the requests of this instance, which one task handles at a time.
    pub async fn requests(&self) -> tokio::sync::MutexGuard<'_, OriginRequests> {
        self.requests.lock().await
    }

    /// Takes over the software versions of the targets and the pools of the routes in `view`. Sends the records
    /// of this instance's streams in the pools that have more than one version, or whose routes lead elsewhere,
    /// from `now` on, by [`boot_time`].
    pub fn observe(&self, view: &View, now: Duration) {
        let pools = view.pools.iter();
        let targets = pools.flat_map(|(pool, targets)| {
            let versions = targets.iter().map(|it| it.software_version.as_str());
            versions.map(|version| (pool.as_str(), version))
        });
        let mut state = self.lock();
        for pool in state.pool_versions.observe(targets, now) {
            self.send_own(&state, &pool, "has several software versions");
        }
        if let Some(table) = &view.route_table {
            for pool in state.route_pools.observe(table, now) {
                self.send_own(&state, &pool, "is not the only one of its routes");
            }
        }
    }

    /// Sends the records of this instance's streams in `pool`, since it `is_in_doubt`.
    fn send_own(&self, state: &State, pool: &str, is_in_doubt: &str) {
        let records = state.table.own_records(pool, boot_time());
        log::info!(
            "pool {pool} {is_in_doubt}; sending the origins of {} streams",
            records.len()
        );
        for record in records {
            self.send(record);
        }
    }

    /// What this instance knows of where streams of `route` can have begun.
    pub(crate) fn of_route(&self, route: &Route) -> RouteOrigins {
        let (now, time) = (boot_time(), route.time_limit);
        let state = self.lock();
        let pools = state.route_pools.pools(route, now);
        let pool_versions = &state.pool_versions;
        RouteOrigins {
            possible: pool_versions.possible_origins(pools.iter(), now),
            is_history_known: state.route_pools.is_known_for(route, time, now)
                && pool_versions.is_history_known(pools.iter(), time, now),
        }
    }

    /// Keeps the origin of a stream whose first event this instance passes on. If `is_sent`, other
    /// instances keep it as well.
    pub(crate) fn begin(&self, record: OriginRecord, is_sent: bool) {
        self.lock().table.record(&record, true, boot_time());
        if is_sent {
            self.send(record);
        }
    }

    /// What the instances that keep the origin of a stream know of it. They are given `answer_timeout` to tell it.
    pub(crate) async fn ask(&self, key: StreamKey, answer_timeout: Duration) -> ToldOrigin {
        let (answer, answered) = oneshot::channel();
        let question = OriginQuestion {
            key,
            deadline: Instant::now() + answer_timeout,
            answer,
        };
        if let Err(error) = self.questions.try_send(question) {
            log::warn!("cannot ask where a stream began, it counts as unknown: {error}");
            return ToldOrigin::nothing();
        }
        match timeout(answer_timeout + DELIVERY_TIME, answered).await {
            Ok(Ok(told)) => told,
            // Nobody has told in time, or nobody is there to ask.
            Ok(Err(_)) | Err(_) => ToldOrigin::nothing(),
        }
    }

    /// What this instance itself knows of the origin of a stream.
    #[must_use]
    pub fn known(&self, key: StreamKey) -> OriginKnowledge {
        self.lock().table.origin(key, boot_time())
    }

    /// Keeps the record of another instance.
    pub fn hold(&self, record: &OriginRecord) {
        self.lock().table.record(record, false, boot_time());
    }

    /// Number of streams whose origin is kept.
    #[must_use]
    pub fn kept_count(&self) -> usize {
        self.lock().table.len()
    }

    fn send(&self, record: OriginRecord) {
        if let Err(error) = self.records.try_send(record) {
            log::warn!("the origin of a stream is kept here only: {error}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
