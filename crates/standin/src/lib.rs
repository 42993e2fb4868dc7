//! Small simulations of the platform and the targets (stand-ins), for tests and the demo.
//!
//! Each role of `docs/PROTOCOLS.md` is one type. It runs in the calling process, on the current
//! tokio runtime, or is started by the binary `standin`. A running stand-in is a [`Server`]: it has
//! an address, fault switches ([`Server::set_faults`], or `POST /fault` over HTTP) and
//! [`Server::stop`].
//!
//! ```
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! use standin::kv::{Kv, KvSettings};
//!
//! let kv = Kv::start(KvSettings::default()).await.expect("port 0 can be bound");
//! kv.set_faults(&serde_json::json!({"lose_answers": 1})).expect("known switch");
//! kv.stop().await;
//! # });
//! ```

pub mod caller;
pub mod content;
pub mod engine;
pub mod instances;
pub mod kv;
pub mod relay;
pub mod service;
pub mod store;
pub mod weights;

mod client;
mod faults;
mod http;
mod link;
mod places;
mod server;
mod sync;

pub use {
    caller::{Caller, CompletionOutcome, End},
    content::{answer_text, answer_token, block_content, prompt_digest},
    faults::{CommonFaults, FaultError, FaultSwitches},
    http::{Answer, Body, Cut},
    link::Link,
    places::{Place, Places, Refused},
    server::{Role, Server},
};
