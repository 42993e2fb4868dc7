//! A small queueing model of engines and their callers.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod report;
