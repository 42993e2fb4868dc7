//! What one instance learns of stores and engines, and has under way, read by the other instances.
//!
//! A store or an engine answers only a few questions at a time, so each is followed by one
//! instance, and the others read what that one has learned. [`Feed`] is what an instance has to
//! tell, [`serve`] answers readers, a [`FeedReader`] asks. All of it is hints: a reader that missed
//! changes gets the whole state.
//!
//! ```
//! use feed::Feed;
//! use parts::{Change, CachedPart};
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
mod error;
mod feed_reader;
mod server;
mod service;
mod source;

pub use {batch::Batch, error::FeedError, feed_reader::FeedReader, server::serve, source::Feed};
