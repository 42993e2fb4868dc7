//! Connections of callers, and how an answer ends that has neither a length nor chunks.
//!
//! A caller that speaks HTTP/1.0 is sent no chunks, so that a streamed answer ends with its connection.
//! [`CallerStream`] resets the connection unless the server ends it regularly.

mod answer_framing;
mod caller_stream;
mod close_after;

pub use self::{
    answer_framing::AnswerFraming, caller_stream::CallerStream, close_after::close_after,
};
