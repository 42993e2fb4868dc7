//! Position in an event stream, which decides what may follow.

use {crate::event_id, snafu::Snafu};

/// Position in the event stream of one run, as one answer continues it: from its begin, or after the
/// last event that earlier answers brought. Decides what of the answer may be forwarded.
///
/// An event fits if its id is above all before it. Ids may leap. An event without an id fits only
/// between events of the same answer, since nothing shows its place otherwise. What does not fit is
/// never dropped in order to go on: it shows that the answer does not continue this run.
///
/// ```
/// use target::{BodyEnd, Misplaced, StreamPosition};
///
/// let mut position = StreamPosition::after(Some(4));
/// assert_eq!(position.end(BodyEnd::Connection), Err(Misplaced::NoEvent));
/// assert_eq!(position.advance(b"id: 5\ndata: van 3\n\n"), Ok(()));
/// assert_eq!(position.advance(b"id: 5\ndata: van 3\n\n"), Err(Misplaced::Repeated));
/// assert_eq!(position.resume_point(), Some(5));
/// assert_eq!(position.end(BodyEnd::Connection), Ok(()));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    /// Id of the last event that has one, in this answer or before it.
    last_id: Option<u64>,
    /// Whether this answer has brought an event.
    has_event: bool,
    /// Whether the events after `last_id` include one without an id.
    has_unplaced: bool,
    /// Whether the stream has ended there, as far as an earlier answer shows.
    may_be_over: bool,
}

/// What ended the body of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEnd {
    /// Its length or its last chunk.
    Framing,
    /// Its connection.
    Connection,
}

/// Why an answer does not continue a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Misplaced {
    /// An event whose id is not above those before it.
    #[snafu(display("an event came out of order; the stream must be resumed elsewhere"))]
    Repeated,
    /// An event without an id begins a continuation.
    #[snafu(display("a continuation begins without an id; the stream must be resumed elsewhere"))]
    Unplaced,
    /// The connection ended before an event, and nothing shows that none was left.
    #[snafu(display("it ends before its first event; the stream must be resumed elsewhere"))]
    NoEvent,
}

impl StreamPosition {
    /// Position of an answer that continues a stream after the event with this id, or begins it if there
    /// is none.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// The same position, at which the answer before has ended as a whole one does.
    #[must_use]
    pub fn that_may_be_over(mut self) -> Self {
        self.may_be_over = true;
        self
    }

    /// Moves past the next event of the answer, which may then be forwarded.
    ///
    /// # Errors
    /// [`Misplaced`] if the event does not fit here. The answer must not be forwarded any further.
    pub fn advance(&mut self, event: &[u8]) -> Result<(), Misplaced> {
        match event_id(event) {
            Some(id) if Some(id) <= self.last_id => return Err(Misplaced::Repeated),
            Some(id) => {
                self.last_id = Some(id);
                self.has_unplaced = false;
            }
            None if !has_data(event) => return Ok(()),
            None if self.last_id.is_some() && !self.has_event => return Err(Misplaced::Unplaced),
            None => self.has_unplaced = true,
        }
        self.has_event = true;
        Ok(())
    }

    /// Checks that the stream may be complete where the body of the answer ends, between two events.
    ///
    /// # Errors
    /// [`Misplaced::NoEvent`] if nothing tells this end from that of a target that was ended.
    pub fn end(&self, end: BodyEnd) -> Result<(), Misplaced> {
        if end == BodyEnd::Connection && !self.has_event && !self.may_be_over {
            return Err(Misplaced::NoEvent);
        }
        Ok(())
    }

    /// Id of the event after which another answer may continue the stream; `None` if no id tells what has
    /// been forwarded.
    #[must_use]
    pub fn resume_point(&self) -> Option<u64> {
        self.last_id.filter(|_| !self.has_unplaced)
    }
}

/// Whether an event carries data, rather than only comments.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(b"data:") || line.trim_ascii_end() == b"data")
}
