//! Who has a call in progress.

use {
    crate::{NotRun, NotSent},
    std::mem,
};

/// Who has a call in progress, as far as is known. Each hand-over replaces it. Whoever has it may run
/// it until there is evidence that they won't.
#[derive(Debug)]
pub(crate) enum CallHolder {
    /// Nobody: it was sent to nobody, or nobody who got it has run it or will.
    Nobody(NotRun),
    /// A target has it, or had it last and may have run it.
    Target(Earlier),
    /// Another instance has it, or had it last and may have had it run.
    Instance(Earlier),
}

/// What is known of a call from before its last hand-over: empty if somebody may have run it already.
/// It shows nothing while somebody has the call.
#[derive(Debug)]
pub(crate) struct Earlier(Option<NotRun>);

/// Shows that the holder of a call was replaced before the call is sent. Each sending takes one.
#[derive(Debug)]
#[must_use]
pub(crate) struct HandedOver(());

impl CallHolder {
    /// Hands the call to a target.
    pub(crate) fn hand_to_target(&mut self) -> HandedOver {
        self.hand_over(Self::Target)
    }

    /// Hands the call to another instance.
    pub(crate) fn hand_to_instance(&mut self) -> HandedOver {
        self.hand_over(Self::Instance)
    }

    /// Takes the call back from whoever has it, by evidence that it has not run there and will not.
    /// Nobody has it then, unless somebody had it before and may have run it.
    pub(crate) fn take_back(&mut self, evidence: NotRun) {
        if let Self::Target(earlier) | Self::Instance(earlier) = self
            && earlier.0.take().is_some()
        {
            *self = Self::Nobody(evidence);
        }
    }

    /// Whether nobody has the call or may have run it.
    pub(crate) fn is_nobody(&self) -> bool {
        matches!(self, Self::Nobody(_))
    }

    fn hand_over(&mut self, to: fn(Earlier) -> Self) -> HandedOver {
        if let Self::Nobody(not_run) = mem::replace(self, to(Earlier(None))) {
            *self = to(Earlier(Some(not_run)));
        }
        HandedOver(())
    }
}

impl From<NotSent> for CallHolder {
    fn from(not_sent: NotSent) -> Self {
        Self::Nobody(not_sent.into())
    }
}
