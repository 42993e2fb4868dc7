//! An entry instance on a platform that keeps all shared state in one key-value service.
//!
//! Operators write configuration and model versions there, targets and instances register there,
//! and instances discover each other there. [`run`] watches the service, serves calls through a
//! [`relay::Relay`], tells callers which addresses to use, and sends orders to targets while it
//! holds the order lock. Only the [`Platform`] implementation knows the platform's formats.
//!
//! State and its rules are separate from I/O: [`KnownState`] is the instance's copy of the shared
//! state, and [`rollout`] decides which orders to send.
//!
//! ```
//! use entry::{Item, KnownState, TargetRegistration};
//! use std::time::Duration;
//!
//! let mut known = KnownState::default();
//! let target = TargetRegistration::new("engines", ([127, 0, 0, 1], 9000).into());
//! known.put("engine-1", Item::Target(target), 7, Duration::ZERO);
//! assert_eq!(known.view(Duration::ZERO).pools["engines"][0].id, "engine-1");
//! ```

mod aggregator_choice;
mod aggregators;
mod caller_addresses;
mod counted_key_value;
mod directory;
mod drain;
mod follower;
mod follower_instance;
mod follower_pace;
mod item;
mod known_fencing;
mod known_incarnation;
mod known_state;
mod known_targets;
mod limit_news;
mod link_use_reports;
mod listener;
mod logged_evacuations;
mod membership;
mod membership_settling;
mod merged_follower;
pub mod obsolete_parts;
mod order_lock;
mod orders;
mod origin_exchange;
mod outage_check;
mod own_keys;
mod ownership;
mod part_freeing;
mod parts_by_salt;
mod peer_follower;
mod peer_watch;
mod place_follower;
mod place_watch;
mod platform;
mod read_places;
mod reading_plan;
mod recent_versions;
mod record_lease;
mod return_pace;
pub mod rollout;
mod servers;
mod settings;
mod shared;
mod silences;
mod source_choice;
mod start;
mod suspects;
mod suspension_detector;
mod takeovers;
mod target_probe;

pub use {
    aggregator_choice::AggregatorChoice,
    aggregators::{Aggregator, Aggregators, MIN_INSTANCES_COUNT},
    caller_addresses::AddressQuery,
    fencing::{self, FencingRecord, FencingToken},
    follower_instance::FollowerInstance,
    follower_pace::{FollowerPace, MAX_STARTED_COUNT, START_PERIOD},
    item::{
        HolderRecord, Item, ItemError, ItemName, LimitRecord, LoadingRecord, MemberRecord,
        RecentVersion, SuspectRecord, TargetRegistration,
    },
    known_fencing::KnownFencing,
    known_state::{KnownHolder, KnownState, OwnShutdown},
    known_targets::AnnouncedLimit,
    membership_settling::{
        MAX_QUIET_TIME, MAX_REGISTRATION_TIME, MAX_SETTLING_TIME, MIN_QUIET_TIME,
        MembershipSettling,
    },
    order_lock::{InstanceLease, OrderLock},
    ownership::Ownership,
    parts_by_salt::PartsBySalt,
    platform::{
        HeldPart, OrderOutcome, PartChange, PartEvents, PartList, Platform, RunningRequests,
        TargetReport, VersionOrder,
    },
    read_places::{MAX_ADDED_COUNT, PlaceGroup, ReadPlaces},
    reading_plan::{FeedSource, ReadingPlan},
    return_pace::ReturnPace,
    settings::{Settings, SettingsError},
    source_choice::{FOLLOW_TIMEOUT, MAX_FOLLOWED_AGE, RETRY_PERIOD, Source, SourceChoice},
    start::{StartError, run},
    suspension_detector::SuspensionDetector,
    takeovers::{TakeoverChange, Takeovers},
};
