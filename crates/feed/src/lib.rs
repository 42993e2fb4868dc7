//! The feed through which instances share what they learn about stores and engines, and the calls
//! that they have in flight.
//!
//! A store or an engine answers only a few requests at a time, so each is followed by one instance,
//! and the other instances read what that one has learned. [`Feed`] holds what an instance
//! publishes, [`serve`] answers readers, and a [`FeedReader`] reads the feed of another instance. In large
//! fleets, an aggregator publishes what it has read of others as well, which [`MergedReports`] adds up. An
//! [`OriginClient`] has another instance keep, and tell, where streams began. [`ask_service_gap`] asks
//! one whether the key-value service was there, of which it keeps a [`ServiceContact`]. A [`FollowClient`]
//! reads the changes in that service that another instance keeps in its [`ServiceLog`].
//! The content is only hints, and a reader that missed changes gets the whole state.
//!
//! ```
//! use feed::Feed;
//! use parts::{CachedPart, Change};
//! use relay::RelayState;
//!
//! let feed = Feed::new(RelayState::default());
//! let place = ([127, 0, 0, 1], 9100).into();
//! feed.follow(place);
//! let parts = vec![CachedPart { part: 7, tokens: 5_000 }];
//! feed.publish(Change::Held { place, parts: parts.clone() });
//! let batch = feed.read(None);
//! assert!(batch.changes.contains(&Change::Held { place, parts }), "the whole state");
//! assert!(feed.read(Some(batch.position)).changes.is_empty(), "nothing since");
//! ```

mod batch;
mod connection;
mod contact_question;
mod encoded_size;
mod error;
mod feed_reader;
mod feed_state;
mod follow_answer;
mod follow_client;
mod followed_event;
mod former_batch;
mod merged_batch;
mod merged_reports;
mod merged_request;
mod origin_client;
mod place_report;
mod places_request;
mod scope;
mod server;
mod service;
mod service_contact;
mod service_log;
mod shared_service_log;
mod source;

pub use {
    batch::Batch,
    contact_question::ask_service_gap,
    error::FeedError,
    feed_reader::FeedReader,
    follow_answer::{FollowAnswer, FollowedChanges},
    follow_client::FollowClient,
    followed_event::FollowedEvent,
    merged_batch::{MergedBatch, SilentInstance},
    merged_reports::{MergedReports, SourceReport},
    merged_request::MergedRequest,
    origin_client::OriginClient,
    place_report::PlaceReport,
    places_request::PlacesRequest,
    scope::Scope,
    server::serve,
    service_contact::ServiceContact,
    service_log::ServiceLog,
    shared_service_log::SharedServiceLog,
    source::Feed,
};
