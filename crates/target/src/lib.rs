//! Clients of model engines, store instances and plain services.
//!
//! [`Client`] pools HTTP/1 connections by address and runs one exchange at a time on each. Its
//! errors distinguish requests of which no byte was sent ([`SendError::NotSent`]) from those that
//! may have arrived ([`SendError::Unknown`]). [`EngineClient`], [`StoreClient`] and
//! [`ServiceClient`] implement the protocols of `docs/PROTOCOLS.md` on top of it.
//!
//! ```no_run
//! use {
//!     std::time::Duration,
//!     target::{Client, ClientSettings, EngineClient},
//! };
//!
//! # async fn example() -> Result<(), target::SendError> {
//! let client = Client::new(ClientSettings::default().idle_timeout(Duration::from_secs(30)));
//! let engine = EngineClient::new(client, "127.0.0.1:19101".parse().unwrap());
//! let load = engine.load().await?;
//! println!("{} runs queued", load.queued_count);
//! # Ok(())
//! # }
//! ```

mod answer_stream;
mod answers_request;
mod body_framing;
mod carried_ids;
mod client;
mod client_settings;
mod connection_errors;
mod crash_evidence;
mod engine;
mod engine_wire;
mod error;
mod exchange_progress;
mod incarnation;
mod open_witness;
mod process_answer;
mod readable_entries;
mod reply;
mod reply_json;
mod request;
mod request_preparation;
mod service;
mod socket_options;
mod sse_parser;
mod start_timeout;
mod store;
mod stream_position;
mod tracked_stream;
mod unframed_body;
mod whole_body;
mod witness;
mod witness_ahead;
mod witness_connection;
mod witness_slot;

pub use {
    answer_stream::{AnswerEvent, AnswerStream},
    answers_request::{AnswersRequest, Unattributed},
    client::{Client, NamedRequest, Reuse},
    client_settings::ClientSettings,
    crash_evidence::CrashEvidence,
    engine::EngineClient,
    engine_wire::{
        BlockRef, CacheBlock, CacheBlocks, CacheEvent, CacheEventKind, CacheEvents,
        CompletionRequest, ExportReply, ExportRequest, FailedBlock, ImportReply, ImportRequest,
        LoadReport, OrderReply, PromptDetails, Usage,
    },
    error::SendError,
    incarnation::{Incarnation, IncarnationProbe},
    open_witness::OpenWitness,
    process_answer::ProcessAnswer,
    readable_entries::ReadableEntries,
    reply::Reply,
    request_preparation::RequestPreparation,
    service::{ServiceAnswer, ServiceClient, ServiceRequest},
    sse_parser::{EventBatch, SseParser, event_id},
    start_timeout::StartTimeout,
    store::{StoreBlock, StoreBlocks, StoreClient, StoreUsage},
    stream_position::{BodyEnd, Misplaced, StreamPosition},
    whole_body::{BodyPart, EndEvidence, WholeBody},
    witness_ahead::WitnessAhead,
};
