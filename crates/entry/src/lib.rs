//! An entry instance on a platform that keeps everything in one key-value service.
//!
//! The operators write configuration and versions there, targets and instances register there, and
//! instances find each other there. [`run`] follows it, serves callers through a
//! [`relay::Relay`], tells callers which addresses to use, and gives orders to targets while it
//! holds the right to. What the platform calls things is known to its [`Platform`] only.
//!
//! State and its rules are apart from I/O: [`Known`] is what the instance believes, [`rollout`]
//! decides which orders to give.
//!
//! ```
//! use entry::{Item, Known, TargetRegistration};
//! use std::time::Duration;
//!
//! let mut known = Known::default();
//! let entry = TargetRegistration::new("engines", ([127, 0, 0, 1], 9000).into());
//! known.put("engine-1", Item::Target(entry), 7, Duration::ZERO);
//! assert_eq!(known.view(Duration::ZERO).pools["engines"][0].id, "engine-1");
//! ```

mod directory;
mod follower;
pub mod freeing;
mod holder;
mod item;
mod known;
mod listener;
mod membership;
mod news_clock;
mod orders;
mod ownership;
mod parts_by_salt;
mod peer_watch;
mod place_follower;
mod place_watch;
mod platform;
mod recent_versions;
pub mod rollout;
mod settings;
mod shared;
mod start;

pub use {
    holder::{Holding, Tenure},
    item::{
        HolderRecord, Item, ItemError, ItemName, LoadingRecord, MemberRecord, RecentVersion,
        TargetRegistration,
    },
    known::{Known, OwnLeaving},
    news_clock::NewsClock,
    ownership::Ownership,
    platform::{
        HeldPart, OrderOutcome, PartChange, PartEvents, PartList, Platform, RunningRequests,
        TargetReport, VersionOrder,
    },
    settings::{Settings, SettingsError},
    start::{StartError, run},
};
