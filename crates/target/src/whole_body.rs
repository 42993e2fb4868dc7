//! What shows that the body of an answer is complete.

use crate::BodyEnd;

/// What shows that a body is complete. For one that ended with its connection, the target has said on another
/// one that the process which began it still runs. That proves it only if the target had answered on the other
/// one before: a connection that is merely open may lead nowhere yet, and a cut of the path leaves it open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndEvidence {
    /// The end of its length, or its last chunk.
    Framing,
    /// A connection on which the target had answered before the request was sent.
    AnsweredBefore,
    /// A connection on which the target had answered long before the last data of the body came.
    AnsweredBeside,
    /// A connection that was open before the request was sent.
    OpenedBefore,
    /// A connection that was opened before data of the body came.
    OpenedBeside,
    /// A connection that was opened after its last data had come. It tells nothing of a path that was cut.
    OpenedAfter,
}

impl EndEvidence {
    /// Whether it proves that the body is complete, rather than that nothing speaks against it.
    #[must_use]
    pub fn is_proof(self) -> bool {
        match self {
            Self::Framing | Self::AnsweredBefore | Self::AnsweredBeside => true,
            Self::OpenedBefore | Self::OpenedBeside | Self::OpenedAfter => false,
        }
    }

    /// Its name in logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Framing => "framing",
            Self::AnsweredBefore => "answered before",
            Self::AnsweredBeside => "answered beside",
            Self::OpenedBefore => "opened before",
            Self::OpenedBeside => "opened beside",
            Self::OpenedAfter => "opened after",
        }
    }
}

/// Shows that the body of an answer has arrived completely. Only [`Reply`](crate::Reply) makes one: at the
/// end of the body's length or at its last chunk, or, if the body ended with its connection, once the
/// target has shown that the process that began it still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub struct WholeBody(EndEvidence);

impl WholeBody {
    /// That a body is complete is shown by this.
    pub(crate) fn new(evidence: EndEvidence) -> Self {
        Self(evidence)
    }

    /// What ended the body.
    #[must_use]
    pub fn end(self) -> BodyEnd {
        match self.0 {
            EndEvidence::Framing => BodyEnd::Framing,
            EndEvidence::AnsweredBefore
            | EndEvidence::AnsweredBeside
            | EndEvidence::OpenedBefore
            | EndEvidence::OpenedBeside
            | EndEvidence::OpenedAfter => BodyEnd::Connection,
        }
    }

    /// What shows that it is complete.
    #[must_use]
    pub fn evidence(self) -> EndEvidence {
        self.0
    }
}

/// The next of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyPart {
    /// More of it.
    Data(bytes::Bytes),
    /// Its end, and what shows that it is complete.
    End(WholeBody),
}
