//! Which process of a target answers at its address.

use {
    bytes::Bytes,
    catalog::TargetId,
    http_body_util::Full,
    hyper::{HeaderMap, Request},
};

/// One start of a target. A target that starts again, also under the same id and address, is another
/// incarnation.
///
/// ```
/// use target::Incarnation;
///
/// let begun = Incarnation::default().target("engine-1").started_unix_ms(1_000);
/// let restarted = Incarnation::default().target("engine-1").started_unix_ms(2_000);
/// let nameless = Incarnation::default().started_unix_ms(1_000);
/// assert!(!begun.is_shown_by(&restarted, true));
/// assert!(begun.is_shown_by(&nameless, false));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Incarnation {
    /// Id of the target; `None` if it is not stated.
    pub target: Option<TargetId>,
    /// When it started by its own clock, in milliseconds since the Unix epoch; `None` if that is not
    /// stated.
    pub started_unix_ms: Option<u64>,
}

impl Incarnation {
    /// Sets the id of the target.
    #[must_use]
    pub fn target<Id>(mut self, id: Id) -> Self
    where
        Id: Into<TargetId>,
    {
        self.target = Some(id.into());
        self
    }

    /// Sets when it started, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn started_unix_ms(mut self, started_unix_ms: u64) -> Self {
        self.started_unix_ms = Some(started_unix_ms);
        self
    }

    /// Whether `answered`, which a process states of itself now, shows that it is this incarnation.
    ///
    /// The same start shows it, since two processes at one address do not start at the same time. Without a
    /// start on either side, the same id does if the process was there before: its connection was opened
    /// while this incarnation still answered (`was_there_before`).
    #[must_use]
    pub fn is_shown_by(&self, answered: &Self, was_there_before: bool) -> bool {
        if let (Some(own), Some(stated)) = (&self.target, &answered.target)
            && own != stated
        {
            return false;
        }
        match (self.started_unix_ms, answered.started_unix_ms) {
            (Some(own), Some(stated)) => own == stated,
            _ => was_there_before && self.target.is_some() && self.target == answered.target,
        }
    }
}

/// Asks a target which incarnation answers at its address.
#[derive(Clone, Debug)]
pub struct IncarnationProbe {
    /// Request that the target answers without running a call.
    pub request: Request<Full<Bytes>>,
    /// Incarnation that must answer.
    pub expected: Incarnation,
    /// What an answer with these headers and this body, which may be empty, states.
    pub parse: fn(&HeaderMap, &[u8]) -> Incarnation,
}
