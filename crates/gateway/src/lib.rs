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
mod body;
mod completion;
mod keys;
mod listener;
mod query;
mod refusal;
mod respond;
mod router;
mod service;
mod settings;

pub use {
    backend::{
        Backend, Caller, CompletionJob, Entries, Entry, Event, OperatorAnswer, OperatorCall,
        ServiceJob, ServiceReply, Started,
    },
    completion::{CompletionBody, Shape},
    keys::{digest_of, new_request_id},
    listener::{DrainSignal, Gateway},
    refusal::{Kind, Refusal},
    settings::GatewaySettings,
};
