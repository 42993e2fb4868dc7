//! What shows that the body of an answer is complete.

use crate::BodyEnd;

/// Shows that the body of an answer has arrived completely. Only [`Reply`](crate::Reply) makes one: at the
/// end of the body's length or at its last chunk, or, if the body ended with its connection, once the
/// target has shown that the process that began it still runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[must_use]
pub struct WholeBody(BodyEnd);

impl WholeBody {
    /// Evidence that a body is complete, which ended like this.
    pub(crate) fn new(end: BodyEnd) -> Self {
        Self(end)
    }

    /// What ended the body.
    #[must_use]
    pub fn end(self) -> BodyEnd {
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
