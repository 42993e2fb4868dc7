//! HTTP towards callers and operators: connections and their limits, keys, request parsing,
//! answer shapes. What a request means is behind the [`Backend`] trait, so this crate knows no
//! targets and no platform.
//!
//! ```no_run
//! use gateway::{Backend, Gateway, GatewaySettings};
//!
//! # async fn example<Service>(backend: Service) -> std::io::Result<()>
//! # where
//! #     Service: Backend,
//! # {
//! let gateway = Gateway::bind(GatewaySettings::default(), backend).await?;
//! println!("listening on {}", gateway.address());
//! gateway.run(Default::default()).await;
//! # Ok(())
//! # }
//! ```

mod backend;
mod completion;
mod keys;
mod listener;
mod refusal;
mod request_reader;
mod respond;
mod response_body;
mod router;
mod service;
mod settings;

pub use {
    backend::{
        Backend, Caller, CompletionEvent, CompletionJob, CompletionStream, Entries, Entry,
        OperatorRequest, OperatorResponse, ServiceJob, ServiceResponse,
    },
    completion::{CompletionApi, CompletionBody},
    keys::{digest_of, new_request_id},
    listener::{DrainSignal, Gateway},
    refusal::{Refusal, RefusalKind},
    settings::GatewaySettings,
};
