//! Where the stream of a call began, which decides where it may go on.

use {
    crate::{
        Declined, Reason, RelayState, StreamOrigins,
        admit::Admitted,
        boot_time,
        refusal::NO_TARGET_RETRY_AFTER,
        route_pools::own_pools,
        stream_origins::{ANSWER_TIMEOUT, RouteOrigins, UNDOUBTED_TIMEOUT},
        view::MAX_VIEW_AGE,
    },
    origins::{Origin, OriginKnowledge, OriginRecord, PossibleOrigins, StreamKey},
    routes::{PoolId, Route},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Longest wait for word of the key-value service while nobody knows the stream.
const CONFIRMATION_TIME: Duration = Duration::from_secs(1);
/// Interval between checks whether that word has come.
const CONFIRMATION_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// How the instance at which a stream is taken up knows where it began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OriginSource {
    /// It keeps the origin itself.
    Kept,
    /// Another instance has told it.
    Told,
    /// It knows one version only, at which the stream can have begun.
    OnlyVersion,
}

impl OriginSource {
    /// Name in the log.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Told => "told",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// The target at which an event of a stream has arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Began<'target> {
    /// Its pool.
    pub(crate) pool: &'target PoolId,
    /// Version of its software, as registered.
    pub(crate) software_version: &'target str,
    /// Whether its process is known to be the registered one.
    pub(crate) is_registered: bool,
}

/// Where the stream of a call began: the pool and software version to which it is bound.
#[derive(Debug)]
pub(crate) struct CallOrigin {
    origins: Arc<StreamOrigins>,
    origin: Option<Origin>,
    /// How it is known; `None` if the stream begins with this call, or nothing is known.
    source: Option<OriginSource>,
}

impl CallOrigin {
    /// Creates the origin of a call whose stream has not begun, as far as is known.
    pub(crate) fn new(origins: Arc<StreamOrigins>) -> Self {
        Self {
            origins,
            origin: None,
            source: None,
        }
    }

    /// Software version at which the stream must go on; `None` if it has not begun, or if no
    /// version is known at which it can have begun.
    pub(crate) fn software_version(&self) -> Option<&str> {
        let origin = self.origin.as_ref()?;
        Some(origin.software_version.as_str())
    }

    /// How it is known where the stream began; `None` if it begins with this call, or nothing is known.
    pub(crate) fn source(&self) -> Option<OriginSource> {
        self.source
    }

    /// Finds where the stream with this `key` began, which the call resumes. Returns the pool to which the call is
    /// bound.
    ///
    /// Refuses the call if that is not known while it could have been one of several versions, or if
    /// the route does not lead to that pool any more.
    pub(crate) async fn find(
        &mut self,
        key: StreamKey,
        admitted: &Admitted,
        state: &RelayState,
    ) -> Result<PoolId, Declined> {
        let asked_at = boot_time();
        let known = self.origins.known(key);
        if known != OriginKnowledge::Unknown {
            return self.bind_to_known(known, OriginSource::Kept, admitted);
        }
        let RouteOrigins {
            possible,
            is_history_known,
        } = self.origins.of_route(&admitted.route);
        let is_undoubted = possible != PossibleOrigins::Several
            && state.view().is_confirmed_within(MAX_VIEW_AGE)
            && is_history_known;
        let answer_timeout = if is_undoubted {
            UNDOUBTED_TIMEOUT
        } else {
            ANSWER_TIMEOUT
        };
        // Even an undoubted view may lag behind that of the instance which began the stream.
        let told = self.origins.ask(key, answer_timeout).await;
        if told.known != OriginKnowledge::Unknown {
            return self.bind_to_known(told.known, OriginSource::Told, admitted);
        }
        // An instance in doubt would have told the holders.
        let may_go_on = self.origins.of_route(&admitted.route).is_sure();
        if may_go_on && !told.has_holder_answered && !is_confirmed_since(state, asked_at).await {
            return Err(Reason::OriginUnknown.into());
        }
        self.bind_to_only(self.origins.of_route(&admitted.route))
    }

    fn bind_to_known(
        &mut self,
        known: OriginKnowledge,
        source: OriginSource,
        admitted: &Admitted,
    ) -> Result<PoolId, Declined> {
        let OriginKnowledge::Known(origin) = known else {
            return Err(Reason::OriginUnknown.into());
        };
        if origin.is_unregistered() {
            return Err(Reason::OriginUnknown.into());
        }
        if !own_pools(&admitted.route).any(|pool| *pool == origin.pool) {
            return Err(Reason::OriginGone.into());
        }
        Ok(self.bind(origin, source))
    }

    /// Binds the call to the only possible origin, since others may appear while it is under way.
    fn bind_to_only(&mut self, of_route: RouteOrigins) -> Result<PoolId, Declined> {
        match of_route.possible {
            PossibleOrigins::None => {
                Err(Declined::new(Reason::NoTarget).retry_after(NO_TARGET_RETRY_AFTER))
            }
            PossibleOrigins::One(origin) if of_route.is_history_known => {
                Ok(self.bind(origin, OriginSource::OnlyVersion))
            }
            // It may have begun at a version that left before this instance knew the pool.
            PossibleOrigins::One(_) | PossibleOrigins::Several => Err(Reason::OriginUnknown.into()),
        }
    }

    fn bind(&mut self, origin: Origin, source: OriginSource) -> PoolId {
        let pool = origin.pool.clone();
        self.origin = Some(origin);
        self.source = Some(source);
        pool
    }

    /// Records where the stream with these `keys` began, at this call or before it. Its origin is kept for `lifetime`.
    pub(crate) fn record(
        &mut self,
        keys: &[StreamKey],
        began: Began<'_>,
        route: &Route,
        lifetime: Duration,
    ) {
        let origin = self.origin.get_or_insert_with(|| Origin {
            pool: began.pool.clone(),
            software_version: began.software_version.to_owned(),
        });
        let origin = if began.is_registered {
            origin.clone()
        } else {
            Origin::unregistered(began.pool)
        };
        let of_route = self.origins.of_route(route);
        // Instances that know the route or its pools for a short time only need to be told.
        let is_sent = of_route.possible == PossibleOrigins::Several
            || !of_route.is_history_known
            || !began.is_registered;
        for key in keys {
            let record = OriginRecord {
                key: *key,
                origin: origin.clone(),
                lifetime,
            };
            self.origins.begin(record, is_sent);
        }
    }
}

/// Waits until the key-value service has confirmed the view after `asked_at`, so that all registrations from before
/// are known. Returns whether it has.
async fn is_confirmed_since(state: &RelayState, asked_at: Duration) -> bool {
    let confirmed = async {
        while state.view().confirmed_at < asked_at {
            sleep(CONFIRMATION_CHECK_PERIOD).await;
        }
    };
    timeout(CONFIRMATION_TIME, confirmed).await.is_ok()
}
