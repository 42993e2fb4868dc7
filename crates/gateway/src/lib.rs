//! HTTP server for callers and operators: accepts connections within limits, authenticates bearer
//! keys, parses requests and formats responses. The [`Backend`] trait carries out the requests, so
//! this crate depends on no target and no platform.
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
mod last_chunk;
mod listener;
mod refusal;
mod request_reader;
mod respond;
mod response_body;
mod router;
mod service;
mod settings;
mod stream_sender;
mod streamed_body;

pub use {
    backend::{
        Backend, Caller, CompletionEvent, CompletionJob, CompletionStream, Entries, Entry,
        OperatorRequest, OperatorResponse, ServiceJob, ServiceResponse,
    },
    completion::{CompletionApi, CompletionBody},
    keys::{digest_of, new_request_id},
    last_chunk::LastChunk,
    listener::{DrainSignal, Gateway},
    refusal::{Refusal, RefusalKind},
    settings::GatewaySettings,
    stream_sender::{CallerLeft, StreamSender},
    streamed_body::{StreamBroken, StreamedBody},
};
