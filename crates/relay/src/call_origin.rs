//! Where the stream of a call began, which decides where it may go on.

use {
    crate::{
        Declined, Reason, StreamOrigins, View,
        admit::Admitted,
        route_pools::own_pools,
        stream_origins::{ANSWER_TIMEOUT, RouteOrigins, UNDOUBTED_TIMEOUT},
        view::MAX_VIEW_AGE,
    },
    origins::{Origin, OriginKnowledge, OriginRecord, PossibleOrigins, stream_key},
    routes::PoolId,
    std::{sync::Arc, time::Duration},
};

/// Longest time for which an origin is kept after its stream began.
const MAX_LIFETIME: Duration = Duration::from_mins(10);
/// Time for which an origin is kept beyond the time that the caller waits.
const LIFETIME_MARGIN: Duration = Duration::from_secs(5);

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

/// Where the stream of a call began: the pool and software version to which it is bound.
#[derive(Debug)]
pub(crate) struct CallOrigin {
    origins: Arc<StreamOrigins>,
    origin: Option<Origin>,
    /// How it is known; `None` if the stream begins with this call, or nothing is known.
    source: Option<OriginSource>,
    is_recorded: bool,
}

impl CallOrigin {
    /// Creates the origin of a call whose stream has not begun, as far as is known.
    pub(crate) fn new(origins: Arc<StreamOrigins>) -> Self {
        Self {
            origins,
            origin: None,
            source: None,
            is_recorded: false,
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

    /// Finds where the stream began that the call resumes, if it resumes one. Returns the pool to
    /// which the call is bound.
    ///
    /// Refuses the call if that is not known while it could have been one of several versions, or if
    /// the route does not lead to that pool any more.
    pub(crate) async fn find(
        &mut self,
        admitted: &Admitted,
        view: &View,
    ) -> Result<Option<PoolId>, Declined> {
        let call = &admitted.call;
        let is_resumed = call.resumes.is_some() || call.last_event_id.is_some();
        if !admitted.route.retry_policy.is_stream() || !is_resumed {
            return Ok(None);
        }
        let RouteOrigins {
            possible,
            is_history_known,
        } = self.origins.of_route(&admitted.route);
        let (known, source) = match &call.resumes {
            Some(request_id) => {
                let is_undoubted = possible != PossibleOrigins::Several
                    && view.is_confirmed_within(MAX_VIEW_AGE)
                    && is_history_known;
                let answer_timeout = if is_undoubted {
                    UNDOUBTED_TIMEOUT
                } else {
                    ANSWER_TIMEOUT
                };
                // Even an undoubted view may lag behind that of the instance which began the stream.
                let key = key(admitted, request_id);
                match self.origins.known(key) {
                    OriginKnowledge::Unknown => {
                        let told = self.origins.ask(key, answer_timeout).await;
                        (told, OriginSource::Told)
                    }
                    known => (known, OriginSource::Kept),
                }
            }
            None => (OriginKnowledge::Unknown, OriginSource::Told),
        };
        match known {
            OriginKnowledge::Known(origin) => {
                if !own_pools(&admitted.route).any(|pool| *pool == origin.pool) {
                    return Err(Reason::OriginGone.into());
                }
                Ok(Some(self.bind(origin, source)))
            }
            // It may have begun at a version that left before this instance knew the pool.
            OriginKnowledge::Unknown
                if call.resumes.is_some()
                    && !is_history_known
                    && possible != PossibleOrigins::None =>
            {
                Err(Reason::OriginUnknown.into())
            }
            OriginKnowledge::Unknown => self.bind_to_only(possible),
            OriginKnowledge::Conflicting => Err(Reason::OriginUnknown.into()),
        }
    }

    /// Binds the call to the only possible origin, since others may appear while it is under way.
    fn bind_to_only(&mut self, possible: PossibleOrigins) -> Result<Option<PoolId>, Declined> {
        match possible {
            PossibleOrigins::None => Ok(None),
            PossibleOrigins::One(origin) => Ok(Some(self.bind(origin, OriginSource::OnlyVersion))),
            PossibleOrigins::Several => Err(Reason::OriginUnknown.into()),
        }
    }

    fn bind(&mut self, origin: Origin, source: OriginSource) -> PoolId {
        let pool = origin.pool.clone();
        self.origin = Some(origin);
        self.source = Some(source);
        pool
    }

    /// Records that the stream goes on, or begins, at a target of this pool and software version.
    /// `time_limit` is the time that the caller waits, from the call's arrival.
    pub(crate) fn record(
        &mut self,
        admitted: &Admitted,
        pool: &PoolId,
        software_version: &str,
        time_limit: Duration,
    ) {
        if self.is_recorded {
            return;
        }
        self.is_recorded = true;
        let origin = self.origin.get_or_insert_with(|| Origin {
            pool: pool.clone(),
            software_version: software_version.to_owned(),
        });
        let call = &admitted.call;
        let request_id = call.resumes.as_ref().unwrap_or(&call.id);
        let record = OriginRecord {
            key: key(admitted, request_id),
            origin: origin.clone(),
            lifetime: time_limit.min(MAX_LIFETIME) + LIFETIME_MARGIN,
        };
        let of_route = self.origins.of_route(&admitted.route);
        // Instances that know the route or its pools for a short time only need to be told.
        let is_sent = of_route.possible == PossibleOrigins::Several || !of_route.is_history_known;
        self.origins.begin(record, is_sent);
    }
}

/// Key of the stream that the attempt `request_id` of this call's client account began.
fn key(admitted: &Admitted, request_id: &str) -> origins::StreamKey {
    let account = admitted.account.as_ref().map(|it| it.name.as_str());
    stream_key(account.unwrap_or_default(), request_id)
}
