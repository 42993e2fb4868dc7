//! Runs entry daemons as processes, with stand-ins of the platform and the targets in this process.
//!
//! Each test file uses only some of these items, hence the `allow`.
#![allow(dead_code)]

pub mod caller;
pub mod chaos;
pub mod entry;
pub mod http;
pub mod objects;
pub mod seed;
pub mod service_calls;
pub mod test_system;
